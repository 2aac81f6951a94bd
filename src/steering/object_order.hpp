#ifndef FUCHSIAPROXY_STEERING_OBJECT_ORDER_HPP
#define FUCHSIAPROXY_STEERING_OBJECT_ORDER_HPP

#include <cstdint>
#include <map>
#include <vector>

#include "upstream_state.hpp"
#include "work_times.hpp"

namespace fuchsiaproxy::steering
{

/// Share of a region's requests that each region should serve.
using region_shares = std::map<base::region_id, double>;

/// Divides the requests of `home` among the regions in proportion to capacity: as many as possible
/// stay at home, and the rest goes where capacity is left when each region serves its own callers.
/// `callers` are the regions that have callers, with the weight of their demand. The same on every
/// entry with the same view. Thread safe.
region_shares shares_of(base::region_id const& home,
                        std::map<base::region_id, double> const& callers,
                        std::map<base::region_id, double> const& capacity);

/// Position of each upstream in the order of one object, up to `told_ranks`, which stands for all
/// behind. Weighted rendezvous hashing: each upstream comes first for a part of the objects that is
/// proportional to its slots and to its region's share.
///
/// Thread safety: none; keeps its buffers between calls.
class object_order
{
public:
    /// Ranks `from` for `object`. The result is valid until the next call.
    std::vector<std::size_t> const& rank(std::vector<upstream_ptr> const& from,
                                         std::uint64_t object, region_shares const& shares);

private:
    struct scored
    {
        double score;
        std::size_t index;
    };

    std::vector<scored> scored_;
    std::vector<std::size_t> ranks_;
};

} // namespace fuchsiaproxy::steering

#endif
