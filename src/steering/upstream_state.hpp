#ifndef FUCHSIAPROXY_STEERING_UPSTREAM_STATE_HPP
#define FUCHSIAPROXY_STEERING_UPSTREAM_STATE_HPP

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <memory>
#include <optional>

#include "fuchsiaproxy/base/load_report.hpp"
#include "fuchsiaproxy/steering/director_settings.hpp"
#include "fuchsiaproxy/steering/peer_load.hpp"
#include "fuchsiaproxy/steering/records.hpp"
#include "hashing.hpp"

namespace fuchsiaproxy::steering
{

/// One lifetime of an upstream as this entry sees it.
struct upstream_state
{
    upstream_state(upstream_record it, base::region_id in)
        : record(std::move(it)), region(std::move(in)), hash(hash_of(record.id.value()))
    {
    }

    upstream_record record;
    base::region_id region;
    std::uint64_t hash = 0;
    /// Attempts of other entries, as they say; absent while too few of them are heard.
    std::optional<std::uint32_t> peers_in_flight;
    bool evacuated = false;
    /// Discovery has removed it, or another upstream has its address.
    bool gone = false;
    /// When a record that has lapsed is taken as gone.
    std::optional<base::time_point> gone_at;

    base::time_point cold_until = base::time_point::min();
    base::time_point next_cold_send = base::time_point::min();

    /// Attempts of this entry that have not ended.
    std::uint32_t in_flight = 0;
    /// Requests of other entries: a mean, and the last report's figure.
    double foreign_mean = 0;
    double foreign_last = 0;
    double pace = 1;
    /// Latest pace in percent that the other entries have not been told of; 0 if none.
    std::uint32_t untold_pace = 0;
    base::time_point report_at = base::time_point::min();

    double failure_rate = 0;
    std::uint32_t connect_failures = 0;
    base::time_point suspended_until = base::time_point::min();

    /// Returns whether it may get requests at all, as far as discovery and operators say.
    bool takes_new_work() const
    {
        return !gone && !record.draining && !evacuated;
    }

    upstream_tag tag() const
    {
        return static_cast<upstream_tag>(hash);
    }

    bool is_cold(base::time_point now) const
    {
        return now < cold_until;
    }

    /// Returns the share of the last report that still holds at `now`.
    double report_weight(base::time_point now, base::duration memory) const
    {
        if (report_at == base::time_point::min())
        {
            return 0;
        }
        auto const age = std::chrono::duration<double>(now - report_at);
        return std::exp(-age / std::chrono::duration<double>(memory));
    }

    /// Returns the requests of other entries that are expected at the upstream.
    double foreign(base::time_point now, base::duration memory) const
    {
        if (peers_in_flight)
        {
            return *peers_in_flight;
        }
        auto const weight = report_weight(now, memory);
        return foreign_mean + (foreign_last - foreign_mean) * weight;
    }

    /// Returns the expected slowdown of the upstream's machine; 1 is usual.
    double slowdown(base::time_point now, base::duration memory) const
    {
        return 1 + (pace - 1) * report_weight(now, memory);
    }

    /// Takes a load report that came with the end of an attempt of this entry; `in_flight` counts
    /// the attempts that are still open.
    void take(base::load_report const& it, base::time_point now)
    {
        constexpr double gain = 0.2;
        auto const total = static_cast<double>(it.running + it.waiting);
        foreign_last = std::max(0.0, total - in_flight);
        foreign_mean += (foreign_last - foreign_mean) * gain;
        take_pace(it.pace_percent, now);
        untold_pace = it.pace_percent;
    }

    /// Takes the pace of the upstream's machine.
    void take_pace(std::uint32_t percent, base::time_point now)
    {
        pace = percent / 100.0;
        report_at = now;
    }
};

using upstream_ptr = std::shared_ptr<upstream_state>;

} // namespace fuchsiaproxy::steering

#endif
