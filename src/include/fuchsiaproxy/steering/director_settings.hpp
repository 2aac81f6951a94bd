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

/// Bounds set by the operators of the platform. Each one applies to all entries together.
struct operator_bounds
{
    /// Extra attempts allowed per first attempt of a service, and the fixed number allowed on top
    /// of that within the window over which the operators count.
    double extra_attempt_ratio = 0.2;
    double extra_attempt_slack = 60;

    /// Time after which no request with a withdrawn API key may run, on any entry; zero if
    /// withdrawal is not strict.
    base::duration revocation_bound{};

    /// Window over which the operators count the requests of a tenant, and by how much the count
    /// may exceed the allowance: a fraction of it, and a fixed number.
    base::duration allowance_window = std::chrono::seconds(5);
    double allowance_overshoot = 0.1;
    double allowance_slack = 20;

    friend bool operator==(operator_bounds const& a, operator_bounds const& b)
    {
        return a.extra_attempt_ratio == b.extra_attempt_ratio &&
               a.extra_attempt_slack == b.extra_attempt_slack &&
               a.revocation_bound == b.revocation_bound &&
               a.allowance_window == b.allowance_window &&
               a.allowance_overshoot == b.allowance_overshoot &&
               a.allowance_slack == b.allowance_slack;
    }
};

/// Tuning parameters of a `director`.
struct director_settings
{
    operator_bounds bounds;

    /// Fraction of the operators' extra-attempt budget that is used. The rest is a margin for
    /// entries whose views of the fleet differ.
    double budget_fraction = 0.7;
    /// Number of entries that may send to one cold upstream.
    std::size_t cold_senders = 2;
    /// Fraction of a cold upstream's tolerated rate that is used. Twice as many entries may send
    /// while views of the fleet differ.
    double cold_rate_fraction = 0.7;

    /// Outage of the store from which on records may have expired in it. Upstreams renew theirs
    /// every 1.5 s, and a record expires three intervals after the last renewal, so one of a live
    /// upstream bears 3 s without the store. It exceeds the time for which silent connections
    /// delay an answer: a renewal period, a renewal's limit and a retry.
    base::duration min_expiry_outage = std::chrono::milliseconds(2500);
    /// Time after the store's recovery within which records that expired during its outage may
    /// reappear. The platform states about 2 s.
    base::duration expiry_grace_period = std::chrono::milliseconds(2200);
    /// Upper bound on how long expired records are kept, counted from the last time at which the
    /// store was known to be unreachable, however late its recovery was detected. Shorter than the
    /// time after which operators require an entry to follow the store again; the difference covers
    /// the time that a request takes to reach an upstream.
    base::duration expiry_grace_limit = std::chrono::milliseconds(2700);

    /// Round-trip times assumed before a connection was measured: within the zone, within the
    /// region, and to other regions.
    base::duration assumed_same_zone_round_trip = std::chrono::milliseconds(1);
    base::duration assumed_same_region_round_trip = std::chrono::milliseconds(2);
    base::duration assumed_cross_region_round_trip = std::chrono::milliseconds(40);

    /// Weight of a new measurement in the moving averages of work times.
    double work_gain = 0.05;
    /// Weight of a new outcome in the moving average of an upstream's failures.
    double failure_gain = 0.2;
    /// Interval at which load messages are sent to the entries of this region. It is multiplied by
    /// the number of these entries divided by `full_rate_peers`, rounded down, if that is more than
    /// 1; this bounds the cost of sending.
    base::duration load_interval = std::chrono::milliseconds(100);
    std::size_t full_rate_peers = 10;
    /// Entries of other regions get one load message in this many, as most requests stay in their
    /// region.
    std::uint64_t cross_region_load_interval = 2;
    /// Minimum age above which the load message of another entry is discarded. In large regions the
    /// messages are further apart, and the age is that of two missed messages plus
    /// `load_delivery_margin`.
    base::duration peer_load_max_age = std::chrono::milliseconds(1500);
    base::duration load_delivery_margin = std::chrono::milliseconds(300);
    /// Decay time of load reports: at this age, the weight of a report has fallen to 1/e.
    base::duration report_decay_time = std::chrono::milliseconds(400);
    /// Maximum random increase of a cost, as a fraction of it. Without it, entries with the same
    /// view would all choose the same upstream.
    double cost_jitter = 0.05;
    /// Cost of load on an upstream whose slots are all in use, as a multiple of a typical work
    /// time. It is proportional to the load.
    double load_cost_factor = 0.3;
    /// Assumed factor by which work takes longer on a cold upstream.
    double cold_slowdown = 2;
    /// Cost of an upstream whose failure rate is 1, as a multiple of the latency goal.
    double failure_cost = 2;

    /// Time for which an upstream gets no requests after a failed connection attempt. It doubles
    /// with each further failure, up to `max_suspension`.
    base::duration initial_suspension = std::chrono::milliseconds(300);
    base::duration max_suspension = std::chrono::seconds(3);
    /// Number of attempts of one request that could not be sent, after which the request fails.
    std::uint32_t max_unsent_attempts = 4;

    /// Requests per slot, running and waiting, from which on an upstream gets no more.
    double max_requests_per_slot = 3;
    /// Maximum price of one second of slot time, in seconds. The price rises with the load of the
    /// service: on a busy service, a request whose object is not warm on the upstream occupies a
    /// slot for longer, at the expense of other requests.
    double max_slot_price = 4;
    /// Load per slot of a service from which on requests that are expected to be late are refused.
    double late_refusal_load = 0.9;
    /// Multiple of the latency goal up to which an expected answer time is accepted as on time. The
    /// expected time is a mean, which a few long requests raise above the typical time.
    double latency_goal_factor = 1.15;
    /// Load per slot of a service from which on no second attempts are sent: they would take slots
    /// that first attempts need.
    double max_hedge_load = 0.8;
    /// Retry delay given to callers whose requests are refused.
    base::duration retry_after = std::chrono::milliseconds(250);
    /// Fraction by which the retry delays of callers are spread beyond the end of a pause of all
    /// upstreams, so that not all callers return at the same time.
    double pause_retry_spread = 0.5;
    /// Fraction of a caller's remaining time up to which it observes a retry delay.
    double max_retry_delay_fraction = 1.0 / 3;
    /// Retry delay given by a draining entry: the other entries can serve the request immediately.
    base::duration draining_retry_after = std::chrono::milliseconds(20);
    /// Retry delay for requests with API keys while the proof of following the store is too old:
    /// another entry may serve them immediately.
    base::duration stale_proof_retry_after = std::chrono::milliseconds(20);

    /// Round trip between the zones of a region from which large answers are kept in the caller's
    /// zone. A large answer takes several round trips; where zones are nearer, that is less than
    /// what callers lose by a copy of the object in each zone, as copies are cold at first.
    base::duration zone_order_round_trip = std::chrono::milliseconds(5);
    /// Load per slot of a service for which requests are divided among zones. Above it, a zone with
    /// few upstreams gets less than its callers ask for, and the rest is sent elsewhere.
    double planned_utilization = 0.7;

    /// Number of upstreams that keep an object warm for the callers of a region, or of a zone if
    /// the answers are large. In force where demand is uneven.
    std::size_t home_ranks = 1;
    /// Load per slot of a service from which on requests are spread over later ranks by the
    /// measured work alone. Below, the work there counts the more as that of a cold object the
    /// lower the load is: the slots of the home upstreams are free then, and what is gained is
    /// their memory.
    double full_spread_load = 0.6;

    /// Intervals between load messages to entries of other zones and of other regions, as
    /// multiples of the interval inside the zone, where upstreams are chosen by zone. Allowances
    /// are counted by these messages, so configurations with tenants use shorter ones.
    std::uint64_t cross_zone_load_interval = 4;
    std::uint64_t distant_load_interval = 8;
    std::uint64_t tenant_cross_zone_load_interval = 2;
    std::uint64_t tenant_distant_load_interval = 4;

    /// Maximum number of entries in the answer to a look-up; callers use no more.
    std::size_t look_up_entries = 64;
};

} // namespace fuchsiaproxy::steering

#endif
