#include <algorithm>

#include "dispatcher_state.hpp"

namespace fuchsiaproxy::routing
{

namespace
{

// Interval at which an unanswered `takeover_request` is sent again.
constexpr base::duration resend_interval = std::chrono::milliseconds(200);

} // namespace

base::duration dispatcher::state::longest_slot_hold(upstream_row const& up) const
{
    return settings.loan_validity + services[up.service].largest_deadline +
           settings.deadline_margin;
}

void dispatcher::state::begin_takeover(std::uint32_t upstream, std::uint32_t previous_owner,
                                       base::time_point send_at, base::time_point now)
{
    auto& up = upstreams[upstream];
    up.takeover_done = false;
    ledger.set_reserved(upstream, 0);
    up.takeover = next_serial++;
    up.previous_owner = previous_owner;
    up.new_owner = no_index;
    // A previous owner that does not answer may not have seen the change yet, and loans that it
    // granted may be in use.
    up.reserved_until = now + settings.view_lag + longest_slot_hold(up);
    timers.push({up.reserved_until, up.takeover, upstream, timer_kind::takeover_end});
    if (previous_owner != no_index)
    {
        timers.push({send_at, up.takeover, upstream, timer_kind::takeover_request_due});
    }
}

void dispatcher::state::restart_takeovers(base::time_point now)
{
    auto const others = live_candidates(false);
    for (std::uint32_t n = 0; n < upstreams.size(); ++n)
    {
        if (owned(upstreams[n]))
        {
            begin_takeover(n, owner_among(upstreams[n], others), now, now);
        }
    }
    rebuild_lists();
}

void dispatcher::state::send_takeover_request(std::uint32_t upstream, base::time_point now,
                                              dispatch_actions& actions)
{
    auto const& up = upstreams[upstream];
    if (up.takeover_done || up.previous_owner == no_index || !entries[up.previous_owner].live)
    {
        return;
    }
    actions.emplace_back(send_message{entries[up.previous_owner].id,
                                      messages::takeover_request{up.takeover, up.id}});
    timers.push({now + resend_interval, up.takeover, upstream, timer_kind::takeover_request_due});
}

void dispatcher::state::end_takeover(std::uint32_t upstream, base::time_point now,
                                     dispatch_actions& actions)
{
    auto& up = upstreams[upstream];
    if (now < up.reserved_until)
    {
        return;
    }
    up.takeover_done = true;
    ledger.set_reserved(upstream, 0);
    use_free_slots(up.service, now, actions);
}

std::uint32_t dispatcher::state::slots_possibly_in_use(std::uint32_t upstream) const
{
    auto const& up = upstreams[upstream];
    return up.takeover_done ? std::min(up.slots, ledger.used(upstream) + ledger.reserved(upstream))
                            : up.slots;
}

void dispatcher::state::on_takeover_request(std::uint32_t from,
                                            messages::takeover_request const& it,
                                            base::time_point now, dispatch_actions& actions)
{
    auto const found = upstream_by_id.find(it.upstream);
    if (found == upstream_by_id.end())
    {
        return;
    }
    auto const upstream = found->second;
    auto& up = upstreams[upstream];
    bool const is_duplicate = up.new_owner == from && up.new_owner_takeover == it.number;
    // Only the last owner has a record of the slots in use. Without an answer, the new owner
    // waits until its `reserved_until`.
    bool const may_answer = owned(up) || now < up.may_hand_over_until;
    if (!is_duplicate && !may_answer)
    {
        return;
    }
    if (!is_duplicate)
    {
        auto const in_use = slots_possibly_in_use(upstream);
        auto const lapses_at = std::max(up.reserved_until, now + longest_slot_hold(up));
        if (owned(up))
        {
            // The two entries' views differ. If this entry is still the owner after the view lag,
            // it requests the slots.
            begin_takeover(upstream, from, now + settings.view_lag, now);
        }
        up.may_hand_over_until = {};
        up.new_owner = from;
        up.new_owner_takeover = it.number;
        up.reported_in_use = in_use;
        up.lapses_at = lapses_at;
    }
    actions.emplace_back(send_message{
        entries[from].id,
        messages::takeover_answer{it.number, up.id, up.reported_in_use,
                                  std::max(base::duration::zero(), up.lapses_at - now)}});
}

void dispatcher::state::report_released_slot(std::uint32_t upstream, base::time_point now,
                                             dispatch_actions& actions)
{
    auto& up = upstreams[upstream];
    // If this entry had not finished its own takeover, the number also covers slots of earlier
    // owners, which count as used until `lapses_at`.
    if (up.new_owner == no_index || up.reported_in_use == 0 || now >= up.lapses_at)
    {
        return;
    }
    --up.reported_in_use;
    actions.emplace_back(
        send_message{entries[up.new_owner].id,
                     messages::takeover_answer{up.new_owner_takeover, up.id, up.reported_in_use,
                                               up.lapses_at - now}});
}

void dispatcher::state::on_takeover_answer(std::uint32_t from, messages::takeover_answer const& it,
                                           base::time_point now, dispatch_actions& actions)
{
    auto const found = upstream_by_id.find(it.upstream);
    if (found == upstream_by_id.end())
    {
        return;
    }
    auto const upstream = found->second;
    auto& up = upstreams[upstream];
    if (!owned(up) || up.takeover != it.number || up.previous_owner != from)
    {
        return;
    }
    if (!up.takeover_done)
    {
        up.takeover_done = true;
        up.reserved_until = now + it.lapses_in;
        ledger.set_reserved(upstream, it.in_use);
        timers.push({up.reserved_until, up.takeover, upstream, timer_kind::takeover_end});
    }
    else
    {
        ledger.set_reserved(upstream, std::min(ledger.reserved(upstream), it.in_use));
    }
    use_free_slots(up.service, now, actions);
}

} // namespace fuchsiaproxy::routing
