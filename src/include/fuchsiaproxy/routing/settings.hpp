#ifndef FUCHSIAPROXY_ROUTING_SETTINGS_HPP
#define FUCHSIAPROXY_ROUTING_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/limits/extra_attempt_budget.hpp"

namespace fuchsiaproxy::routing
{

/// Features of the policy that can be disabled to measure what they contribute.
struct policy_switches
{
    bool hedging = true;
    bool outliers = true;
    /// Attempts of long classes use at most half of the slots of an upstream.
    bool reserve_for_short = true;
    bool early_refusal = true;
    bool loans = true;
    bool warming = true;
    /// Costs use the entry's own measurements of an upstream.
    bool measured_cost = true;
    bool retries = true;
    /// A hedge that is slow as well is cancelled: the request itself takes long, and the upstream
    /// is not at fault.
    bool cancel_slow_hedges = true;
    /// Ranks come from the weight per expected service time instead of the weight alone.
    bool weight_per_service_time = true;
    /// The queue is ordered by latest start only; ranks decide which requests are refused.
    bool deadline_first = true;
    /// Hedges wait while requests are queued.
    bool hedge_when_idle = true;
};

/// Tunable parameters of the dispatcher. The defaults are those of `docs/policy.md`.
struct dispatcher_settings
{
    policy_switches switches;
    /// Requests that may wait for one service.
    std::size_t queue_capacity = 256;
    /// Limit on the expected wait in the queue, as a share of the request's time to its deadline.
    double queue_share = 0.7;
    /// Share of that limit above which queued requests of lower rank are refused.
    double shed_share = 0.7;
    /// Service time that is assumed before anything was measured.
    base::duration assumed_service_time = std::chrono::milliseconds(20);
    /// Rate of the links between regions, for the transfer time.
    std::uint64_t link_bits_per_second = 4'000'000'000;
    /// One-way delay inside a zone; the configuration declares only the longer delays.
    base::duration within_zone = std::chrono::microseconds(100);

    /// Interval at which queued requests are tried again when no other event occurs.
    base::duration recheck_interval = std::chrono::milliseconds(2);
    /// Extra round trip, compared with the nearest place, that is accepted even when the wait for a
    /// nearer slot would be shorter. It covers the other zones of a region.
    base::duration tolerated_extra_round_trip = std::chrono::milliseconds(5);
    /// Time beyond the round trip that a shifted request waits for a slot of its new place.
    base::duration target_slot_wait = std::chrono::milliseconds(10);

    /// Time for which a lent slot may be used for new attempts.
    base::duration loan_validity = std::chrono::milliseconds(500);
    /// The same while other requests wait for a slot of the owner, so that the slot is soon granted
    /// again to the most urgent one.
    base::duration contended_loan_validity = std::chrono::milliseconds(50);
    /// An unused lent slot is returned after this time.
    base::duration idle_loan_timeout = std::chrono::milliseconds(3);
    /// An entry that already uses its fair share of the slots requests loans only for requests that
    /// have waited this long, because a slot is idle while it is transferred.
    base::duration wait_before_borrowing = std::chrono::milliseconds(10);
    /// A lender that refused a loan request gets no further one for this time.
    base::duration refusing_lender_pause = std::chrono::milliseconds(20);
    /// Longest time that an owner keeps a loan request that it cannot grant before it refuses it.
    base::duration max_borrow_wait = std::chrono::milliseconds(50);
    /// Time that a lender may take to answer beyond the round trip and `max_borrow_wait`.
    base::duration answer_slack = std::chrono::milliseconds(20);
    /// A lender that did not answer a loan request gets no further one for this time.
    base::duration silent_lender_pause = std::chrono::seconds(1);
    /// Expected extra wait at a lender for each loan request that it has not answered yet.
    base::duration open_borrow_penalty = std::chrono::milliseconds(2);
    /// A slot is lent to another zone before it is used for the own queue only if the borrower's
    /// request must start earlier than the own one by at least this time: each exchange across
    /// zones costs slot time.
    base::duration cross_zone_margin = std::chrono::milliseconds(50);
    /// Loan requests that may be unanswered at one lender at a time.
    std::uint32_t borrows_per_lender = 4;
    /// Time within which the entries' views of the live entries converge. A new owner hands out no
    /// slot before this time, the loan validity and the largest deadline have passed.
    base::duration view_lag = std::chrono::seconds(3);
    /// Extra time after a deadline until the slot of an attempt with unknown end is free; covers
    /// the network delay by which the upstream's own deadline is later.
    base::duration deadline_margin = std::chrono::milliseconds(50);

    /// Retries and hedges for each 1,000 first attempts.
    std::uint32_t retry_permille = limits::retry_permille;
    std::uint32_t hedge_permille = limits::hedge_permille;
    /// Extra attempts that may accumulate for a burst.
    std::uint32_t budget_burst = 10;
    std::uint32_t max_attempts = 3;
    /// Quantile of the class's service time after which an attempt is hedged.
    double hedge_quantile = 0.95;

    /// Latency relative to the median of the service at which an upstream is ejected.
    double outlier_factor = 3.0;
    /// Share of the upstreams of a service that may be ejected at once.
    double max_ejected_share = 0.3;
    /// Time until the first probe of an ejected upstream; doubles with each failed probe.
    base::duration probe_interval = std::chrono::milliseconds(100);
    /// An upstream that no request could probe for this time is readmitted with one slot.
    base::duration max_probe_wait = std::chrono::milliseconds(250);
    base::duration max_probe_interval = std::chrono::seconds(4);

    /// A class is long when its mean exceeds that of the shortest class by this factor.
    double long_factor = 3.0;
};

} // namespace fuchsiaproxy::routing

#endif
