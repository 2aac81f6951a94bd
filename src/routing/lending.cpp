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
// Queued requests that are looked at for shifted ones.
constexpr std::size_t target_scan_limit = 32;

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

void dispatcher::state::ask(std::uint32_t service_index, lender_row& lender, base::time_point now,
                            dispatch_actions& actions)
{
    auto& service = services[service_index];
    auto const loan = loans.open(service_index, lender.entry, now);
    auto const number = loans.at(loan).number;
    ++lender.open;
    ++service.open_borrows;
    ++counts.borrows_sent;
    timers.push({now + lender.round_trip + settings.borrow_patience + settings.answer_slack, number,
                 loan, timer_kind::borrow_timeout});
    actions.emplace_back(
        send_message{entries[lender.entry].id, messages::borrow{number, service.id, 1}});
}

void dispatcher::state::borrow_for(std::uint32_t service_index, base::time_point now,
                                   dispatch_actions& actions)
{
    auto& service = services[service_index];
    if (!settings.parts.loans || service.lenders.empty())
    {
        return;
    }
    if (!service.shifts.empty())
    {
        borrow_for_targets(service_index, now, actions);
    }
    auto const waited = now - requests[service.queue.at(0).request].arrived;
    while (service.open_borrows < std::min<std::size_t>(service.queue.size(), max_open_borrows))
    {
        auto* const lender = choose_lender(service, no_index, waited, now);
        if (lender == nullptr)
        {
            return;
        }
        ask(service_index, *lender, now, actions);
    }
}

void dispatcher::state::borrow_for_targets(std::uint32_t service_index, base::time_point now,
                                           dispatch_actions& actions)
{
    auto& service = services[service_index];
    for (auto const& shift : service.shifts)
    {
        std::uint32_t waiting = 0;
        for (std::size_t n = 0; n < std::min(service.queue.size(), target_scan_limit); ++n)
        {
            auto const& request = requests[service.queue.at(n).request];
            waiting += request.target == shift.to && now < request.target_until ? 1 : 0;
        }
        for (auto const& it : service.lenders)
        {
            waiting -= it.place == shift.to ? std::min(waiting, it.open) : 0;
        }
        for (; waiting > 0; --waiting)
        {
            auto* const lender = choose_lender(service, shift.to, {}, now);
            if (lender == nullptr)
            {
                break;
            }
            ask(service_index, *lender, now, actions);
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
    service.pending.push_back({from, it.number, now});
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
    timers.push({now + settings.loan_validity + service.largest_deadline + settings.deadline_margin,
                 number, borrower, timer_kind::loan_expiry});
    actions.emplace_back(
        send_message{entries[borrower].id,
                     messages::lend{number, upstreams[best].id, 1, settings.loan_validity}});
    return true;
}

void dispatcher::state::serve_pending(std::uint32_t service_index, bool only_older,
                                      base::time_point now, dispatch_actions& actions)
{
    auto& service = services[service_index];
    while (!service.pending.empty())
    {
        auto const first = service.pending.front();
        if (only_older && !service.queue.empty() &&
            first.received > requests[service.queue.at(0).request].arrived)
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
    while (!pending.empty() && now - pending.front().received >= settings.borrow_patience)
    {
        ++counts.borrows_refused;
        actions.emplace_back(send_message{entries[pending.front().borrower].id,
                                          messages::lend{pending.front().number, {}, 0, {}}});
        pending.erase(pending.begin());
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
    loans.remove(index);
}

void dispatcher::state::on_loan_lapsed(std::uint32_t borrower, std::uint64_t number,
                                       base::time_point now, dispatch_actions& actions)
{
    auto const upstream = ledger.end_loan(borrower, number);
    if (upstream != no_index)
    {
        ++counts.loans_lapsed;
        after_slot_change(upstreams[upstream].service, now, actions);
    }
}

} // namespace fuchsiaproxy::routing
