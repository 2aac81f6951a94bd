#ifndef FUCHSIAPROXY_STEERING_ROUND_TRIP_TIMES_HPP
#define FUCHSIAPROXY_STEERING_ROUND_TRIP_TIMES_HPP

#include <algorithm>
#include <unordered_map>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/steering/director.hpp"

namespace fuchsiaproxy::steering
{

/// Round-trip times to the zones, measured by connection set-up.
///
/// Thread safety: none.
class round_trip_times
{
public:
    /// `settings` and `self` must outlive the object.
    round_trip_times(director_settings const& settings, director_identity const& self)
        : settings_(settings), self_(self)
    {
    }

    base::duration to(base::availability_zone_id const& zone) const
    {
        auto const it = measured_.find(zone);
        return it == measured_.end() ? assumed(zone) : it->second;
    }

    /// Sets `out` to the times in seconds by `upstream_state::zone_index`.
    void by_zone_index(std::vector<double>& out) const
    {
        out.clear();
        for (auto const& it : self_.zones)
        {
            out.push_back(std::chrono::duration<double>(to(it.first)).count());
        }
        out.push_back(
            std::chrono::duration<double>(settings_.assumed_cross_region_round_trip).count());
    }

    /// Returns the shortest time to another zone of the own region, as assumed for those that were
    /// not measured; the largest duration if the region has no other zone.
    base::duration to_nearest_other_zone() const
    {
        auto nearest = base::duration::max();
        for (auto const& it : self_.zones)
        {
            if (it.second == self_.region && it.first != self_.zone)
            {
                nearest = std::min(nearest, to(it.first));
            }
        }
        return nearest;
    }

    /// Records one connection set-up time. The minimum is kept, since anything above it is
    /// queueing.
    void add_sample(base::availability_zone_id const& zone, base::duration connect_time)
    {
        auto const it = measured_.emplace(zone, connect_time).first;
        it->second = std::min(it->second, connect_time);
    }

private:
    base::duration assumed(base::availability_zone_id const& zone) const
    {
        if (zone == self_.zone)
        {
            return settings_.assumed_same_zone_round_trip;
        }
        auto const it = self_.zones.find(zone);
        auto const near = it != self_.zones.end() && it->second == self_.region;
        return near ? settings_.assumed_same_region_round_trip
                    : settings_.assumed_cross_region_round_trip;
    }

    director_settings const& settings_;
    director_identity const& self_;
    std::unordered_map<base::availability_zone_id, base::duration> measured_;
};

} // namespace fuchsiaproxy::steering

#endif
