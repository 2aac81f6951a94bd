// Use of the tenants' allowances in the director.
#include <algorithm>
#include <utility>

#include "director_state.hpp"

namespace fuchsiaproxy::steering
{

bool director::state::take_token(request_map::iterator it, base::time_point now,
                                 director_actions& out)
{
    auto& request = it->second;
    if (request.tenant.value().empty())
    {
        return true;
    }
    refresh_allowance(now);
    auto const decided = allowance.take(request.tenant, now);
    request.has_token = decided.admitted;
    if (decided.admitted)
    {
        return true;
    }
    ++counters.refused;
    answer_error made{it->first, base::error_kind::over_allowance, decided.retry_after};
    made.trace_id = request.trace_id;
    made.route = request.matched_route->name;
    made.version = request.config->version;
    made.tenant = request.tenant;
    made.allowance_level = decided.level;
    made.allowance_part = decided.part;
    out.push_back(std::move(made));
    requests.erase(it);
    return false;
}

void director::state::give_back_token(request_state const& it)
{
    if (it.has_token && !it.has_used_token)
    {
        allowance.give_back(it.tenant);
    }
}

void director::state::refresh_allowance(base::time_point now)
{
    if (std::exchange(allowance_is_outdated, false) && config)
    {
        auto const& bounds = settings.bounds;
        allowance.apply(
            config->tenants,
            {bounds.allowance_window, bounds.allowance_overshoot, bounds.allowance_slack}, now);
    }
    if (!has_entry_list ||
        std::exchange(allowance_entries_generation, entries.generation()) == entries.generation())
    {
        return;
    }
    auto const intervals = load_intervals();
    auto const interval = load_interval(entries.largest_zone_size());
    std::vector<allowances::live_peer> others;
    for (auto const& it : entries.other_entries())
    {
        others.push_back(
            {it.first, interval * static_cast<base::duration::rep>(intervals.at(it.second))});
    }
    allowance.set_live_peers(others, now);
}

std::vector<allowances::tenant_counters> director::tenant_counters() const
{
    return state_->allowance.counters();
}

} // namespace fuchsiaproxy::steering
