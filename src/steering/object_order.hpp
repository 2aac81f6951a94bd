#ifndef FUCHSIAPROXY_STEERING_OBJECT_ORDER_HPP
#define FUCHSIAPROXY_STEERING_OBJECT_ORDER_HPP

#include <cstdint>
#include <map>
#include <vector>

#include "upstream_state.hpp"
#include "work_times.hpp"
#include "zone_shares.hpp"

namespace fuchsiaproxy::steering
{

/// Fractions of a region's requests, by the region that should serve them.
using region_shares = std::map<base::region_id, double>;

/// Divides the requests of `home` among the regions in proportion to capacity: as many as possible
/// stay in `home`, and the rest goes to the regions with capacity to spare after serving their own
/// callers. `callers` holds the demand weight of each region that has callers. The result is the
/// same on every entry with the same view. Thread safe.
region_shares shares_of(base::region_id const& home,
                        std::map<base::region_id, double> const& callers,
                        std::map<base::region_id, double> const& capacity);

/// Returns the weight of each candidate in the order of all objects: its part of the slots of its
/// region, times the region's share. Candidates that accept no requests have weight 0. Thread safe.
std::vector<double> order_weights(std::vector<upstream_ptr> const& candidates,
                                  region_shares const& shares);

/// Returns the weights as above, by the shares of zones.
std::vector<double> order_weights(std::vector<upstream_ptr> const& candidates,
                                  zone_shares const& shares);

/// Ranks upstreams by their preference for an object, using weighted rendezvous hashing: each
/// upstream ranks first for a share of the objects that is proportional to its slots and to its
/// region's share. Ranks from `distinct_ranks` on are not distinguished.
///
/// Thread safety: none; keeps its buffers between calls.
class object_order
{
public:
    /// Returns the rank of each candidate for `object`. `weights` is the result of `order_weights`
    /// for the same candidates. The result is valid until the next call.
    std::vector<std::size_t> const& rank(std::vector<upstream_ptr> const& candidates,
                                         std::uint64_t object, std::vector<double> const& weights);

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
