#ifndef FUCHSIAPROXY_STEERING_UPSTREAM_STATE_HPP
#define FUCHSIAPROXY_STEERING_UPSTREAM_STATE_HPP

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <memory>
#include <optional>

#include "fuchsiaproxy/base/load_report.hpp"
#include "fuchsiaproxy/steering/director_settings.hpp"
#include "fuchsiaproxy/steering/exclusion.hpp"
#include "fuchsiaproxy/steering/peer_load.hpp"
#include "fuchsiaproxy/steering/records.hpp"
#include "hashing.hpp"
#include "open_work.hpp"

namespace fuchsiaproxy::steering
{

/// Least multiple of the usual work time that a report is taken for: reports come from outside, and
/// work that takes no time would make an upstream look free.
constexpr double least_slowdown = 0.1;

/// State of one incarnation of an upstream, as known to this entry.
struct upstream_state
{
    upstream_state(upstream_record it, base::region_id in)
        : record(std::move(it)), region(std::move(in)), hash(hash_of(record.id.value()))
    {
    }

    upstream_record record;
    base::region_id region;
    /// Position of the zone among the zones of the deployment; their number if it is none of them.
    std::size_t zone_index = 0;
    std::uint64_t hash = 0;
    /// Open attempts of other entries according to their load messages; absent while too few
    /// entries have sent one.
    std::optional<std::uint32_t> peers_in_flight;
    bool evacuated = false;
    /// Whether the upstream has stated in an answer that it is shutting down.
    bool leaving = false;
    /// End of the longest pause that the upstream has asked for.
    base::time_point paused_until = base::time_point::min();
    /// Maximum number of attempts in flight after a pause; doubles with each one that is not
    /// refused. Zero means no limit.
    std::uint32_t ramp_limit = 0;
    /// Whether discovery has removed the upstream, or its address is now used by another one.
    bool removed = false;
    /// When an expired record is removed; unset while the record is present.
    std::optional<base::time_point> removal_due;

    base::time_point cold_until = base::time_point::min();
    base::time_point next_cold_send = base::time_point::min();

    /// Attempts of this entry that have not ended.
    std::uint32_t in_flight = 0;
    /// Requests of other entries according to load reports: the moving average, and the value of
    /// the last report.
    double other_entries_mean = 0;
    double other_entries_last = 0;
    /// Service time on the upstream's machine, as a multiple of the usual time.
    double service_time_ratio = 1;
    /// Latest service time in percent that was not yet sent to other entries; 0 if none.
    std::uint32_t unsent_service_time_percent = 0;
    base::time_point report_at = base::time_point::min();

    /// When reports began to say without a break that the upstream is slow; unset if the last one
    /// does not.
    std::optional<base::time_point> reported_slow_since;

    /// Ratio of the upstream's work times to those of the others.
    learned_ratio learned_cost;
    /// Open attempts of this entry with their expected work.
    open_work own_work;
    /// Expected remaining work in seconds of the open attempts of this entry, and of the other
    /// entries if enough of them have sent a message; set before a selection.
    double own_work_s = 0;
    std::optional<double> peers_work_s;

    double failure_rate = 0;
    std::uint32_t connect_failures = 0;
    base::time_point suspended_until = base::time_point::min();

    /// Returns why the upstream gets no new requests, or nothing if it may get some.
    std::optional<exclusion> excluded(base::time_point now) const
    {
        if (auto const why = lasting_exclusion())
        {
            return exclusion{*why};
        }
        if (now < paused_until)
        {
            return exclusion{exclusion_reason::paused, paused_until};
        }
        if (now < suspended_until)
        {
            return exclusion{exclusion_reason::unreachable, suspended_until};
        }
        return std::nullopt;
    }

    /// Returns whether discovery, operators and the upstream itself allow new requests, apart from
    /// exclusions that end by themselves.
    bool accepts_requests() const
    {
        return !lasting_exclusion();
    }

    /// Excludes the upstream until `until`, and limits the attempts in flight afterwards.
    void pause(base::time_point until)
    {
        paused_until = std::max(paused_until, until);
        ramp_limit = 1;
    }

    /// Raises the limit on attempts in flight after an attempt that was not refused. Above `most`
    /// there is no limit.
    void extend_ramp(std::uint32_t most)
    {
        ramp_limit *= 2;
        ramp_limit = ramp_limit > most ? 0 : ramp_limit;
    }

    upstream_tag tag() const
    {
        return static_cast<upstream_tag>(hash);
    }

    bool is_cold(base::time_point now) const
    {
        return now < cold_until;
    }

    /// Returns the weight of the last report at `now`, which decays exponentially with its age.
    double report_weight(base::time_point now, base::duration decay_time) const
    {
        if (report_at == base::time_point::min())
        {
            return 0;
        }
        auto const age = std::chrono::duration<double>(now - report_at);
        return std::exp(-age / std::chrono::duration<double>(decay_time));
    }

    /// Returns the expected number of requests of other entries at the upstream.
    double other_entries_load(base::time_point now, base::duration decay_time) const
    {
        if (peers_in_flight)
        {
            return *peers_in_flight;
        }
        auto const weight = report_weight(now, decay_time);
        return other_entries_mean + (other_entries_last - other_entries_mean) * weight;
    }

    /// Returns the factor by which work on the upstream's machine is expected to take longer than
    /// usual.
    double slowdown(base::time_point now, base::duration decay_time) const
    {
        return service_time_ratio == 1
                   ? 1
                   : 1 + (service_time_ratio - 1) * report_weight(now, decay_time);
    }

    /// As `slowdown`, but a report counts for longer if the upstream was reported as slow for some
    /// time: an upstream that has been slow for seconds tends to stay so for as long again.
    double lasting_slowdown(base::time_point now, base::duration decay_time) const
    {
        constexpr base::duration max_decay_time = std::chrono::seconds(4);
        if (!reported_slow_since)
        {
            return std::max(least_slowdown, slowdown(now, decay_time));
        }
        auto const half_of_slow_time = (report_at - *reported_slow_since) / 2;
        return slowdown(now, std::clamp<base::duration>(half_of_slow_time, decay_time,
                                                        std::max(decay_time, max_decay_time)));
    }

    /// Applies a load report that came with the end of an attempt of this entry. `in_flight` must
    /// count only the attempts that are still open.
    void apply_report(base::load_report const& it, base::time_point now)
    {
        constexpr double gain = 0.2;
        auto const total = static_cast<double>(it.running + it.waiting);
        other_entries_last = std::max(0.0, total - in_flight);
        other_entries_mean += (other_entries_last - other_entries_mean) * gain;
        apply_service_time(it.service_time_percent, now);
        unsent_service_time_percent = it.service_time_percent;
    }

    /// Updates the service time from a report of this or another entry.
    void apply_service_time(std::uint32_t percent, base::time_point now)
    {
        service_time_ratio = percent / 100.0;
        report_at = now;
        constexpr std::uint32_t slow_percent = 130;
        if (percent < slow_percent)
        {
            reported_slow_since.reset();
        }
        else
        {
            reported_slow_since = reported_slow_since.value_or(now);
        }
    }

private:
    std::optional<exclusion_reason> lasting_exclusion() const
    {
        if (removed)
        {
            return exclusion_reason::removed;
        }
        if (record.draining)
        {
            return exclusion_reason::draining;
        }
        if (leaving)
        {
            return exclusion_reason::leaving;
        }
        return evacuated ? std::optional<exclusion_reason>(exclusion_reason::evacuated)
                         : std::nullopt;
    }
};

using upstream_ptr = std::shared_ptr<upstream_state>;

} // namespace fuchsiaproxy::steering

#endif
