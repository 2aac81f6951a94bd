#include "fuchsiaproxy/steering/director.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "director_state.hpp"

namespace fuchsiaproxy::steering
{

using base::attempt_result;
using base::error_kind;

director::state::state(director_settings const& it, director_identity identity, std::uint64_t seed)
    : settings(it), self(std::move(identity)),
      removal_grace(settings.expiry_grace_period, settings.expiry_grace_limit,
                    settings.min_expiry_outage),
      zones(removal_grace), upstreams(self.zones, removal_grace), entries(self, removal_grace),
      round_trips(settings, self), upstream_selector(settings, entries, round_trips, seed),
      random(seed), load_sequence(allowances::first_sequence(self.process_started_ms)),
      allowance(self.id)
{
}

limits::extra_attempt_budget& director::state::budget_of(base::service_id const& service)
{
    // The entries known now share the burst allowance.
    auto const share = settings.budget_fraction / static_cast<double>(entries.size());
    auto const burst =
        static_cast<std::uint32_t>(std::max(1.0, settings.bounds.extra_attempt_slack * share));
    auto const found = budgets.find(service);
    if (found != budgets.end())
    {
        found->second.set_burst(burst);
        return found->second;
    }
    auto const permille = settings.bounds.extra_attempt_ratio * settings.budget_fraction * 1000;
    return budgets
        .emplace(service, limits::extra_attempt_budget(static_cast<std::uint32_t>(permille), burst))
        .first->second;
}

base::service_id director::state::next_service(route const& it)
{
    if (it.split.size() == 1)
    {
        return it.split.front().service;
    }
    // Smooth weighted round robin keeps the shares accurate even over short windows.
    auto& credit = split_credit[it.name];
    credit.resize(it.split.size());
    std::int64_t total = 0;
    std::size_t best = 0;
    for (std::size_t n = 0; n < it.split.size(); ++n)
    {
        credit[n] += it.split[n].weight;
        total += it.split[n].weight;
        best = credit[n] > credit[best] ? n : best;
    }
    credit[best] -= total;
    return it.split[best].service;
}

void director::state::end_with_error(request_map::iterator it, error_kind kind,
                                     director_actions& out)
{
    auto const retryable = base::answer_for(kind).http_status == 503;
    counters.refused += retryable ? 1 : 0;
    auto const& request = it->second;
    auto const delay = it->second.retry_after.value_or(settings.retry_after);
    answer_error made{it->first, kind, retryable ? delay : base::duration{}};
    made.trace_id = request.trace_id;
    made.route = request.matched_route->name;
    made.version = request.config->version;
    made.service_load = request.service_load;
    made.expected = request.expected;
    made.attempts = static_cast<std::uint32_t>(request.tried.size());
    made.tenant = request.access.tenant_id();
    made.proof_age = request.proof_age;
    out.push_back(std::move(made));
    it->second.answered = true;
    erase_if_ended(it);
}

void director::state::end_without_upstream(request_map::iterator it, selection const& chosen,
                                           base::time_point now, director_actions& out)
{
    auto const refused = !it->second.may_have_run;
    if (refused && chosen.first_pause_end != base::time_point::max())
    {
        it->second.retry_after = delay_until(chosen.first_pause_end, it->second, now);
    }
    end_with_error(it, refused ? error_kind::no_upstream : error_kind::upstream_failed, out);
}

base::duration director::state::delay_until(base::time_point pause_end,
                                            request_state const& request, base::time_point now)
{
    auto const least = std::max<base::duration>(pause_end - now, settings.retry_after);
    auto const observed = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(request.deadline - now) * settings.max_retry_delay_fraction);
    auto const spread = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(least) * settings.pause_retry_spread);
    // A delay beyond the observed one would be of no use, so the spread ends there.
    auto const most = std::max(least, std::min(least + spread, observed));
    std::uniform_int_distribution<base::duration::rep> pick(least.count(), most.count());
    return base::duration(pick(random));
}

void director::state::erase_if_ended(request_map::iterator it)
{
    if (it->second.answered || it->second.caller_gone)
    {
        cancel_hedge(it);
    }
    if (it->second.open_attempts.empty() && (it->second.answered || it->second.caller_gone))
    {
        give_back_token(it->second);
        requests.erase(it);
    }
}

selection director::state::choose(request_state& request, service const& declared,
                                  base::time_point now)
{
    selection_query query;
    query.matched_route = request.matched_route;
    query.declared = &declared;
    query.service_id = &request.service;
    query.upstream_generation = upstreams.generation();
    query.by_zone = request.matched_route->is_download &&
                    round_trips.to_nearest_other_zone() >= settings.zone_order_round_trip;
    query.home_ranks = request.config->has_uneven_demand() ? settings.home_ranks : 0;
    query.work = request.work;
    query.object = request.object;
    query.tried = &request.tried;
    query.tenant_regions = request.access.regions();
    apply_peer_loads(request.service);
    request_costs costs_by_rank;
    if (request.costs != nullptr)
    {
        costs_by_rank = costs.estimate(*request.costs, request.object, now);
        query.costs = &costs_by_rank;
        query.model = &costs;
        update_open_work(request.service, costs_by_rank[0].mean, now);
    }
    auto chosen = upstream_selector.pick(upstreams.of_service(request.service), query, now);
    request.service_load = chosen.service_load;
    request.expected =
        std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(chosen.expected));
    return chosen;
}

bool director::state::charge_attempt(request_state& request)
{
    auto& budget = budget_of(request.service);
    if (request.attempts_sent > 0)
    {
        auto const granted = budget.try_take();
        ++(granted ? counters.extra_attempts : counters.over_budget);
        return granted;
    }
    if (!std::exchange(request.counted_as_first, true))
    {
        ++counters.first_attempts;
        budget.on_first_attempt();
        hedge_budget_of(request.service).on_first_attempt();
    }
    return true;
}

void director::state::dispatch(request_map::iterator it, base::time_point now,
                               director_actions& out)
{
    auto& request = it->second;
    if (now >= request.deadline)
    {
        end_with_error(it,
                       request.may_have_run ? error_kind::upstream_timeout
                                            : error_kind::deadline_unreachable,
                       out);
        return;
    }
    if (!request.tried.empty() && !still_has_access(it, now, out))
    {
        return;
    }
    static service const undeclared;
    auto const found = config->services.find(request.service);
    auto const& declared = found == config->services.end() ? undeclared : found->second;
    auto const chosen = choose(request, declared, now);
    if (!chosen.upstream)
    {
        end_without_upstream(it, chosen, now, out);
        return;
    }
    if (!is_admitted(request, chosen, now))
    {
        end_with_error(it, error_kind::overloaded, out);
        return;
    }
    if (!charge_attempt(request))
    {
        end_with_error(
            it, request.may_have_run ? error_kind::upstream_failed : error_kind::overloaded, out);
        return;
    }
    start(it, chosen, declared, now, out);
}

/// Admission control of a busy service: a request is sent only if its answer is expected on time,
/// or, for a caller's retry, if it needs no wait, since a second refusal would fail it permanently.
bool director::state::is_admitted(request_state const& request, selection const& chosen,
                                  base::time_point now) const
{
    if (request.attempts_sent > 0 || chosen.service_load < settings.late_refusal_load)
    {
        return true;
    }
    // The request rate of a cold upstream is limited elsewhere; without requests it would never
    // warm up.
    if (request.is_caller_retry || chosen.upstream->is_cold(now))
    {
        return chosen.wait <= 0;
    }
    auto const goal = std::chrono::duration<double>(request.matched_route->latency_goal).count();
    auto const spent = std::chrono::duration<double>(now - request.arrived).count();
    return spent + chosen.expected <= goal * settings.latency_goal_factor;
}

void director::state::start(request_map::iterator it, selection const& chosen,
                            service const& declared, base::time_point now, director_actions& out)
{
    auto& request = it->second;
    auto& upstream = *chosen.upstream;
    if (upstream.is_cold(now))
    {
        upstream_selector.record_cold_send(upstream, declared, now);
    }
    auto const decay_time = settings.report_decay_time;
    auto const id = base::attempt_id(++last_attempt_id);
    attempt_state made{it->first, chosen.upstream, now, chosen.rank,
                       upstream.slowdown(now, decay_time)};
    made.wait_expected = chosen.wait > 0;
    if (!request.tried.empty())
    {
        made.explanation.kind =
            request.open_attempts.empty() ? attempt_kind::retry : attempt_kind::hedge;
    }
    made.explanation.trace_id = request.trace_id;
    made.explanation.route = request.matched_route->name;
    made.explanation.version = request.config->version;
    made.explanation.object = request.object;
    made.explanation.expected =
        std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(chosen.expected));
    made.explanation.in_flight = upstream.in_flight;
    made.explanation.other_entries_load = upstream.other_entries_load(now, decay_time);
    if (upstream.report_at != base::time_point::min())
    {
        made.explanation.report_age = now - upstream.report_at;
    }
    if (request.costs != nullptr)
    {
        made.cost.route = request.costs;
        made.cost.object = request.object;
        add_open_work(id, made, chosen, now);
    }
    attempts.emplace(id, std::move(made));
    ++upstream.in_flight;
    request.open_attempts.push_back(id);
    request.tried.push_back(chosen.upstream);
    out.push_back(start_attempt{it->first, id, upstream.record.id, upstream.record.at,
                                request.deadline, request.matched_route->idempotent,
                                request.access.has_tenants, request.access.tenant_id()});
    schedule_hedge(it, chosen.fastest_other);
}

director::director(director_settings const& settings, director_identity self, std::uint64_t seed)
    : state_(std::make_unique<state>(settings, std::move(self), seed))
{
}

director::~director() = default;

bool director::is_idempotent(std::string_view host, std::string_view target) const
{
    auto const* const found = state_->config ? state_->routes.find(host, target) : nullptr;
    return found != nullptr && found->idempotent;
}

void director::on_request(arrived_request const& it, base::time_point now, director_actions& out)
{
    auto& my = *state_;
    ++my.counters.requests;
    if (!my.config)
    {
        ++my.counters.refused;
        answer_error made{it.id, error_kind::not_ready, my.settings.retry_after};
        made.trace_id = it.trace_id;
        out.push_back(std::move(made));
        return;
    }
    auto const* const found = my.routes.find(it.host, it.target);
    if (found == nullptr)
    {
        ++my.counters.unknown_routes;
        answer_error made{it.id, error_kind::unknown_service};
        made.trace_id = it.trace_id;
        made.version = my.config->version;
        out.push_back(std::move(made));
        return;
    }
    request_state request;
    if (!my.grants_access(it, *found, request.access, now, out))
    {
        return;
    }
    request.priority = request.access.priority_on(*found);
    request.deadline = now + found->timeout;
    request.deadline = it.deadline ? std::min(request.deadline, *it.deadline) : request.deadline;
    if (request.deadline > my.ends_at)
    {
        ++my.counters.refused;
        answer_error made{it.id, error_kind::draining, my.settings.draining_retry_after};
        made.trace_id = it.trace_id;
        made.route = found->name;
        made.version = my.config->version;
        out.push_back(std::move(made));
        return;
    }
    request.config = my.config;
    request.matched_route = found;
    request.trace_id = it.trace_id;
    request.service = my.next_service(*found);
    request.work =
        &my.work_times_by_route.for_route(found->name, request.service, found->latency_goal);
    if (my.config->has_uneven_demand())
    {
        request.costs = &my.costs.for_route(found->name, request.service, found->latency_goal);
    }
    request.object = it.affinity_key.empty() ? 0 : hash_of(it.affinity_key);
    request.arrived = now;
    if (it.deadline)
    {
        // Callers state the remaining time, so a retry states less than first requests do.
        auto& longest = my.longest_timeouts[found->name];
        longest = std::max(longest, *it.deadline - now);
        request.is_caller_retry = *it.deadline - now < longest * 9 / 10;
    }
    request.tenant = request.access.tenant_id();
    auto const at = my.requests.emplace(it.id, std::move(request)).first;
    if (my.take_token(at, now, out))
    {
        my.dispatch(at, now, out);
    }
}

void director::on_upstream_notice(base::attempt_id attempt, stated_exclusion const& stated,
                                  base::time_point now, director_actions& out)
{
    auto& my = *state_;
    auto const found = my.attempts.find(attempt);
    if (found == my.attempts.end())
    {
        return;
    }
    auto& upstream = *found->second.upstream;
    if (stated.leaving && my.upstreams.mark_leaving(upstream))
    {
        ++my.counters.leaving_upstreams;
        out.push_back(
            upstream_excluded{upstream.record.id, attempt, exclusion_reason::leaving, {}});
    }
    if (stated.pause > base::duration{})
    {
        ++my.counters.upstream_pauses;
        if (my.upstreams.pause(upstream, now + stated.pause))
        {
            out.push_back(upstream_excluded{upstream.record.id, attempt, exclusion_reason::paused,
                                            stated.pause});
        }
    }
    my.report_retired(out);
}

bool director::on_attempt_head(base::attempt_id attempt, unsigned status, base::time_point now,
                               director_actions& out)
{
    auto& my = *state_;
    auto const found = my.attempts.find(attempt);
    if (found == my.attempts.end())
    {
        return false;
    }
    if (status < 500 && !base::promises_not_run(status))
    {
        found->second.answered_at = found->second.answered_at.value_or(now);
    }
    auto const at = my.requests.find(found->second.request);
    if (at == my.requests.end() || at->second.answered || at->second.caller_gone)
    {
        return false;
    }
    auto& request = at->second;
    if (base::promises_not_run(status) && !request.matched_route->idempotent)
    {
        // The upstream ran the request, but the caller would conclude that it did not.
        my.end_with_error(at, error_kind::upstream_failed, out);
        return false;
    }
    if (request.open_attempts.size() > 1 && (status >= 500 || base::promises_not_run(status)))
    {
        return false; // Another attempt may still succeed.
    }
    auto const may_retry = status >= 500 && request.matched_route->idempotent &&
                           request.attempts_sent + 1 < request.matched_route->max_attempts &&
                           my.budget_of(request.service).has_attempt();
    if (may_retry)
    {
        return false; // The next attempt starts when this one ends.
    }
    request.answered = true;
    my.cancel_hedge(at);
    ++my.counters.answered;
    my.counters.hedges_won += found->second.explanation.kind == attempt_kind::hedge ? 1 : 0;
    my.counters.answered_late +=
        now - request.arrived > request.matched_route->latency_goal ? 1 : 0;
    if (status < 500)
    {
        my.record_work_time(found->second, request, now);
    }
    return true;
}

void director::on_attempt_finished(base::attempt_id attempt, attempt_end const& end,
                                   base::time_point now, director_actions& out)
{
    auto& my = *state_;
    auto const found = my.attempts.find(attempt);
    if (found == my.attempts.end())
    {
        return;
    }
    auto it = std::move(found->second);
    my.attempts.erase(found);
    it.explanation.attempt = attempt;
    my.learn_attempt_end(attempt, it, end, now);
    my.record_attempt_end(it, end, now);
    my.report_attempt(it, end, now, out);
    auto const at = my.requests.find(it.request);
    if (at == my.requests.end())
    {
        return;
    }
    auto& request = at->second;
    request.has_used_token |= !base::proves_not_run(end.result);
    auto& open = request.open_attempts;
    open.erase(std::remove(open.begin(), open.end(), attempt), open.end());
    if (request.answered || request.caller_gone)
    {
        my.erase_if_ended(at);
        return;
    }
    auto const proven_not_run = base::proves_not_run(end.result);
    request.attempts_sent += end.sent ? 1 : 0;
    request.attempts_not_sent += end.sent ? 0 : 1;
    request.may_have_run = request.may_have_run || !proven_not_run;
    my.counters.unsent_attempts += end.sent ? 0 : 1;
    my.counters.refused_by_upstreams += end.result == attempt_result::shed ? 1 : 0;
    my.counters.failed_attempts += proven_not_run ? 0 : 1;
    if (!open.empty())
    {
        return; // The request's other attempt decides.
    }
    auto const may_retry = (proven_not_run || request.matched_route->idempotent) &&
                           request.attempts_sent < request.matched_route->max_attempts &&
                           request.attempts_not_sent < my.settings.max_unsent_attempts;
    if (may_retry)
    {
        my.dispatch(at, now, out);
        return;
    }
    if (!request.may_have_run)
    {
        my.end_with_error(at, error_kind::overloaded, out);
        return;
    }
    my.end_with_error(at,
                      end.result == attempt_result::timed_out ? error_kind::upstream_timeout
                                                              : error_kind::upstream_failed,
                      out);
}

void director::on_caller_gone(base::local_request_id request, base::time_point,
                              director_actions& out)
{
    auto& my = *state_;
    auto const at = my.requests.find(request);
    if (at == my.requests.end())
    {
        return;
    }
    ++my.counters.callers_gone;
    at->second.caller_gone = true;
    if (at->second.matched_route->idempotent)
    {
        for (auto const& it : at->second.open_attempts)
        {
            out.push_back(cancel_attempt{it});
        }
    }
    my.erase_if_ended(at);
}

void director::tick(base::time_point now, director_actions& out)
{
    auto& my = *state_;
    my.removal_grace.tick(now);
    if (my.zones.tick(now))
    {
        my.apply_evacuations(now);
    }
    my.upstreams.tick(now);
    my.entries.tick(now);
    my.peers.tick(now, my.load_max_age());
    my.send_due_hedges(now, out);
    my.report_retired(out);
}

base::time_point director::next_wakeup() const
{
    return std::min({state_->removal_grace.restore_end(), state_->zones.next_wakeup(),
                     state_->upstreams.next_wakeup(), state_->entries.next_wakeup(),
                     state_->hedges.next()});
}

bool director::ready() const
{
    return state_->config && !state_->upstreams.empty();
}

std::size_t director::open_requests() const
{
    return state_->requests.size();
}

base::config_version director::version() const
{
    return state_->config ? state_->config->version : base::config_version();
}

director_counters const& director::counters() const
{
    return state_->counters;
}

} // namespace fuchsiaproxy::steering
