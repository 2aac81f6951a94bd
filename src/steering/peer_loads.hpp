#ifndef FUCHSIAPROXY_STEERING_PEER_LOADS_HPP
#define FUCHSIAPROXY_STEERING_PEER_LOADS_HPP

#include <cstdint>
#include <unordered_map>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/steering/peer_load.hpp"

namespace fuchsiaproxy::steering
{

/// Load of other entries on the upstreams, from the latest message of each entry.
///
/// Thread safety: none.
class peer_loads
{
public:
    /// Applies a message. Messages that arrive after a later one of the same entry are ignored.
    void apply(peer_load const& it, base::time_point now);

    /// Removes an entry and its load.
    void remove_entry(base::instance_id const& entry);

    /// Removes the load of entries whose last message is older than `max_age`.
    void tick(base::time_point now, base::duration max_age);

    /// Returns the number of open attempts of other entries at an upstream.
    std::uint32_t in_flight_at(upstream_tag upstream) const;

    /// Returns the expected remaining work in seconds of the open attempts of other entries at an
    /// upstream. Attempts of entries that state no work count as `typical_work` each.
    double work_at(upstream_tag upstream, double typical_work) const;

    /// Returns the number of entries whose load is known.
    std::size_t entry_count() const;

private:
    struct entry_load
    {
        peer_load last;
        base::time_point received_at;
    };

    struct upstream_total
    {
        std::uint32_t in_flight = 0;
        /// Attempts of entries that state no work.
        std::uint32_t without_work = 0;
        base::duration work{};
    };

    void subtract(entry_load const& it);

    std::unordered_map<base::instance_id, entry_load> entries_;
    std::unordered_map<upstream_tag, upstream_total> totals_;
};

} // namespace fuchsiaproxy::steering

#endif
