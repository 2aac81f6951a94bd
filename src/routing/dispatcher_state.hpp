#ifndef FUCHSIAPROXY_ROUTING_DISPATCHER_STATE_HPP
#define FUCHSIAPROXY_ROUTING_DISPATCHER_STATE_HPP

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "fuchsiaproxy/routing/dispatcher.hpp"
#include "index_map.hpp"
#include "loan_table.hpp"
#include "ownership.hpp"
#include "slot_ledger.hpp"
#include "tables.hpp"
#include "timer_heap.hpp"
#include "upstream_cost.hpp"

namespace fuchsiaproxy::routing
{

/// Implementation of `dispatcher`. Rows of the tables are referred to by index; ids are translated
/// to indices at the public interface only.
struct dispatcher::state
{
    state(dispatcher_identity identity, std::uint64_t seed, move_permit& gate,
          dispatcher_settings const& values);

    // topology.cpp
    void configure(model::configuration const& configuration, base::time_point now);
    void set_entries(std::vector<messages::entry_info> const& live, base::time_point now);
    void set_leaving(base::upstream_id const& upstream, bool leaves);

    // admission.cpp
    void enqueue(queued_request const& request, base::time_point now, dispatch_actions& actions);
    void on_caller_gone(base::local_request_id id, base::time_point now, dispatch_actions& actions);
    void on_queue_expiry(std::uint32_t request, base::time_point now, dispatch_actions& actions);
    base::duration expected_wait(service_row const& service, queue_entry const& it) const;
    void choose_target(service_row& service, request_row& request, base::time_point now);
    /// Returns why the request is refused, if it is. May evict queued requests to admit it.
    std::optional<base::error_kind> check_admission(service_row& service,
                                                    request_row const& request,
                                                    queue_entry const& entry, base::time_point now,
                                                    dispatch_actions& actions);
    queue_entry entry_for(std::uint32_t request) const;
    base::time_point latest_start(class_row const& kind, base::time_point arrived,
                                  base::time_point deadline) const;
    void evict(service_row& service, std::size_t position, base::error_kind kind,
               dispatch_actions& actions);
    void put_in_queue(std::uint32_t request, base::time_point now);
    void report_failure(std::uint32_t request, base::error_kind kind, dispatch_actions& actions);
    void free_request(std::uint32_t request);

    // selection.cpp
    struct slot_choice
    {
        std::uint32_t upstream = no_index;
        std::uint32_t loan = no_index;
        bool is_probe = false;
    };
    void dispatch(std::uint32_t service, base::time_point now, dispatch_actions& actions);
    void dispatch_hedges(service_row& service, base::time_point now, dispatch_actions& actions);
    bool any_free_slot(service_row const& service, base::time_point now) const;
    /// Returns a free slot of the cheapest upstream. An upstream outside the home place needs a
    /// move permit; places to which the move is refused are skipped.
    std::optional<slot_choice> choose_slot(service_row const& service, request_row& request,
                                           std::uint32_t strictly_avoid, base::time_point now);
    std::optional<slot_choice> cheapest_slot(service_row const& service, request_row const& request,
                                             std::uint32_t avoid, base::time_point now) const;
    /// Returns an ejected upstream that `request` can probe.
    std::optional<slot_choice> choose_probe(service_row const& service, request_row const& request,
                                            base::time_point now) const;
    /// Returns whether a slot at `round_trip` is preferable to waiting for a nearer one.
    bool justifies_round_trip(service_row const& service, base::duration round_trip,
                              base::duration waited) const;
    bool is_move_refused(std::uint32_t place) const;
    bool accepts_attempts(upstream_row const& up) const;
    bool has_slot(std::uint32_t upstream, base::time_point now, std::uint32_t& loan) const;
    bool admits_long(service_row const& service, upstream_row const& up, bool on_loan) const;
    upstream_cost cost_of(upstream_row const& up, class_row const& kind,
                          base::byte_count size) const;
    std::vector<candidate_info> explain(base::service_id const& service, std::size_t request_class,
                                        base::byte_count size, base::time_point now) const;
    std::string_view reason_for(std::uint32_t upstream, base::time_point now) const;

    // attempts.cpp
    void begin_attempt(std::uint32_t request, slot_choice const& slot, bool is_hedge,
                       base::time_point now, dispatch_actions& actions);
    void on_head(base::attempt_id id, base::time_point now, dispatch_actions& actions);
    void on_finished(base::attempt_id id, attempt_result outcome, base::time_point now,
                     dispatch_actions& actions);
    void return_slot(std::uint32_t upstream, std::uint32_t loan, base::time_point now,
                     dispatch_actions& actions);
    void record_outcome(attempt_row const& attempt, attempt_result outcome, base::time_point now);
    void retry_or_fail(std::uint32_t request, attempt_row const& attempt, attempt_result outcome,
                       base::time_point now, dispatch_actions& actions);
    void cancel_other_attempts(request_row& request, std::uint32_t keep, dispatch_actions& actions);
    void on_hedge_due(std::uint32_t attempt, std::uint64_t id, base::time_point now,
                      dispatch_actions& actions);
    void update_classes(service_row& service);
    /// Starts a hedge if a slot is free and the budget allows it. Returns true when it should be
    /// tried again later.
    bool try_hedge(std::uint32_t attempt, base::time_point now, dispatch_actions& actions);
    void on_probe_end(attempt_row const& attempt, bool succeeded, base::time_point now);
    void on_probe_due(std::uint32_t upstream, base::time_point now);
    float reference_slowness(service_row const& service) const;
    void eject_if_outlier(std::uint32_t upstream, base::time_point now);
    std::uint32_t find_attempt(base::attempt_id id) const;
    void cancel(attempt_row& attempt, dispatch_actions& actions);
    void release_attempt(std::uint32_t attempt);

    // lending.cpp
    void request_loans(std::uint32_t service, base::time_point now, dispatch_actions& actions);
    lender_row* choose_lender(service_row& service, std::uint32_t target, base::duration waited,
                              base::time_point now);
    void request_loan(std::uint32_t request, lender_row& lender, base::time_point now,
                      dispatch_actions& actions);
    bool own_queue_precedes(service_row const& service, pending_borrow const& other) const;
    void clear_loan_request(held_loan const& loan);
    void on_loan_request(std::uint32_t from, messages::loan_request const& it, base::time_point now,
                         dispatch_actions& actions);
    void on_loan_answer(std::uint32_t from, messages::loan_answer const& it, base::time_point now,
                        dispatch_actions& actions);
    void on_loan_return(std::uint32_t from, messages::loan_return const& it, base::time_point now,
                        dispatch_actions& actions);
    bool lend_one(std::uint32_t service, std::uint32_t borrower, std::uint64_t number,
                  base::time_point now, dispatch_actions& actions);
    void grant_pending(std::uint32_t service, bool only_before_queue, base::time_point now,
                       dispatch_actions& actions);
    void expire_pending(std::uint32_t service, base::time_point now, dispatch_actions& actions);
    void on_borrow_timeout(std::uint32_t loan, std::uint64_t number, base::time_point now);
    void on_loan_expiry(std::uint32_t borrower, std::uint64_t number, base::time_point now,
                        dispatch_actions& actions);
    void arm_idle_timer(std::uint32_t loan, base::time_point now);
    void end_held_loan(std::uint32_t loan, bool notify_lender, dispatch_actions& actions);
    void on_loan_idle(std::uint32_t loan, std::uint64_t number, base::time_point now,
                      dispatch_actions& actions);
    void arm_recheck(std::uint32_t service, base::time_point now);
    /// Grants free slots first to borrowers that precede the own queue, then to the queue, then to
    /// the other borrowers.
    void use_free_slots(std::uint32_t service, base::time_point now, dispatch_actions& actions);
    lender_row* lender_of(service_row& service, std::uint32_t entry);

    // topology.cpp
    std::vector<owner_candidate> live_candidates(bool with_self) const;
    /// Returns the owner that `upstream` would have among the entries of `candidates`.
    std::uint32_t owner_among(upstream_row const& up,
                              std::vector<owner_candidate> const& candidates) const;

    // handover.cpp
    /// Begins a new takeover of each owned upstream, because another entry may have handed out its
    /// slots.
    void restart_takeovers(base::time_point now);
    /// Returns how long a slot that is handed out now may stay in use: a loan's validity, then an
    /// attempt until its deadline.
    base::duration longest_slot_hold(upstream_row const& up) const;
    /// Withholds the slots of an upstream until `previous_owner` hands them over or the takeover
    /// times out. Sends the first `takeover_request` at `send_at`.
    void begin_takeover(std::uint32_t upstream, std::uint32_t previous_owner,
                        base::time_point send_at, base::time_point now);
    void send_takeover_request(std::uint32_t upstream, base::time_point now,
                               dispatch_actions& actions);
    void end_takeover(std::uint32_t upstream, base::time_point now, dispatch_actions& actions);
    void on_takeover_request(std::uint32_t from, messages::takeover_request const& it,
                             base::time_point now, dispatch_actions& actions);
    void on_takeover_answer(std::uint32_t from, messages::takeover_answer const& it,
                            base::time_point now, dispatch_actions& actions);
    std::uint32_t slots_possibly_in_use(std::uint32_t upstream) const;
    void report_released_slot(std::uint32_t upstream, base::time_point now,
                              dispatch_actions& actions);

    void tick(base::time_point now, dispatch_actions& actions);
    void on_timer(timer_entry const& it, base::time_point now, dispatch_actions& actions);

    std::uint32_t entry_index(base::instance_id const& id) const;
    bool owned(upstream_row const& up) const
    {
        return up.owner == self_index;
    }

    dispatcher_identity self;
    move_permit& permit;
    dispatcher_settings settings;
    dispatcher_counters counts;

    std::vector<zone_row> zones;
    std::vector<entry_row> entries;
    std::vector<place_row> places;
    std::vector<upstream_row> upstreams;
    std::vector<service_row> services;
    std::unordered_map<base::instance_id, std::uint32_t> entry_by_id;
    std::unordered_map<base::place_id, std::uint32_t> place_by_id;
    std::unordered_map<base::upstream_id, std::uint32_t> upstream_by_id;
    std::unordered_map<base::service_id, std::uint32_t> service_by_id;
    std::unordered_map<base::availability_zone_id, std::uint32_t> zone_by_id;
    std::unordered_map<base::region_id, std::uint32_t> region_by_id;
    std::unordered_set<base::upstream_id> leaving;
    std::uint32_t self_index = no_index;
    std::uint32_t self_zone = no_index;

    slot_ledger ledger;
    loan_table loans;
    timer_heap timers;

    std::vector<attempt_row> attempts;
    std::vector<std::uint32_t> free_attempts;
    std::uint64_t next_serial = 1;
    std::vector<request_row> requests;
    std::vector<std::uint32_t> free_requests;
    index_map request_by_id;
    std::uint64_t random;
    /// Places to which the permit refused to move the current request.
    std::vector<std::uint32_t> refused_places;

private:
    std::uint32_t region_index(base::region_id const& id);
    std::uint32_t zone_index(base::availability_zone_id const& id);
    base::duration round_trip_to(std::uint32_t zone) const;
    void configure_zones(model::configuration const& configuration);
    void configure_service(model::service const& from);
    void configure_place(model::place const& from);
    void configure_upstream(model::upstream const& from, std::uint32_t service,
                            std::uint32_t place);
    void configure_shifts(model::configuration const& configuration);
    void assign_owners(base::time_point now);
    void rebuild_lists();
    void rebuild_lenders(service_row& service);

    model::network_delays delays_;
};

/// Attempt ids hold the row in their low bits and a serial number above.
constexpr unsigned attempt_row_bits = 20;

} // namespace fuchsiaproxy::routing

#endif
