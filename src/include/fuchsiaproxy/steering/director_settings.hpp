#ifndef FUCHSIAPROXY_STEERING_DIRECTOR_SETTINGS_HPP
#define FUCHSIAPROXY_STEERING_DIRECTOR_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::steering
{

/// Bounds that the operators of the platform set. Each has to be kept by all entries together.
struct operator_bounds
{
    /// Extra attempts for each first attempt of a service, and those allowed besides within the
    /// window over which the operators count.
    double extra_attempt_ratio = 0.2;
    double extra_attempt_slack = 60;

    friend bool operator==(operator_bounds const& a, operator_bounds const& b)
    {
        return a.extra_attempt_ratio == b.extra_attempt_ratio &&
               a.extra_attempt_slack == b.extra_attempt_slack;
    }
};

/// Tunable numbers of a `director`.
struct director_settings
{
    operator_bounds bounds;

    /// Part of the operators' budget of extra attempts that is used. The rest covers entries whose
    /// views of the fleet differ.
    double budget_use = 0.7;
    /// Entries that may send to a cold upstream.
    std::size_t cold_senders = 2;
    /// Part of the rate that a cold upstream tolerates that is used. Twice as many entries may send
    /// while views of the fleet differ.
    double cold_use = 0.7;

    /// Time after the store's return during which records that lapsed while it was away may come
    /// back. The platform states about 2 s.
    base::duration lapse_grace = std::chrono::milliseconds(2200);
    /// Time after the store was last known to be away at which lapsed records are taken as gone at
    /// the latest, however late its return was noticed. Below the time after the store's return
    /// from which operators hold an entry to what the store says, by the time that a request takes
    /// to reach an upstream.
    base::duration lapse_limit = std::chrono::milliseconds(2700);

    /// Assumed round trips until connections were measured.
    base::duration assumed_zone_trip = std::chrono::milliseconds(1);
    base::duration assumed_region_trip = std::chrono::milliseconds(2);
    base::duration assumed_far_trip = std::chrono::milliseconds(40);

    /// Weight of a new measurement in the means of work times.
    double work_gain = 0.05;
    /// Weight of a new outcome in an upstream's rate of failures.
    double failure_gain = 0.2;
    /// Age at which another entry's load no longer counts.
    base::duration peer_memory = std::chrono::milliseconds(1500);
    /// Age at which a load report has lost most of its meaning.
    base::duration report_memory = std::chrono::milliseconds(400);
    /// Largest random part that is added to a cost, as a share of it. Entries with the same view
    /// would otherwise choose the same upstream.
    double cost_spread = 0.05;
    /// Cost of a full upstream's slots, as a share of a typical work time. It grows with the load.
    double load_aversion = 0.3;
    /// Assumed slowdown of a cold upstream.
    double cold_slowdown = 2;
    /// Cost of a certain failure, as a multiple of the latency goal.
    double failure_cost = 2;

    /// Pause after an upstream could not be connected to; doubles with each failure.
    base::duration first_suspension = std::chrono::milliseconds(300);
    base::duration longest_suspension = std::chrono::seconds(3);
    /// Connection failures of one request after which it is given up.
    std::uint32_t most_unsent_attempts = 4;

    /// Requests per slot, running and waiting, above which an upstream gets no more.
    double most_per_slot = 3;
    /// Largest price of a second of a slot's time, in seconds. The price follows the load of the
    /// service: on a busy service, work where the object is not warm takes slots from others.
    double highest_slot_price = 4;
    /// Load per slot of a service above which a request that would be late is refused.
    double late_load = 0.9;
    /// Multiple of the latency goal within which an answer must be expected to count as on time.
    /// The expectation is a mean, which a few long requests lift above the usual time.
    double goal_use = 1.15;
    /// When callers of refused requests are told to come back.
    base::duration retry_after = std::chrono::milliseconds(250);

    /// Entries named in the answer to a look-up; callers take no more.
    std::size_t look_up_entries = 64;
};

} // namespace fuchsiaproxy::steering

#endif
