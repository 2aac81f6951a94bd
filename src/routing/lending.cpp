#include <algorithm>

#include "dispatcher_state.hpp"

namespace fuchsiaproxy::routing
{

namespace
{

// Lenders that one decision looks at; they are in order of distance.
constexpr std::size_t lender_scan_limit = 32;
// Requests for slots of one service that are open at a time.
constexpr std::uint32_t max_open_borrows = 32;
// Requests at the head of the queue that loans are asked for.
constexpr std::size_t ask_scan_limit = 32;

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
        if (target != no_index
                ? it.place != target
                : (places[it.place].drained || !worth_the_distance(service, it.round_trip, waited)))
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
        // The jitter spreads the requests of entries that are at the same distance.
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

void dispatcher::state::ask(std::uint32_t request_index, lender_row& lender, base::time_point now,
                            dispatch_actions& actions)
{
    auto& request = requests[request_index];
    auto& service = services[request.service];
    request.asked = true;
    auto const index = loans.open(request.service, lender.entry, now);
    auto& loan = loans.at(index);
    loan.request = request_index;
    loan.request_serial = request.serial;
    ++lender.open;
    ++service.open_borrows;
    ++counts.borrows_sent;
    timers.push({now + lender.round_trip + settings.borrow_patience + settings.answer_slack,
                 loan.number, index, timer_kind::borrow_timeout});
    actions.emplace_back(send_message{
        entries[lender.entry].id, messages::borrow{loan.number, service.id, 1,
                                                   request.request_class, now - request.arrived}});
}

void dispatcher::state::forget_ask(held_loan const& loan)
{
    if (loan.request != no_index && requests[loan.request].serial == loan.request_serial)
    {
        requests[loan.request].asked = false;
    }
}

void dispatcher::state::borrow_for(std::uint32_t service_index, base::time_point now,
                                   dispatch_actions& actions)
{
    auto& service = services[service_index];
    if (!settings.parts.loans || service.lenders.empty())
    {
        return;
    }
    for (std::size_t n = 0;
         n < std::min(service.queue.size(), ask_scan_limit) &&
         service.open_borrows < std::min<std::size_t>(service.queue.size(), max_open_borrows);
         ++n)
    {
        auto const index = service.queue.at(n).request;
        auto const& request = requests[index];
        bool const has_share = service.in_flight >= std::max(service.fair_slots, 1U);
        if (request.asked || (has_share && now - request.arrived < settings.wait_before_borrowing))
        {
            continue;
        }
        bool const for_target = request.target != no_index && now < request.target_until;
        auto* const lender = choose_lender(service, for_target ? request.target : no_index,
                                           now - request.arrived, now);
        if (lender != nullptr)
        {
            ask(index, *lender, now, actions);
        }
        else if (!for_target)
        {
            return;
        }
    }
}

void dispatcher::state::on_borrow(std::uint32_t from, messages::borrow const& it,
                                  base::time_point now, dispatch_actions& actions)
{
    auto const found = service_by_id.find(it.service);
    auto const deny = [&]
    {
        ++counts.borrows_refused;
        actions.emplace_back(send_message{entries[from].id, messages::lend{it.number, {}, 0, {}}});
    };
    if (found == service_by_id.end())
    {
        deny();
        return;
    }
    auto& service = services[found->second];
    bool const is_pending =
        std::any_of(service.pending.begin(), service.pending.end(),
                    [&](auto const& p) { return p.borrower == from && p.number == it.number; });
    if (is_pending || ledger.has_loan(from, it.number))
    {
        return; // a duplicate
    }
    bool const far = entries[from].region != zones[self_zone].region;
    bool const may_lend_now = service.queue.empty() && service.pending.empty();
    if (may_lend_now && lend_one(found->second, from, it.number, now, actions))
    {
        return;
    }
    if (far || service.owned_slots == 0)
    {
        deny();
        return;
    }
    // Ranks come from this entry's measurements only: those of two entries differ a little, which
    // would favour one of them.
    auto const& kind =
        service.classes[std::min<std::size_t>(it.request_class, service.classes.size() - 1)];
    auto const arrived = now - it.waited;
    pending_borrow const added{from, it.number, now, settings.parts.deadline_first ? 0 : kind.rank,
                               latest_start(kind, arrived, arrived + kind.deadline)};
    auto const place = std::upper_bound(
        service.pending.begin(), service.pending.end(), added,
        [](auto const& a, auto const& b)
        { return a.priority != b.priority ? a.priority > b.priority : a.until < b.until; });
    service.pending.insert(place, added);
    timers.push({now + settings.borrow_patience, 0, found->second, timer_kind::pending_expiry});
    after_slot_change(found->second, now, actions);
}

bool dispatcher::state::lend_one(std::uint32_t service_index, std::uint32_t borrower,
                                 std::uint64_t number, base::time_point now,
                                 dispatch_actions& actions)
{
    auto const& service = services[service_index];
    std::uint32_t best = no_index;
    std::uint32_t best_free = 0;
    for (auto const n : service.usable)
    {
        auto const& up = upstreams[n];
        bool const lendable = owned(up) && up.settled && takes_work(up) && !up.health.ejected() &&
                              (!settings.parts.warming || ledger.used(n) < up.warmth.limit());
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
    ledger.lend({number, borrower, best});
    ++counts.loans_granted;
    // The holder starts no attempt after the validity, and each ends by its deadline.
    auto const validity = service.queue.empty() && service.pending.size() <= 1
                              ? settings.loan_validity
                              : settings.contended_validity;
    timers.push({now + validity + service.largest_deadline + settings.deadline_margin, number,
                 borrower, timer_kind::loan_expiry});
    actions.emplace_back(send_message{entries[borrower].id,
                                      messages::lend{number, upstreams[best].id, 1, validity}});
    return true;
}

bool dispatcher::state::queue_goes_first(service_row const& service,
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
                                                                  : settings.exchange_margin;
    return other.until + margin > head.until;
}

void dispatcher::state::serve_pending(std::uint32_t service_index, bool only_older,
                                      base::time_point now, dispatch_actions& actions)
{
    auto& service = services[service_index];
    while (!service.pending.empty())
    {
        auto const first = service.pending.front();
        if (only_older && queue_goes_first(service, first))
        {
            return;
        }
        if (!lend_one(service_index, first.borrower, first.number, now, actions))
        {
            return;
        }
        service.pending.erase(service.pending.begin());
    }
}

void dispatcher::state::after_slot_change(std::uint32_t service, base::time_point now,
                                          dispatch_actions& actions)
{
    serve_pending(service, true, now, actions);
    dispatch(service, now, actions);
    serve_pending(service, false, now, actions);
}

void dispatcher::state::expire_pending(std::uint32_t service_index, base::time_point now,
                                       dispatch_actions& actions)
{
    auto& pending = services[service_index].pending;
    for (std::size_t n = 0; n < pending.size();)
    {
        auto const it = pending[n];
        if (now - it.received < settings.borrow_patience)
        {
            ++n;
            continue;
        }
        ++counts.borrows_refused;
        actions.emplace_back(
            send_message{entries[it.borrower].id, messages::lend{it.number, {}, 0, {}}});
        pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(n));
    }
}

void dispatcher::state::on_lend(std::uint32_t from, messages::lend const& it, base::time_point now,
                                dispatch_actions& actions)
{
    auto const index = loans.find(it.number);
    if (index == no_index || loans.at(index).lender != from || loans.at(index).upstream != no_index)
    {
        if (it.slots > 0 && (index == no_index || loans.at(index).lender != from))
        {
            actions.emplace_back(send_message{
                entries[from].id, messages::give_back{it.number, it.upstream, it.slots}});
        }
        return;
    }
    auto& loan = loans.at(index);
    auto& service = services[loan.service];
    --service.open_borrows;
    // A lent slot serves the head of the queue, so this request may need another one.
    forget_ask(loan);
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
            lender->paused_until = now + settings.lender_pause;
        }
        auto const service_index = loan.service;
        end_held_loan(index, it.slots > 0, actions);
        dispatch(service_index, now, actions);
        return;
    }
    ++counts.loans_received;
    loan.upstream = found->second;
    loan.expires = loan.asked_at + it.valid_for;
    loan.idle_since = now;
    if (upstreams[found->second].borrowed++ == 0 && !owned(upstreams[found->second]))
    {
        service.usable.push_back(found->second);
    }
    auto const& up = upstreams[found->second];
    if (now >= loan.expires || !takes_work(up) || up.health.ejected())
    {
        end_held_loan(index, true, actions);
        return;
    }
    watch_idle(index, now);
    dispatch(loan.service, now, actions);
}

void dispatcher::state::on_give_back(std::uint32_t from, messages::give_back const& it,
                                     base::time_point now, dispatch_actions& actions)
{
    auto const upstream = ledger.end_loan(from, it.number);
    if (upstream != no_index)
    {
        // The borrower's answers are not seen here; a loan that came back counts as one.
        upstreams[upstream].warmth.on_good();
        tell_heir(upstream, now, actions);
        after_slot_change(upstreams[upstream].service, now, actions);
    }
}

void dispatcher::state::end_held_loan(std::uint32_t index, bool tell_lender,
                                      dispatch_actions& actions)
{
    auto const loan = loans.at(index);
    if (tell_lender)
    {
        auto const upstream =
            loan.upstream == no_index ? base::upstream_id() : upstreams[loan.upstream].id;
        actions.emplace_back(
            send_message{entries[loan.lender].id, messages::give_back{loan.number, upstream, 1}});
    }
    if (loan.upstream != no_index)
    {
        auto& up = upstreams[loan.upstream];
        auto& usable = services[loan.service].usable;
        if (--up.borrowed == 0 && !owned(up))
        {
            usable.erase(std::remove(usable.begin(), usable.end(), loan.upstream), usable.end());
        }
    }
    loans.remove(index);
}

void dispatcher::state::watch_idle(std::uint32_t index, base::time_point now)
{
    auto& loan = loans.at(index);
    if (!loan.idle_timer_armed)
    {
        loan.idle_timer_armed = true;
        timers.push({now + settings.loan_linger, loan.number, index, timer_kind::loan_idle});
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
    if (now - loan.idle_since >= settings.loan_linger || now >= loan.expires)
    {
        end_held_loan(index, true, actions);
        return;
    }
    watch_idle(index, loan.idle_since);
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
    forget_ask(loan);
    loans.remove(index);
}

void dispatcher::state::on_loan_lapsed(std::uint32_t borrower, std::uint64_t number,
                                       base::time_point now, dispatch_actions& actions)
{
    auto const upstream = ledger.end_loan(borrower, number);
    if (upstream != no_index)
    {
        ++counts.loans_lapsed;
        tell_heir(upstream, now, actions);
        after_slot_change(upstreams[upstream].service, now, actions);
    }
}

} // namespace fuchsiaproxy::routing
