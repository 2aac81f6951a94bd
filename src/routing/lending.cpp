#include <algorithm>

#include "dispatcher_state.hpp"

namespace fuchsiaproxy::routing
{

namespace
{

// Lenders that are considered for one loan request, nearest first.
constexpr std::size_t lender_scan_limit = 32;
// Loan requests of one service that may be unanswered at a time.
constexpr std::uint32_t max_open_borrows = 32;
// Requests at the head of the queue for which loans are requested.
constexpr std::size_t borrow_scan_limit = 32;

} // namespace

lender_row* dispatcher::state::lender_of(service_row& service, std::uint32_t entry)
{
    auto const it = std::find_if(service.lenders.begin(), service.lenders.end(),
                                 [&](auto const& row) { return row.entry == entry; });
    return it == service.lenders.end() ? nullptr : &*it;
}

void dispatcher::state::arm_recheck(std::uint32_t service, base::time_point now)
{
    if (!services[service].recheck_armed)
    {
        services[service].recheck_armed = true;
        timers.push({now + settings.recheck_interval, 0, service, timer_kind::recheck});
    }
}

lender_row* dispatcher::state::choose_lender(service_row& service, std::uint32_t target,
                                             base::duration waited, base::time_point now)
{
    lender_row* best = nullptr;
    base::duration best_score = base::duration::max();
    std::size_t seen = 0;
    for (auto& it : service.lenders)
    {
        if (target != no_index ? it.place != target
                               : (places[it.place].drained ||
                                  !justifies_round_trip(service, it.round_trip, waited)))
        {
            continue;
        }
        if (++seen > lender_scan_limit)
        {
            break;
        }
        if (now < it.paused_until || it.open >= settings.borrows_per_lender)
        {
            continue;
        }
        // Jitter spreads the loan requests across lenders at the same distance.
        random = mix(random + 1);
        auto const jitter = base::duration(static_cast<base::duration::rep>(
            random % static_cast<std::uint64_t>(settings.within_zone.count() * 2 + 1)));
        auto const score = it.round_trip + it.open * settings.open_borrow_penalty + jitter;
        if (score < best_score)
        {
            best = &it;
            best_score = score;
        }
    }
    return best;
}

void dispatcher::state::request_loan(std::uint32_t request_index, lender_row& lender,
                                     base::time_point now, dispatch_actions& actions)
{
    auto& request = requests[request_index];
    auto& service = services[request.service];
    request.loan_requested = true;
    auto const index = loans.open(request.service, lender.entry, now);
    auto& loan = loans.at(index);
    loan.request = request_index;
    loan.request_serial = request.serial;
    ++lender.open;
    ++service.open_borrows;
    ++counts.borrows_sent;
    timers.push({now + lender.round_trip + settings.max_borrow_wait + settings.answer_slack,
                 loan.number, index, timer_kind::borrow_timeout});
    actions.emplace_back(
        send_message{entries[lender.entry].id,
                     messages::loan_request{loan.number, service.id, 1, request.request_class,
                                            now - request.arrived}});
}

void dispatcher::state::clear_loan_request(held_loan const& loan)
{
    if (loan.request != no_index && requests[loan.request].serial == loan.request_serial)
    {
        requests[loan.request].loan_requested = false;
    }
}

void dispatcher::state::request_loans(std::uint32_t service_index, base::time_point now,
                                      dispatch_actions& actions)
{
    auto& service = services[service_index];
    if (!settings.switches.loans || service.lenders.empty())
    {
        return;
    }
    for (std::size_t n = 0;
         n < std::min(service.queue.size(), borrow_scan_limit) &&
         service.open_borrows < std::min<std::size_t>(service.queue.size(), max_open_borrows);
         ++n)
    {
        auto const index = service.queue.at(n).request;
        auto const& request = requests[index];
        bool const has_fair_share = service.in_flight >= std::max(service.fair_slots, 1U);
        if (request.loan_requested ||
            (has_fair_share && now - request.arrived < settings.wait_before_borrowing))
        {
            continue;
        }
        bool const for_target = request.target != no_index && now < request.target_until;
        auto* const lender = choose_lender(service, for_target ? request.target : no_index,
                                           now - request.arrived, now);
        if (lender != nullptr)
        {
            request_loan(index, *lender, now, actions);
        }
        else if (!for_target)
        {
            return;
        }
    }
}

void dispatcher::state::on_loan_request(std::uint32_t from, messages::loan_request const& it,
                                        base::time_point now, dispatch_actions& actions)
{
    auto const found = service_by_id.find(it.service);
    auto const deny = [&]
    {
        ++counts.borrows_refused;
        actions.emplace_back(
            send_message{entries[from].id, messages::loan_answer{it.number, {}, 0, {}}});
    };
    if (found == service_by_id.end())
    {
        deny();
        return;
    }
    auto& service = services[found->second];
    bool const is_pending =
        std::any_of(service.pending_borrows.begin(), service.pending_borrows.end(),
                    [&](auto const& p) { return p.borrower == from && p.number == it.number; });
    if (is_pending || ledger.has_loan(from, it.number))
    {
        return; // a duplicate
    }
    bool const other_region = entries[from].region != zones[self_zone].region;
    bool const may_lend_now = service.queue.empty() && service.pending_borrows.empty();
    if (may_lend_now && lend_one(found->second, from, it.number, now, actions))
    {
        return;
    }
    if (other_region || service.owned_slots == 0)
    {
        deny();
        return;
    }
    // Ranks come from this entry's measurements for all borrowers: the measurements of two entries
    // differ slightly, which would favour one of them.
    auto const& kind =
        service.classes[std::min<std::size_t>(it.request_class, service.classes.size() - 1)];
    auto const arrived = now - it.waited;
    pending_borrow const added{from, it.number, now,
                               settings.switches.deadline_first ? 0 : kind.rank,
                               latest_start(kind, arrived, arrived + kind.deadline)};
    auto const place = std::upper_bound(
        service.pending_borrows.begin(), service.pending_borrows.end(), added,
        [](auto const& a, auto const& b)
        { return a.priority != b.priority ? a.priority > b.priority : a.start_by < b.start_by; });
    service.pending_borrows.insert(place, added);
    timers.push({now + settings.max_borrow_wait, 0, found->second, timer_kind::pending_expiry});
    use_free_slots(found->second, now, actions);
}

bool dispatcher::state::lend_one(std::uint32_t service_index, std::uint32_t borrower,
                                 std::uint64_t number, base::time_point now,
                                 dispatch_actions& actions)
{
    auto const& service = services[service_index];
    std::uint32_t best = no_index;
    std::uint32_t best_free = 0;
    for (auto const n : service.usable_upstreams)
    {
        auto const& up = upstreams[n];
        bool const lendable = owned(up) && up.takeover_done && accepts_attempts(up) &&
                              !up.health.ejected() &&
                              (!settings.switches.warming || ledger.used(n) < up.warm_up.limit());
        if (lendable && ledger.free(n) > best_free)
        {
            best = n;
            best_free = ledger.free(n);
        }
    }
    if (best == no_index)
    {
        return false;
    }
    ledger.add_loan({number, borrower, best});
    ++counts.loans_granted;
    // The borrower starts no attempt after the validity period, and each attempt ends by its
    // deadline.
    auto const validity = service.queue.empty() && service.pending_borrows.size() <= 1
                              ? settings.loan_validity
                              : settings.contended_loan_validity;
    timers.push({now + validity + service.largest_deadline + settings.deadline_margin, number,
                 borrower, timer_kind::loan_expiry});
    actions.emplace_back(send_message{
        entries[borrower].id, messages::loan_answer{number, upstreams[best].id, 1, validity}});
    return true;
}

bool dispatcher::state::own_queue_precedes(service_row const& service,
                                           pending_borrow const& other) const
{
    if (service.queue.empty())
    {
        return false;
    }
    auto const& head = service.queue.at(0);
    if (head.priority != other.priority)
    {
        return head.priority > other.priority;
    }
    auto const margin = entries[other.borrower].zone == self_zone ? base::duration::zero()
                                                                  : settings.cross_zone_margin;
    return other.start_by + margin > head.start_by;
}

void dispatcher::state::grant_pending(std::uint32_t service_index, bool only_before_queue,
                                      base::time_point now, dispatch_actions& actions)
{
    auto& service = services[service_index];
    while (!service.pending_borrows.empty())
    {
        auto const first = service.pending_borrows.front();
        if (only_before_queue && own_queue_precedes(service, first))
        {
            return;
        }
        if (!lend_one(service_index, first.borrower, first.number, now, actions))
        {
            return;
        }
        service.pending_borrows.erase(service.pending_borrows.begin());
    }
}

void dispatcher::state::use_free_slots(std::uint32_t service, base::time_point now,
                                       dispatch_actions& actions)
{
    grant_pending(service, true, now, actions);
    dispatch(service, now, actions);
    grant_pending(service, false, now, actions);
}

void dispatcher::state::expire_pending(std::uint32_t service_index, base::time_point now,
                                       dispatch_actions& actions)
{
    auto& pending_borrows = services[service_index].pending_borrows;
    for (std::size_t n = 0; n < pending_borrows.size();)
    {
        auto const it = pending_borrows[n];
        if (now - it.received < settings.max_borrow_wait)
        {
            ++n;
            continue;
        }
        ++counts.borrows_refused;
        actions.emplace_back(
            send_message{entries[it.borrower].id, messages::loan_answer{it.number, {}, 0, {}}});
        pending_borrows.erase(pending_borrows.begin() + static_cast<std::ptrdiff_t>(n));
    }
}

void dispatcher::state::on_loan_answer(std::uint32_t from, messages::loan_answer const& it,
                                       base::time_point now, dispatch_actions& actions)
{
    auto const index = loans.find(it.number);
    if (index == no_index || loans.at(index).lender != from || loans.at(index).upstream != no_index)
    {
        if (it.slots > 0 && (index == no_index || loans.at(index).lender != from))
        {
            actions.emplace_back(send_message{
                entries[from].id, messages::loan_return{it.number, it.upstream, it.slots}});
        }
        return;
    }
    auto& loan = loans.at(index);
    auto& service = services[loan.service];
    --service.open_borrows;
    // A lent slot serves the head of the queue, so this request may need another loan.
    clear_loan_request(loan);
    auto* const lender = lender_of(service, from);
    if (lender != nullptr)
    {
        lender->open -= std::min(lender->open, 1U);
    }
    auto const found = upstream_by_id.find(it.upstream);
    if (it.slots == 0 || found == upstream_by_id.end())
    {
        if (lender != nullptr)
        {
            lender->paused_until = now + settings.refusing_lender_pause;
        }
        auto const service_index = loan.service;
        end_held_loan(index, it.slots > 0, actions);
        dispatch(service_index, now, actions);
        return;
    }
    ++counts.loans_received;
    loan.upstream = found->second;
    loan.expires = loan.requested_at + it.valid_for;
    loan.idle_since = now;
    if (upstreams[found->second].borrowed++ == 0 && !owned(upstreams[found->second]))
    {
        service.usable_upstreams.push_back(found->second);
    }
    auto const& up = upstreams[found->second];
    if (now >= loan.expires || !accepts_attempts(up) || up.health.ejected())
    {
        end_held_loan(index, true, actions);
        return;
    }
    arm_idle_timer(index, now);
    dispatch(loan.service, now, actions);
}

void dispatcher::state::on_loan_return(std::uint32_t from, messages::loan_return const& it,
                                       base::time_point now, dispatch_actions& actions)
{
    auto const upstream = ledger.end_loan(from, it.number);
    if (upstream != no_index)
    {
        // This entry does not receive the upstream's answers to the borrower; a returned loan
        // counts as one successful attempt.
        upstreams[upstream].warm_up.on_success();
        report_released_slot(upstream, now, actions);
        use_free_slots(upstreams[upstream].service, now, actions);
    }
}

void dispatcher::state::end_held_loan(std::uint32_t index, bool notify_lender,
                                      dispatch_actions& actions)
{
    auto const loan = loans.at(index);
    if (notify_lender)
    {
        auto const upstream =
            loan.upstream == no_index ? base::upstream_id() : upstreams[loan.upstream].id;
        actions.emplace_back(
            send_message{entries[loan.lender].id, messages::loan_return{loan.number, upstream, 1}});
    }
    if (loan.upstream != no_index)
    {
        auto& up = upstreams[loan.upstream];
        auto& usable_upstreams = services[loan.service].usable_upstreams;
        if (--up.borrowed == 0 && !owned(up))
        {
            usable_upstreams.erase(
                std::remove(usable_upstreams.begin(), usable_upstreams.end(), loan.upstream),
                usable_upstreams.end());
        }
    }
    loans.remove(index);
}

void dispatcher::state::arm_idle_timer(std::uint32_t index, base::time_point now)
{
    auto& loan = loans.at(index);
    if (!loan.idle_timer_armed)
    {
        loan.idle_timer_armed = true;
        timers.push({now + settings.idle_loan_timeout, loan.number, index, timer_kind::loan_idle});
    }
}

void dispatcher::state::on_loan_idle(std::uint32_t index, std::uint64_t number,
                                     base::time_point now, dispatch_actions& actions)
{
    auto& loan = loans.at(index);
    if (loan.number != number)
    {
        return;
    }
    loan.idle_timer_armed = false;
    if (loan.in_use)
    {
        return;
    }
    if (now - loan.idle_since >= settings.idle_loan_timeout || now >= loan.expires)
    {
        end_held_loan(index, true, actions);
        return;
    }
    arm_idle_timer(index, loan.idle_since);
}

void dispatcher::state::on_borrow_timeout(std::uint32_t index, std::uint64_t number,
                                          base::time_point now)
{
    auto const& loan = loans.at(index);
    if (loan.number != number || loan.upstream != no_index)
    {
        return;
    }
    auto& service = services[loan.service];
    --service.open_borrows;
    if (auto* const lender = lender_of(service, loan.lender))
    {
        lender->open -= std::min(lender->open, 1U);
        lender->paused_until = now + settings.silent_lender_pause;
    }
    clear_loan_request(loan);
    loans.remove(index);
}

void dispatcher::state::on_loan_expiry(std::uint32_t borrower, std::uint64_t number,
                                       base::time_point now, dispatch_actions& actions)
{
    auto const upstream = ledger.end_loan(borrower, number);
    if (upstream != no_index)
    {
        ++counts.loans_lapsed;
        report_released_slot(upstream, now, actions);
        use_free_slots(upstreams[upstream].service, now, actions);
    }
}

} // namespace fuchsiaproxy::routing
