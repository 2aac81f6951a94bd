#include <algorithm>
#include <cmath>

#include "dispatcher_state.hpp"

namespace fuchsiaproxy::routing
{

namespace
{

/// Whether the upstream may still be processing the attempt.
bool may_still_run(attempt_result it) noexcept
{
    return it == attempt_result::broken || it == attempt_result::timed_out ||
           it == attempt_result::cancelled;
}

base::error_kind error_for(attempt_result it) noexcept
{
    switch (it)
    {
    case attempt_result::shed:
        return base::error_kind::overloaded;
    case attempt_result::connect_failed:
    case attempt_result::not_sent:
    case attempt_result::cancelled_before_start:
        return base::error_kind::no_upstream;
    case attempt_result::timed_out:
        return base::error_kind::upstream_timeout;
    default:
        return base::error_kind::upstream_failed;
    }
}

} // namespace

std::uint32_t dispatcher::state::find_attempt(base::attempt_id id) const
{
    auto const index = id.value() & ((std::uint64_t{1} << attempt_row_bits) - 1);
    return index < attempts.size() && attempts[index].id == id.value()
               ? static_cast<std::uint32_t>(index)
               : no_index;
}

void dispatcher::state::begin_attempt(std::uint32_t request, slot_choice const& slot, bool is_hedge,
                                      base::time_point now, dispatch_actions& actions)
{
    if (free_attempts.empty())
    {
        free_attempts.push_back(static_cast<std::uint32_t>(attempts.size()));
        attempts.emplace_back();
    }
    auto const index = free_attempts.back();
    free_attempts.pop_back();
    auto& row = requests[request];
    auto& service = services[row.service];
    auto& up = upstreams[slot.upstream];
    auto const& kind = service.classes[row.request_class];
    auto& it = attempts[index];
    it = {};
    it.id = (next_serial++ << attempt_row_bits) | index;
    it.request = request;
    it.upstream = slot.upstream;
    it.service = row.service;
    it.request_class = row.request_class;
    it.loan = slot.loan;
    it.started = now;
    it.deadline = row.deadline;
    it.is_hedge = is_hedge;
    it.is_probe = slot.is_probe;
    it.is_long = kind.is_long;

    if (slot.loan == no_index)
    {
        ledger.take(slot.upstream);
    }
    else
    {
        loans.at(slot.loan).in_use = true;
    }
    ++up.in_use;
    up.long_in_use += kind.is_long ? 1 : 0;
    ++service.in_flight;
    service.long_in_flight += kind.is_long ? 1 : 0;
    row.running[row.running[0] == no_index ? 0 : 1] = index;
    if (slot.is_probe)
    {
        up.health.start_probe();
        ++counts.probes;
    }
    if (row.attempts_made++ == 0)
    {
        ++counts.first_attempts;
        service.retries.on_first_attempt();
        service.hedges.on_first_attempt();
    }
    if (settings.switches.hedging && kind.idempotent && kind.latency.established())
    {
        timers.push({now + places[up.place].round_trip + kind.latency.hedge_threshold(), it.id,
                     index, timer_kind::hedge_due});
    }
    actions.emplace_back(
        start_attempt{base::attempt_id(it.id), row.id, up.id, up.at, row.deadline});
}

void dispatcher::state::cancel(attempt_row& attempt, dispatch_actions& actions)
{
    if (!attempt.cancelling)
    {
        attempt.cancelling = true;
        actions.emplace_back(cancel_attempt{base::attempt_id(attempt.id)});
    }
}

void dispatcher::state::cancel_other_attempts(request_row& request, std::uint32_t keep,
                                              dispatch_actions& actions)
{
    for (auto const it : request.running)
    {
        if (it != no_index && it != keep)
        {
            cancel(attempts[it], actions);
        }
    }
}

void dispatcher::state::on_head(base::attempt_id id, base::time_point, dispatch_actions& actions)
{
    auto const index = find_attempt(id);
    if (index == no_index)
    {
        return;
    }
    auto& request = requests[attempts[index].request];
    if (!request.answered)
    {
        request.answered = true;
        counts.hedges_won += attempts[index].is_hedge ? 1 : 0;
        cancel_other_attempts(request, index, actions);
    }
}

void dispatcher::state::on_finished(base::attempt_id id, attempt_result outcome,
                                    base::time_point now, dispatch_actions& actions)
{
    auto const index = find_attempt(id);
    if (index == no_index)
    {
        return;
    }
    if (outcome == attempt_result::completed)
    {
        on_head(id, now, actions);
        ++counts.completed;
    }
    record_outcome(attempts[index], outcome, now);
    auto const attempt = attempts[index];
    release_attempt(index);
    auto& request = requests[attempt.request];
    bool other_running = false;
    for (auto& it : request.running)
    {
        it = it == index ? no_index : it;
        other_running = other_running || it != no_index;
    }
    if (outcome != attempt_result::completed && !proves_not_run(outcome))
    {
        request.may_have_run = true;
    }
    if (!other_running && !request.answered && !request.caller_gone)
    {
        retry_or_fail(attempt.request, attempt, outcome, now, actions);
    }
    if (!other_running && !request.queued)
    {
        free_request(attempt.request);
    }
    if (may_still_run(outcome) && attempt.deadline + settings.deadline_margin > now)
    {
        timers.push({attempt.deadline + settings.deadline_margin, attempt.loan, attempt.upstream,
                     timer_kind::slot_release_due});
        dispatch(attempt.service, now, actions);
        return;
    }
    return_slot(attempt.upstream, attempt.loan, now, actions);
}

void dispatcher::state::release_attempt(std::uint32_t attempt)
{
    auto& it = attempts[attempt];
    auto& up = upstreams[it.upstream];
    auto& service = services[it.service];
    --up.in_use;
    --service.in_flight;
    up.long_in_use -= it.is_long ? 1 : 0;
    service.long_in_flight -= it.is_long ? 1 : 0;
    it.id = 0;
    free_attempts.push_back(attempt);
}

void dispatcher::state::return_slot(std::uint32_t upstream, std::uint32_t loan,
                                    base::time_point now, dispatch_actions& actions)
{
    if (loan == no_index)
    {
        ledger.release(upstream);
        report_released_slot(upstream, now, actions);
    }
    else
    {
        auto& it = loans.at(loan);
        it.in_use = false;
        it.idle_since = now;
        if (now >= it.expires || !accepts_attempts(upstreams[upstream]) ||
            upstreams[upstream].health.ejected())
        {
            end_held_loan(loan, true, actions);
        }
        else
        {
            arm_idle_timer(loan, now);
        }
    }
    use_free_slots(upstreams[upstream].service, now, actions);
}

void dispatcher::state::retry_or_fail(std::uint32_t request, attempt_row const& attempt,
                                      attempt_result outcome, base::time_point now,
                                      dispatch_actions& actions)
{
    auto& row = requests[request];
    auto& service = services[row.service];
    auto const& kind = service.classes[row.request_class];
    bool const allowed = kind.idempotent || !row.may_have_run;
    bool const in_time = now + kind.latency.median() < row.deadline;
    if (settings.switches.retries && allowed && in_time &&
        row.attempts_made < settings.max_attempts && !service.queue.full() &&
        service.retries.try_take())
    {
        ++counts.retries;
        row.avoid = attempt.upstream;
        // Leaves time for a loan of another upstream to arrive.
        row.avoid_until = outcome == attempt_result::shed ? now + settings.max_borrow_wait : now;
        put_in_queue(request, now);
        return;
    }
    report_failure(request, error_for(outcome), actions);
}

void dispatcher::state::record_outcome(attempt_row const& attempt, attempt_result outcome,
                                       base::time_point now)
{
    auto& up = upstreams[attempt.upstream];
    auto& kind = services[attempt.service].classes[attempt.request_class];
    auto const round_trip = places[up.place].round_trip;
    auto const elapsed =
        std::max<base::duration>(now - attempt.started - round_trip, std::chrono::microseconds(1));
    auto const ratio =
        static_cast<float>(elapsed.count()) /
        static_cast<float>(std::max<base::duration::rep>(kind.latency.median().count(), 1));
    bool const succeeded = outcome == attempt_result::completed;
    if (attempt.is_probe)
    {
        on_probe_end(attempt, succeeded && ratio < static_cast<float>(settings.outlier_factor),
                     now);
    }
    switch (outcome)
    {
    case attempt_result::completed:
        kind.latency.add(elapsed);
        update_classes(services[attempt.service]);
        up.health.on_sample(ratio);
        up.warm_up.on_success();
        break;
    case attempt_result::timed_out:
    case attempt_result::cancelled:
    case attempt_result::stopped:
        // The service time is at least the elapsed time, so a long elapsed time is a valid sample
        // of slowness.
        if (ratio > 1)
        {
            up.health.on_sample(ratio);
        }
        break;
    case attempt_result::broken:
    case attempt_result::connect_failed:
        up.health.on_failure();
        break;
    case attempt_result::shed:
        up.warm_up.on_shed(up.slots);
        break;
    case attempt_result::not_sent:
    case attempt_result::cancelled_before_start:
        break;
    }
    eject_if_outlier(attempt.upstream, now);
}

void dispatcher::state::update_classes(service_row& service)
{
    auto shortest = base::duration::max();
    for (auto const& it : service.classes)
    {
        if (it.latency.established())
        {
            shortest = std::min(shortest, it.latency.mean());
        }
    }
    for (auto& it : service.classes)
    {
        it.is_long = it.latency.established() &&
                     static_cast<double>(it.latency.mean().count()) >
                         settings.long_factor * static_cast<double>(shortest.count());
        // Weight per second of slot time. Ranks are quarter steps of its binary logarithm, so that
        // noise in the mean does not reorder classes.
        auto const seconds = std::chrono::duration<double>(it.latency.mean()).count();
        auto const value = settings.switches.weight_per_service_time
                               ? it.weight / std::max(seconds, 1e-6)
                               : it.weight;
        it.rank = static_cast<std::uint32_t>(4 * std::log2(1 + value));
    }
}

float dispatcher::state::reference_slowness(service_row const& service) const
{
    // With fewer upstreams their median is not meaningful. Slowness is relative to the median of
    // the class, so 1 is the reference then.
    constexpr std::size_t min_upstreams = 3;
    std::vector<float> known;
    for (auto const n : service.upstreams)
    {
        if (upstreams[n].health.established())
        {
            known.push_back(upstreams[n].health.slowness());
        }
    }
    if (known.size() < min_upstreams)
    {
        return 1;
    }
    auto const middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    return std::max(1.0F, *middle);
}

void dispatcher::state::eject_if_outlier(std::uint32_t upstream, base::time_point now)
{
    auto& up = upstreams[upstream];
    auto& service = services[up.service];
    auto const factor = static_cast<float>(settings.outlier_factor);
    // The reference is at least 1 and takes a pass over the service's upstreams, so it is computed
    // last.
    if (!settings.switches.outliers || up.health.ejected() || !up.health.is_outlier(factor, 1) ||
        service.ejected + 1 >
            settings.max_ejected_share * static_cast<double>(service.upstreams.size()) ||
        !up.health.is_outlier(factor, reference_slowness(service)))
    {
        return;
    }
    up.health.eject(settings.probe_interval);
    ++service.ejected;
    ++counts.ejections;
    timers.push({now + settings.probe_interval, 0, upstream, timer_kind::probe_due});
}

void dispatcher::state::on_probe_due(std::uint32_t upstream, base::time_point now)
{
    auto& up = upstreams[upstream];
    if (!up.health.ejected() || up.health.probe_running())
    {
        return;
    }
    if (owned(up) && !up.health.probe_ready())
    {
        up.health.allow_probe();
        timers.push({now + settings.max_probe_wait, 0, upstream, timer_kind::probe_due});
        return;
    }
    // Either no request could probe it, or this entry may not because it is not the owner. The
    // upstream is readmitted, with one slot.
    up.health.reset();
    up.warm_up.restart();
    --services[up.service].ejected;
}

void dispatcher::state::on_probe_end(attempt_row const& attempt, bool succeeded,
                                     base::time_point now)
{
    auto& up = upstreams[attempt.upstream];
    if (!up.health.ejected())
    {
        return;
    }
    if (up.health.end_probe(succeeded, settings.max_probe_interval))
    {
        --services[up.service].ejected;
        up.warm_up.restart();
        return;
    }
    timers.push({now + up.health.probe_interval(), 0, attempt.upstream, timer_kind::probe_due});
}

void dispatcher::state::on_hedge_due(std::uint32_t attempt, std::uint64_t id, base::time_point now,
                                     dispatch_actions& actions)
{
    auto& it = attempts[attempt];
    auto& request = requests[it.request];
    if (it.id != id || it.cancelling || request.answered || request.caller_gone)
    {
        return;
    }
    if (it.is_hedge)
    {
        // Both attempts are slow, so the request itself takes long and the upstream is not at
        // fault: the hedge is cancelled.
        if (settings.switches.cancel_slow_hedges && request.running[0] != no_index &&
            request.running[1] != no_index)
        {
            cancel(it, actions);
        }
        return;
    }
    if (!request.hedged && try_hedge(attempt, now, actions))
    {
        services[it.service].waiting_hedges.push_back(id);
    }
}

bool dispatcher::state::try_hedge(std::uint32_t attempt, base::time_point now,
                                  dispatch_actions& actions)
{
    auto const& it = attempts[attempt];
    auto& request = requests[it.request];
    auto& service = services[it.service];
    auto const& kind = service.classes[it.request_class];
    if (it.cancelling || request.answered || request.caller_gone || request.hedged ||
        now + kind.latency.median() > request.deadline)
    {
        return false;
    }
    if (!service.hedges.has_attempt() ||
        (settings.switches.hedge_when_idle && !service.queue.empty()))
    {
        return true;
    }
    auto const found = choose_slot(service, request, it.upstream, now);
    if (!found)
    {
        return true;
    }
    service.hedges.try_take();
    request.hedged = true;
    ++counts.hedges;
    begin_attempt(it.request, *found, true, now, actions);
    return false;
}

} // namespace fuchsiaproxy::routing
