#include <algorithm>

#include "dispatcher_state.hpp"

namespace fuchsiaproxy::routing
{

namespace
{

// Interval at which an unanswered `take_over` is sent again.
constexpr base::duration repeat_interval = std::chrono::milliseconds(200);

} // namespace

base::duration dispatcher::state::lapse_time(upstream_row const& up) const
{
    return settings.loan_validity + services[up.service].largest_deadline +
           settings.deadline_margin;
}

void dispatcher::state::begin_takeover(std::uint32_t upstream, std::uint32_t previous,
                                       base::time_point ask_at, base::time_point now)
{
    auto& up = upstreams[upstream];
    up.settled = false;
    ledger.set_reserved(upstream, 0);
    up.takeover = next_serial++;
    up.previous = previous;
    up.heir = no_index;
    // Without an answer, the previous owner may not have seen the change, and its loans may be in
    // use.
    up.free_at = now + settings.view_lag + lapse_time(up);
    timers.push({up.free_at, up.takeover, upstream, timer_kind::takeover_end});
    if (previous != no_index)
    {
        timers.push({ask_at, up.takeover, upstream, timer_kind::takeover_ask});
    }
}

void dispatcher::state::doubt_ownership(base::time_point now)
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

void dispatcher::state::ask_previous(std::uint32_t upstream, base::time_point now,
                                     dispatch_actions& actions)
{
    auto const& up = upstreams[upstream];
    if (up.settled || up.previous == no_index || !entries[up.previous].live)
    {
        return;
    }
    actions.emplace_back(
        send_message{entries[up.previous].id, messages::take_over{up.takeover, up.id}});
    timers.push({now + repeat_interval, up.takeover, upstream, timer_kind::takeover_ask});
}

void dispatcher::state::end_takeover(std::uint32_t upstream, base::time_point now,
                                     dispatch_actions& actions)
{
    auto& up = upstreams[upstream];
    if (now < up.free_at)
    {
        return;
    }
    up.settled = true;
    ledger.set_reserved(upstream, 0);
    after_slot_change(up.service, now, actions);
}

std::uint32_t dispatcher::state::still_in_use(std::uint32_t upstream) const
{
    auto const& up = upstreams[upstream];
    return up.settled ? std::min(up.slots, ledger.used(upstream) + ledger.reserved(upstream))
                      : up.slots;
}

void dispatcher::state::on_take_over(std::uint32_t from, messages::take_over const& it,
                                     base::time_point now, dispatch_actions& actions)
{
    auto const found = upstream_by_id.find(it.upstream);
    if (found == upstream_by_id.end())
    {
        return;
    }
    auto const upstream = found->second;
    auto& up = upstreams[upstream];
    bool const repeated = up.heir == from && up.heir_number == it.number;
    // Only the last owner knows what is in use; without its answer the asker waits.
    bool const may_answer = owned(up) || now < up.authority_until;
    if (!repeated && !may_answer)
    {
        return;
    }
    if (!repeated)
    {
        auto const in_use = still_in_use(upstream);
        auto const lapses_at = std::max(up.free_at, now + lapse_time(up));
        if (owned(up))
        {
            // The views differ. If this entry is still the owner when they should agree, it asks
            // for the slots.
            begin_takeover(upstream, from, now + settings.view_lag, now);
        }
        up.authority_until = {};
        up.heir = from;
        up.heir_number = it.number;
        up.told_in_use = in_use;
        up.lapses_at = lapses_at;
    }
    actions.emplace_back(
        send_message{entries[from].id,
                     messages::handed_over{it.number, up.id, up.told_in_use,
                                           std::max(base::duration::zero(), up.lapses_at - now)}});
}

void dispatcher::state::tell_heir(std::uint32_t upstream, base::time_point now,
                                  dispatch_actions& actions)
{
    auto& up = upstreams[upstream];
    // What an unsettled owner told covers earlier owners too and ends by time only.
    if (up.heir == no_index || up.told_in_use == 0 || now >= up.lapses_at)
    {
        return;
    }
    --up.told_in_use;
    actions.emplace_back(send_message{
        entries[up.heir].id,
        messages::handed_over{up.heir_number, up.id, up.told_in_use, up.lapses_at - now}});
}

void dispatcher::state::on_handed_over(std::uint32_t from, messages::handed_over const& it,
                                       base::time_point now, dispatch_actions& actions)
{
    auto const found = upstream_by_id.find(it.upstream);
    if (found == upstream_by_id.end())
    {
        return;
    }
    auto const upstream = found->second;
    auto& up = upstreams[upstream];
    if (!owned(up) || up.takeover != it.number || up.previous != from)
    {
        return;
    }
    if (!up.settled)
    {
        up.settled = true;
        up.free_at = now + it.lapses_in;
        ledger.set_reserved(upstream, it.in_use);
        timers.push({up.free_at, up.takeover, upstream, timer_kind::takeover_end});
    }
    else
    {
        ledger.set_reserved(upstream, std::min(ledger.reserved(upstream), it.in_use));
    }
    after_slot_change(up.service, now, actions);
}

} // namespace fuchsiaproxy::routing
