#include <algorithm>

#include "dispatcher_state.hpp"

namespace fuchsiaproxy::routing
{

namespace
{

base::duration share_of(base::duration whole, double share)
{
    return base::duration(
        static_cast<base::duration::rep>(share * static_cast<double>(whole.count())));
}

} // namespace

void dispatcher::state::enqueue(queued_request const& request, base::time_point now,
                                dispatch_actions& actions)
{
    ++counts.enqueued;
    auto const found = service_by_id.find(request.service);
    if (found == service_by_id.end() || !services[found->second].active)
    {
        actions.emplace_back(fail_request{request.id, base::error_kind::unknown_service});
        return;
    }
    auto& service = services[found->second];
    if (free_requests.empty())
    {
        free_requests.push_back(static_cast<std::uint32_t>(requests.size()));
        requests.emplace_back();
    }
    auto const index = free_requests.back();
    free_requests.pop_back();
    auto& row = requests[index];
    row = {};
    row.id = request.id;
    row.service = found->second;
    row.request_class =
        static_cast<std::uint32_t>(std::min(request.request_class, service.classes.size() - 1));
    row.arrived = request.arrived;
    row.deadline = std::min(request.deadline, request.arrived + service.largest_deadline);
    row.size = request.size;
    row.serial = next_serial++;
    request_by_id.insert(request.id.value(), index);
    choose_target(service, row, now);

    if (auto const probe = choose_probe(service, row, now))
    {
        begin_attempt(index, *probe, false, now, actions);
        return;
    }
    auto const entry = entry_for(index);
    if (auto const refusal = check_admission(service, row, entry, now, actions))
    {
        report_failure(index, *refusal, actions);
        free_request(index);
        return;
    }
    put_in_queue(index, now);
    dispatch(found->second, now, actions);
}

void dispatcher::state::choose_target(service_row& service, request_row& request,
                                      base::time_point now)
{
    for (auto& it : service.shifts)
    {
        if (it.from != service.home_place)
        {
            continue;
        }
        it.credit += it.percent;
        if (it.credit >= 100)
        {
            it.credit -= 100;
            request.target = it.to;
            // Covers one round trip to a lender of that place, and half a service time until a slot
            // is free.
            auto const wait = places[it.to].round_trip + settings.target_slot_wait;
            request.target_until = std::min(now + wait, now + (request.deadline - now) / 2);
            return;
        }
    }
}

std::optional<base::error_kind> dispatcher::state::check_admission(service_row& service,
                                                                   request_row const& request,
                                                                   queue_entry const& entry,
                                                                   base::time_point now,
                                                                   dispatch_actions& actions)
{
    if (now >= request.deadline)
    {
        ++counts.expired;
        return base::error_kind::deadline_unreachable;
    }
    if (settings.switches.early_refusal)
    {
        // Queued requests of lower rank are refused first, and before the wait reaches its limit,
        // because the expected wait is an estimate.
        auto const allowed = entry.start_by - now;
        auto wait = expected_wait(service, entry);
        while (wait > share_of(allowed, settings.shed_share))
        {
            auto const victim = service.queue.lowest_rank_before(entry);
            if (victim == service.queue.size())
            {
                break;
            }
            ++counts.refused_early;
            evict(service, victim, base::error_kind::deadline_unreachable, actions);
            wait = expected_wait(service, entry);
        }
        if (wait > allowed)
        {
            ++counts.refused_early;
            return base::error_kind::deadline_unreachable;
        }
    }
    if (service.queue.full())
    {
        ++counts.refused_full;
        auto const last = service.queue.size() - 1;
        if (!request_queue::before(entry, service.queue.at(last)))
        {
            return base::error_kind::queue_full;
        }
        evict(service, last, base::error_kind::queue_full, actions);
    }
    return std::nullopt;
}

base::duration dispatcher::state::expected_wait(service_row const& service,
                                                queue_entry const& it) const
{
    // While requests are queued, the attempts in flight show how many slots this entry can use.
    // Loans arrive in bursts, so at least the fair share of the region is assumed.
    return service.queue.work_before(it) / std::max({service.in_flight, service.fair_slots, 1U});
}

void dispatcher::state::evict(service_row& service, std::size_t position, base::error_kind kind,
                              dispatch_actions& actions)
{
    auto const request = service.queue.at(position).request;
    service.queue.erase_at(position);
    requests[request].queued = false;
    report_failure(request, kind, actions);
    free_request(request);
}

base::time_point dispatcher::state::latest_start(class_row const& kind, base::time_point arrived,
                                                 base::time_point deadline) const
{
    if (!settings.switches.early_refusal)
    {
        return deadline;
    }
    return std::min(deadline - kind.latency.median(),
                    arrived + share_of(deadline - arrived, settings.queue_share));
}

queue_entry dispatcher::state::entry_for(std::uint32_t request) const
{
    auto const& row = requests[request];
    auto const& kind = services[row.service].classes[row.request_class];
    return {settings.switches.deadline_first ? 0 : kind.rank, kind.rank, request,
            latest_start(kind, row.arrived, row.deadline), kind.latency.mean()};
}

void dispatcher::state::put_in_queue(std::uint32_t request, base::time_point now)
{
    auto& row = requests[request];
    auto const entry = entry_for(request);
    row.queued = true;
    services[row.service].queue.insert(entry);
    timers.push({std::max(now, entry.start_by), row.serial, request, timer_kind::queue_expiry});
}

void dispatcher::state::on_queue_expiry(std::uint32_t request, base::time_point now,
                                        dispatch_actions& actions)
{
    auto& row = requests[request];
    auto& service = services[row.service];
    service.queue.erase(request);
    row.queued = false;
    ++counts.expired;
    report_failure(request, base::error_kind::deadline_unreachable, actions);
    free_request(request);
    dispatch(row.service, now, actions);
}

void dispatcher::state::on_caller_gone(base::local_request_id id, base::time_point now,
                                       dispatch_actions& actions)
{
    auto const index = request_by_id.find(id.value());
    if (index == no_index)
    {
        return;
    }
    auto& row = requests[index];
    auto& service = services[row.service];
    row.caller_gone = true;
    if (row.queued)
    {
        service.queue.erase(index);
        row.queued = false;
    }
    bool running = false;
    for (auto const attempt : row.running)
    {
        if (attempt == no_index)
        {
            continue;
        }
        running = true;
        if (service.classes[row.request_class].idempotent)
        {
            cancel(attempts[attempt], actions);
        }
    }
    if (!running)
    {
        free_request(index);
    }
}

void dispatcher::state::report_failure(std::uint32_t request, base::error_kind kind,
                                       dispatch_actions& actions)
{
    auto& row = requests[request];
    if (row.caller_gone)
    {
        return;
    }
    // An earlier attempt may have run, so the answer must not say "not run".
    bool const says_not_run = base::answer_for(kind).outcome == base::request_outcome::not_run;
    if (row.may_have_run && says_not_run)
    {
        kind = base::error_kind::upstream_failed;
    }
    actions.emplace_back(fail_request{row.id, kind});
}

void dispatcher::state::free_request(std::uint32_t request)
{
    request_by_id.erase(requests[request].id.value());
    requests[request].serial = 0;
    free_requests.push_back(request);
}

} // namespace fuchsiaproxy::routing
