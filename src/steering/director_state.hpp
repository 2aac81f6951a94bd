#ifndef FUCHSIAPROXY_STEERING_DIRECTOR_STATE_HPP
#define FUCHSIAPROXY_STEERING_DIRECTOR_STATE_HPP

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "caller_access.hpp"
#include "cost_model.hpp"
#include "entry_view.hpp"
#include "evacuations.hpp"
#include "fuchsiaproxy/limits/extra_attempt_budget.hpp"
#include "fuchsiaproxy/steering/director.hpp"
#include "hedge_schedule.hpp"
#include "peer_loads.hpp"
#include "round_trip_times.hpp"
#include "selector.hpp"
#include "upstream_table.hpp"
#include "work_times.hpp"

namespace fuchsiaproxy::steering
{

/// A request that has not ended.
struct request_state
{
    /// Owns the object that `matched_route` points to.
    std::shared_ptr<configuration const> config;
    route const* matched_route = nullptr;
    std::string trace_id;
    request_access access;
    /// Zero is the highest.
    std::uint32_t priority = 0;
    base::service_id service;
    /// Owned by the director's `work_times_by_route`.
    route_work* work = nullptr;
    /// Owned by the director's `costs`; null if demand is even.
    route_costs* costs = nullptr;
    std::uint64_t object = 0;
    base::time_point arrived;
    base::time_point deadline;
    std::vector<upstream_ptr> tried;
    std::vector<base::attempt_id> open_attempts;
    /// Attempts that were sent to an upstream, and those that failed before that.
    std::uint32_t attempts_sent = 0;
    std::uint32_t attempts_not_sent = 0;
    /// Whether the request was counted as a first attempt in the extra-attempt budget.
    bool counted_as_first = false;
    /// Whether the caller seems to retry after a refusal, and so has little time left.
    bool is_caller_retry = false;
    /// From the last selection of an upstream.
    double service_load = 0;
    base::duration expected{};
    /// Retry delay if the request is refused; unset for the usual one.
    std::optional<base::duration> retry_after;
    /// Age of the proof of following the store, if the request ends because of it.
    std::optional<base::duration> proof_age;
    /// When the request is considered for a second attempt, if it may get one.
    std::optional<base::time_point> hedge_due;
    /// Whether a second attempt was started while the first was open.
    bool hedged = false;
    bool may_have_run = false;
    bool answered = false;
    bool caller_gone = false;
    /// Tenant of the caller; empty if none.
    base::tenant_id tenant;
    /// Whether a token of the tenant's allowance was taken, and whether the request may have run
    /// so that it is not given back.
    bool has_token = false;
    bool has_used_token = false;
};

/// An attempt that has not ended.
struct attempt_state
{
    base::local_request_id request;
    upstream_ptr upstream;
    base::time_point started;
    std::size_t rank = distinct_ranks;
    /// Expected slowdown of the upstream's machine when the attempt started.
    double slowdown = 1;
    /// Whether a wait for a slot was expected. The duration of such an attempt is not used as a
    /// work time, since it may be mostly wait.
    bool wait_expected = false;
    /// What the cost of the attempt depends on; its route is null if demand is even.
    cost_sample cost{};
    work_estimate expected_work{};
    double expected_wait_s = 0;
    /// When the head of an answer arrived from which a cost can be learned.
    std::optional<base::time_point> answered_at{};
    /// Inputs of the selection, for logs.
    attempt_summary explanation{};
};

/// By the distance of the receivers, how many load messages are between two that they get.
struct load_message_intervals
{
    std::uint64_t same_zone = 1;
    std::uint64_t same_region = 1;
    std::uint64_t other_regions = 1;

    std::uint64_t at(peer_distance distance) const
    {
        switch (distance)
        {
        case peer_distance::same_zone:
            return same_zone;
        case peer_distance::same_region:
            return same_region;
        case peer_distance::other_region:
            break;
        }
        return other_regions;
    }
};

struct director::state
{
    using request_map = std::unordered_map<base::local_request_id, request_state>;

    state(director_settings const& it, director_identity identity, std::uint64_t seed);

    limits::extra_attempt_budget& budget_of(base::service_id const& service);
    /// Returns the part of the extra-attempt budget that second attempts may use.
    limits::extra_attempt_budget& hedge_budget_of(base::service_id const& service);
    /// Returns whether the request may get a second attempt beside the one that is open.
    bool may_hedge(request_state const& request) const;
    /// Sets the time of a second attempt: the last one at which an answer that takes `expected`
    /// seconds is on time.
    void schedule_hedge(request_map::iterator it, double expected);
    void cancel_hedge(request_map::iterator it);
    void send_due_hedges(base::time_point now, director_actions& out);
    void hedge(request_map::iterator it, base::time_point now, director_actions& out);
    base::service_id next_service(route const& it);
    /// Sends the request to an upstream, or ends it with an error.
    void dispatch(request_map::iterator it, base::time_point now, director_actions& out);
    selection choose(request_state& request, service const& declared, base::time_point now);
    /// Charges an attempt to the extra-attempt budget of the service; returns false if it is used
    /// up.
    bool charge_attempt(request_state& request);
    /// Identifies the caller of a new request. If the request must not run, answers it and returns
    /// false.
    bool grants_access(arrived_request const& it, route const& matched, request_access& granted,
                       base::time_point now, director_actions& out);
    /// Checks the request's API key again, by the configuration in force now. If the request must
    /// not run, ends it and returns false.
    bool still_has_access(request_map::iterator it, base::time_point now, director_actions& out);
    void count_refused_access(base::error_kind kind);
    std::optional<base::duration> deciding_proof_age(base::error_kind kind,
                                                     base::time_point now) const;
    bool is_admitted(request_state const& request, selection const& chosen,
                     base::time_point now) const;
    void start(request_map::iterator it, selection const& chosen, service const& declared,
               base::time_point now, director_actions& out);
    void end_with_error(request_map::iterator it, base::error_kind kind, director_actions& out);
    /// Ends a request that no upstream may get, as refused unless it may have run.
    void end_without_upstream(request_map::iterator it, selection const& chosen,
                              base::time_point now, director_actions& out);
    /// Returns the retry delay for a request that is refused because all upstreams are paused.
    base::duration delay_until(base::time_point pause_end, request_state const& request,
                               base::time_point now);
    void erase_if_ended(request_map::iterator it);
    void record_attempt_end(attempt_state const& it, attempt_end const& end, base::time_point now);
    void report_attempt(attempt_state& it, attempt_end const& end, base::time_point now,
                        director_actions& out) const;
    void record_work_time(attempt_state const& it, request_state const& request,
                          base::time_point now);
    bool has_enough_peers() const;
    /// Updates the remaining work of the upstreams of a service.
    void update_open_work(base::service_id const& service, double typical_work,
                          base::time_point now);
    void add_open_work(base::attempt_id id, attempt_state& it, selection const& chosen,
                       base::time_point now);
    void learn_attempt_end(base::attempt_id id, attempt_state& it, attempt_end const& end,
                           base::time_point now);
    void replace_configuration(std::shared_ptr<configuration const> const& offered,
                               director_actions& out);
    /// Applies the set of evacuated zones to the upstreams.
    void apply_evacuations(base::time_point now);
    void report_retired(director_actions& out);
    /// Takes a token for a new request, or ends the request if its tenant is over its allowance.
    bool take_token(request_map::iterator it, base::time_point now, director_actions& out);
    /// Gives back the token of a request that ended without having run.
    void give_back_token(request_state const& it);
    /// Makes changed bounds, tenants and entries known to `allowance`.
    void refresh_allowance(base::time_point now);
    /// Returns the interval of load messages of which that many entries, this one included, get
    /// every one.
    base::duration load_interval(std::size_t full_rate_receivers) const;
    /// Returns the interval of this entry's load messages.
    base::duration own_load_interval() const;
    load_message_intervals load_intervals() const;
    /// Returns the age above which load messages of other entries are discarded.
    base::duration load_max_age() const;
    /// Copies the load reported by other entries to the upstreams of a service.
    void apply_peer_loads(base::service_id const& service) const;

    director_settings settings;
    director_identity self;
    std::shared_ptr<configuration const> config;
    route_index routes;
    caller_access access;
    removal_grace_period removal_grace;
    evacuations zones;
    upstream_table upstreams;
    entry_view entries;
    peer_loads peers;
    round_trip_times round_trips;
    work_times work_times_by_route;
    cost_model costs;
    selector upstream_selector;
    std::unordered_map<base::service_id, limits::extra_attempt_budget> budgets;
    std::unordered_map<base::service_id, limits::extra_attempt_budget> hedge_budgets;
    hedge_schedule hedges;
    std::unordered_map<std::string, std::vector<std::int64_t>> split_credit;
    /// Longest remaining time that callers have stated, by route.
    std::unordered_map<std::string, base::duration> longest_timeouts;
    request_map requests;
    std::unordered_map<base::attempt_id, attempt_state> attempts;
    /// Time at which the process ends; the largest time unless it is draining.
    base::time_point ends_at = base::time_point::max();
    /// Spreads retry delays.
    std::mt19937_64 random;
    std::uint64_t last_attempt_id = 0;
    std::uint64_t load_sequence = 0;
    /// Latest control-plane positions: that of this entry, and the highest one of other entries.
    control_position position;
    control_position highest_peer_position;
    allowances::keeper allowance;
    bool allowance_is_outdated = true;
    bool has_entry_list = false;
    std::uint64_t allowance_entries_generation = 0;
    director_counters counters;
};

} // namespace fuchsiaproxy::steering

#endif
