#include <algorithm>

#include "dispatcher_state.hpp"

namespace fuchsiaproxy::routing
{

namespace
{

// Requests at the head of the queue that are tried when there is no upstream for the first one.
constexpr std::size_t scan_limit = 8;

} // namespace

void dispatcher::state::dispatch(std::uint32_t service_index, base::time_point now,
                                 dispatch_actions& actions)
{
    auto& service = services[service_index];
    if (any_free_slot(service, now))
    {
        dispatch_hedges(service, now, actions);
        std::size_t skipped = 0;
        while (skipped < std::min(service.queue.size(), scan_limit))
        {
            auto const request = service.queue.at(skipped).request;
            auto const found = choose_slot(service, requests[request], no_index, now);
            if (!found)
            {
                ++skipped;
                continue;
            }
            service.queue.erase_at(skipped);
            requests[request].queued = false;
            begin_attempt(request, *found, false, now, actions);
        }
    }
    if (!service.queue.empty())
    {
        request_loans(service_index, now, actions);
        arm_recheck(service_index, now);
    }
}

void dispatcher::state::dispatch_hedges(service_row& service, base::time_point now,
                                        dispatch_actions& actions)
{
    auto& waiting = service.waiting_hedges;
    for (std::size_t n = 0; n < waiting.size();)
    {
        auto const attempt = find_attempt(base::attempt_id(waiting[n]));
        if (attempt == no_index || !try_hedge(attempt, now, actions))
        {
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(n));
            continue;
        }
        ++n;
    }
}

bool dispatcher::state::any_free_slot(service_row const& service, base::time_point now) const
{
    std::uint32_t loan = no_index;
    return std::any_of(service.usable_upstreams.begin(), service.usable_upstreams.end(),
                       [&](auto n) { return has_slot(n, now, loan); });
}

bool dispatcher::state::accepts_attempts(upstream_row const& up) const
{
    auto const& place = places[up.place];
    return up.active && !up.leaving && place.active && !place.drained;
}

bool dispatcher::state::has_slot(std::uint32_t upstream, base::time_point now,
                                 std::uint32_t& loan) const
{
    auto const& up = upstreams[upstream];
    loan = no_index;
    if (owned(up) && up.takeover_done && ledger.free(upstream) > 0 &&
        (!settings.switches.warming || ledger.used(upstream) < up.warm_up.limit()))
    {
        return true;
    }
    if (up.borrowed == 0)
    {
        return false;
    }
    loan = loans.find_idle(upstream, now);
    return loan != no_index;
}

bool dispatcher::state::admits_long(service_row const& service, upstream_row const& up,
                                    bool on_loan) const
{
    if (!settings.switches.reserve_for_short)
    {
        return true;
    }
    if (!on_loan)
    {
        return up.long_in_use < std::max(1U, up.slots / 2);
    }
    // A borrower has no data on the attempts of other entries at the upstream; it limits its long
    // attempts to half of all its attempts for the service.
    return service.long_in_flight < std::max(1U, (service.in_flight + 1) / 2);
}

upstream_cost dispatcher::state::cost_of(upstream_row const& up, class_row const& kind,
                                         base::byte_count size) const
{
    auto const& place = places[up.place];
    bool const other_region = zones[place.zone].region != zones[self_zone].region;
    float const slowness = settings.switches.measured_cost ? up.health.slowness() : 1.0F;
    return estimate_cost(place.round_trip, other_region ? settings.link_bits_per_second : 0,
                         size.value(), kind.latency.mean(), slowness);
}

bool dispatcher::state::justifies_round_trip(service_row const& service, base::duration round_trip,
                                             base::duration waited) const
{
    auto const extra = round_trip - service.nearest_round_trip;
    if (extra <= settings.tolerated_extra_round_trip || waited > extra)
    {
        return true;
    }
    base::duration work{};
    for (std::size_t n = 0; n < service.queue.size(); ++n)
    {
        work += service.queue.at(n).expected_service;
    }
    return work / std::max(service.in_flight, 1U) > extra;
}

bool dispatcher::state::is_move_refused(std::uint32_t place) const
{
    return std::find(refused_places.begin(), refused_places.end(), place) != refused_places.end();
}

std::optional<dispatcher::state::slot_choice>
dispatcher::state::cheapest_slot(service_row const& service, request_row const& request,
                                 std::uint32_t avoid, base::time_point now) const
{
    auto const& kind = service.classes[request.request_class];
    bool const target_only = request.target != no_index && now < request.target_until &&
                             !is_move_refused(request.target) && !places[request.target].drained;
    std::optional<slot_choice> best;
    base::duration best_cost = base::duration::max();
    std::uint32_t best_in_use = 0;
    // The first upstream varies by request, so that upstreams of equal cost get equal load.
    auto const count = service.usable_upstreams.size();
    auto const first = count == 0 ? 0 : request.serial % count;
    for (std::size_t step = 0; step < count; ++step)
    {
        auto const n = service.usable_upstreams[(first + step) % count];
        auto const& up = upstreams[n];
        std::uint32_t loan = no_index;
        if (n == avoid || !accepts_attempts(up) || up.health.ejected() ||
            is_move_refused(up.place) || (target_only && up.place != request.target) ||
            !has_slot(n, now, loan) ||
            (kind.is_long && !admits_long(service, up, loan != no_index)))
        {
            continue;
        }
        auto const cost = cost_of(up, kind, request.size).total();
        if (cost > best_cost || (cost == best_cost && up.in_use >= best_in_use) ||
            (up.place != request.target &&
             !justifies_round_trip(service, places[up.place].round_trip, now - request.arrived)))
        {
            continue;
        }
        best = slot_choice{n, loan, false};
        best_cost = cost;
        best_in_use = up.in_use;
    }
    return best;
}

std::optional<dispatcher::state::slot_choice>
dispatcher::state::choose_probe(service_row const& service, request_row const& request,
                                base::time_point now) const
{
    auto const& kind = service.classes[request.request_class];
    if (service.ejected == 0 || !kind.idempotent || kind.is_long || now >= request.deadline)
    {
        return std::nullopt;
    }
    for (auto const n : service.usable_upstreams)
    {
        auto const& up = upstreams[n];
        // A probe stays in the home place, so that it needs no permit.
        if (up.health.probe_ready() && up.place == service.home_place && accepts_attempts(up) &&
            owned(up) && up.takeover_done && ledger.free(n) > 0)
        {
            return slot_choice{n, no_index, true};
        }
    }
    return std::nullopt;
}

std::optional<dispatcher::state::slot_choice>
dispatcher::state::choose_slot(service_row const& service, request_row& request,
                               std::uint32_t strictly_avoid, base::time_point now)
{
    refused_places.clear();
    bool const strict = strictly_avoid != no_index;
    auto avoid = strict ? strictly_avoid : request.avoid;
    for (;;)
    {
        auto const found = cheapest_slot(service, request, avoid, now);
        if (!found)
        {
            if (strict || avoid == no_index || now < request.avoid_until)
            {
                return std::nullopt;
            }
            // No other upstream is available, so the one that failed is tried again.
            avoid = no_index;
            continue;
        }
        auto const place = upstreams[found->upstream].place;
        if (place == service.home_place)
        {
            return found;
        }
        if (permit.try_move(places[service.home_place].id, places[place].id, request.size, now))
        {
            ++counts.moves;
            return found;
        }
        ++counts.moves_refused;
        refused_places.push_back(place);
    }
}

std::string_view dispatcher::state::reason_for(std::uint32_t upstream, base::time_point now) const
{
    auto const& up = upstreams[upstream];
    std::uint32_t loan = no_index;
    if (up.leaving)
    {
        return "leaving";
    }
    if (places[up.place].drained)
    {
        return "drained";
    }
    if (up.health.ejected())
    {
        return "ejected";
    }
    if (up.owner == no_index)
    {
        return "no owner";
    }
    if (has_slot(upstream, now, loan))
    {
        return "available";
    }
    if (!owned(up))
    {
        return "no loan";
    }
    if (!up.takeover_done)
    {
        return "takeover";
    }
    return ledger.free(upstream) == 0 ? "slots in use" : "warming";
}

std::vector<candidate_info> dispatcher::state::explain(base::service_id const& service,
                                                       std::size_t request_class,
                                                       base::byte_count size,
                                                       base::time_point now) const
{
    std::vector<candidate_info> list;
    auto const found = service_by_id.find(service);
    if (found == service_by_id.end() || services[found->second].classes.empty())
    {
        return list;
    }
    auto const& row = services[found->second];
    auto const& kind = row.classes[std::min(request_class, row.classes.size() - 1)];
    for (auto const n : row.upstreams)
    {
        auto const& up = upstreams[n];
        auto const cost = cost_of(up, kind, size);
        candidate_info it;
        it.upstream = up.id;
        it.place = places[up.place].id;
        it.owner = up.owner == no_index ? base::instance_id() : entries[up.owner].id;
        it.network = cost.network;
        it.transfer = cost.transfer;
        it.service = cost.service;
        it.cost = cost.total();
        it.in_use = up.in_use;
        it.free_slots =
            (owned(up) && up.takeover_done ? ledger.free(n) : 0) + loans.idle_count(n, now);
        it.reason = reason_for(n, now);
        list.push_back(std::move(it));
    }
    std::stable_sort(list.begin(), list.end(),
                     [](auto const& a, auto const& b)
                     {
                         bool const a_takes = a.reason == "available";
                         bool const b_takes = b.reason == "available";
                         return a_takes != b_takes ? a_takes : a.cost < b.cost;
                     });
    return list;
}

} // namespace fuchsiaproxy::routing
