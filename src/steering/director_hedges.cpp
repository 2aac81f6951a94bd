// Second attempts of idempotent requests in the director.
#include <algorithm>
#include <cmath>

#include "director_state.hpp"

namespace fuchsiaproxy::steering
{
namespace
{

// Smallest delay of a second attempt that is worth another wake-up.
constexpr base::duration least_delay = std::chrono::milliseconds(1);

base::duration duration_of(double seconds)
{
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

limits::extra_attempt_budget& director::state::hedge_budget_of(base::service_id const& service)
{
    // Half of what the budget of all extra attempts grants, so that the other half is left for
    // retries whatever the number of hedges.
    auto const share = settings.budget_fraction / static_cast<double>(entries.size());
    auto const burst = static_cast<std::uint32_t>(settings.bounds.extra_attempt_slack * share / 2);
    auto const capacity = std::max(1U, burst);
    auto const found = hedge_budgets.find(service);
    if (found != hedge_budgets.end())
    {
        found->second.set_burst(capacity);
        return found->second;
    }
    auto const permille = settings.bounds.extra_attempt_ratio * settings.budget_fraction * 1000 / 2;
    return hedge_budgets
        .emplace(service, limits::extra_attempt_budget(static_cast<std::uint32_t>(permille),
                                                       capacity, burst))
        .first->second;
}

bool director::state::may_hedge(request_state const& request) const
{
    return request.config->has_uneven_demand() && request.matched_route->idempotent &&
           !request.answered && !request.caller_gone && !request.hedged &&
           request.open_attempts.size() == 1 &&
           request.attempts_sent + 1 < request.matched_route->max_attempts;
}

void director::state::schedule_hedge(request_map::iterator it, double expected)
{
    auto& request = it->second;
    if (!may_hedge(request) || request.hedge_due || !std::isfinite(expected))
    {
        return;
    }
    auto const at = request.arrived + request.matched_route->latency_goal - duration_of(expected);
    if (at >= request.deadline)
    {
        return;
    }
    request.hedge_due = at;
    hedges.add(it->first, at);
}

void director::state::cancel_hedge(request_map::iterator it)
{
    if (auto const at = std::exchange(it->second.hedge_due, std::nullopt))
    {
        hedges.remove(it->first, *at);
    }
}

void director::state::send_due_hedges(base::time_point now, director_actions& out)
{
    while (auto const due = hedges.take_due(now))
    {
        auto const it = requests.find(*due);
        if (it != requests.end())
        {
            it->second.hedge_due.reset();
            hedge(it, now, out);
        }
    }
}

/// Sends a second attempt if it is due, or sets a later time for it.
void director::state::hedge(request_map::iterator it, base::time_point now, director_actions& out)
{
    auto& request = it->second;
    if (!may_hedge(request) || now >= request.deadline)
    {
        return;
    }
    static service const undeclared;
    auto const found = config->services.find(request.service);
    auto const& declared = found == config->services.end() ? undeclared : found->second;
    auto const expected_before = request.expected;
    auto const chosen = choose(request, declared, now);
    request.expected = expected_before;
    // On an estimate that is only assumed, the first requests after a start would all be sent
    // twice.
    if (!chosen.upstream || !chosen.work.is_measured ||
        chosen.service_load >= settings.max_hedge_load)
    {
        return;
    }
    auto const goal = request.matched_route->latency_goal;
    auto const latest = request.arrived + goal - duration_of(chosen.expected);
    if (latest > now + least_delay)
    {
        schedule_hedge(it, chosen.expected);
        return;
    }
    // The estimate may have grown since the time was set. An answer soon after the goal still
    // counts as one that may be on time, as in the admission of first attempts.
    auto const spent = std::chrono::duration<double>(now - request.arrived).count();
    auto const goal_s = std::chrono::duration<double>(goal).count();
    if (spent + chosen.expected > goal_s * settings.latency_goal_factor)
    {
        return;
    }
    auto& budget = budget_of(request.service);
    auto& hedge_budget = hedge_budget_of(request.service);
    if (!hedge_budget.has_attempt() || !budget.try_take())
    {
        ++counters.over_budget;
        return;
    }
    hedge_budget.try_take();
    ++counters.extra_attempts;
    ++counters.hedges;
    request.hedged = true;
    start(it, chosen, declared, now, out);
}

} // namespace fuchsiaproxy::steering
