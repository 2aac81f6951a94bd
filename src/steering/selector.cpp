#include "selector.hpp"

#include <algorithm>

namespace fuchsiaproxy::steering
{
namespace
{

double seconds(base::duration it)
{
    return std::chrono::duration<double>(it).count();
}

bool has(std::vector<base::region_id> const& all, base::region_id const& region)
{
    return std::find(all.begin(), all.end(), region) != all.end();
}

// Increase of the expected work for each rank behind the home ranks. Larger than the jitter of
// costs, so that the requests that cannot go to a home upstream meet at the same other one.
constexpr double displaced_rank_cost = 0.1;

/// Returns whether both the route and the tenant of a request allow a region.
bool allows(selection_query const& it, base::region_id const& region)
{
    auto const& by_route = it.matched_route->allowed_regions;
    return (by_route.empty() || has(by_route, region)) &&
           (it.tenant_regions == nullptr || has(*it.tenant_regions, region));
}

} // namespace

double compared_work(std::size_t rank, std::size_t home_ranks, double measured, double cold,
                     double cold_weight)
{
    if (home_ranks == 0 || rank < home_ranks)
    {
        return measured;
    }
    auto const away = static_cast<double>(rank - home_ranks);
    return (measured + std::max(0.0, cold - measured) * cold_weight) *
           (1 + displaced_rank_cost * cold_weight * away);
}

selector::selector(director_settings const& settings, entry_view const& entries,
                   round_trip_times const& round_trips, std::uint64_t seed)
    : settings_(settings), entries_(entries), round_trips_(round_trips), random_(seed)
{
}

bool selector::cold_send_allowed(upstream_state const& it, service const& declared,
                                 base::time_point now) const
{
    if (now < it.next_cold_send)
    {
        return false;
    }
    return declared.cold_requests_per_s <= 0 ||
           entries_.rank_of_self(it.hash) < settings_.cold_senders;
}

void selector::record_cold_send(upstream_state& it, service const& declared,
                                base::time_point now) const
{
    if (declared.cold_requests_per_s <= 0)
    {
        return;
    }
    auto const rate = declared.cold_requests_per_s * settings_.cold_rate_fraction /
                      static_cast<double>(settings_.cold_senders);
    auto const gap = std::chrono::duration<double>(1 / rate);
    it.next_cold_send = now + std::chrono::duration_cast<base::duration>(gap);
}

bool selector::is_eligible(upstream_state const& it, selection_query const& query,
                           base::time_point now) const
{
    if (it.excluded(now))
    {
        return false;
    }
    if (it.connect_failures > 0 && it.in_flight > 0)
    {
        return false; // Probe a failed upstream with one request at a time.
    }
    if (it.ramp_limit > 0 && it.in_flight >= it.ramp_limit)
    {
        return false;
    }
    if (!allows(query, it.region))
    {
        return false;
    }
    auto const load = it.in_flight + it.other_entries_load(now, settings_.report_decay_time);
    if (load >= it.record.slots * settings_.max_requests_per_slot)
    {
        return false;
    }
    if (it.is_cold(now) && !cold_send_allowed(it, *query.declared, now))
    {
        return false;
    }
    // By address: a late copy of a refusal by the previous upstream there has the request's id.
    auto const& tried = *query.tried;
    return std::none_of(tried.begin(), tried.end(),
                        [&](upstream_ptr const& one) { return one->record.at == it.record.at; });
}

region_shares selector::shares(std::vector<upstream_ptr> const& candidates) const
{
    std::map<base::region_id, double> capacity;
    for (auto const& it : candidates)
    {
        if (it->accepts_requests())
        {
            capacity[it->region] += it->record.slots;
        }
    }
    return shares_of(entries_.own_region(), entries_.zones_per_region(), capacity);
}

zone_shares selector::shares_by_zone(std::vector<upstream_ptr> const& candidates) const
{
    std::map<base::availability_zone_id, double> capacity;
    for (auto const& it : candidates)
    {
        if (it->accepts_requests())
        {
            capacity[it->record.zone] += it->record.slots;
        }
    }
    return shares_of_zone(entries_.own_zone(), entries_.zone_regions(), entries_.caller_weights(),
                          capacity, settings_.planned_utilization);
}

std::vector<double> const& selector::weights(std::vector<upstream_ptr> const& candidates,
                                             selection_query const& query)
{
    auto& cached = (query.by_zone ? zone_weights_ : region_weights_)[*query.service_id];
    if (cached.weights.size() != candidates.size() ||
        cached.upstream_generation != query.upstream_generation ||
        cached.entry_generation != entries_.generation())
    {
        cached = {query.upstream_generation, entries_.generation(),
                  query.by_zone ? order_weights(candidates, shares_by_zone(candidates))
                                : order_weights(candidates, shares(candidates))};
    }
    return cached.weights;
}

double selector::load_per_slot(std::vector<upstream_ptr> const& candidates,
                               base::time_point now) const
{
    double load = 0;
    double slots = 0;
    for (auto const& it : candidates)
    {
        if (!it->excluded(now) && !it->is_cold(now))
        {
            load += it->in_flight + it->other_entries_load(now, settings_.report_decay_time);
            slots += it->record.slots;
        }
    }
    return slots > 0 ? load / slots : 1;
}

selection selector::estimate(upstream_state const& it, selection_query const& query,
                             std::size_t rank, double slot_price, base::time_point now)
{
    auto const decay_time = settings_.report_decay_time;
    auto const slots = static_cast<double>(std::max(1U, it.record.slots));
    auto const load = it.in_flight + it.other_entries_load(now, decay_time);
    auto const slowdown =
        it.slowdown(now, decay_time) * (it.is_cold(now) ? settings_.cold_slowdown : 1);
    auto const work = query.work->at(rank) * slowdown;
    auto const compared = compared_work(rank, query.home_ranks, work,
                                        query.work->at(distinct_ranks) * slowdown, cold_weight_);
    auto const ahead = std::max(0.0, load + 1 - slots);
    auto const wait = query.work->typical() * slowdown * ahead / slots;
    selection made;
    made.rank = rank;
    made.wait = wait;
    made.expected = round_trip_s_[it.zone_index] + wait + work;
    // While slots are free there is no wait, but a small cost of the load still spreads requests.
    auto const load_penalty = query.work->typical() * settings_.load_cost_factor * load / slots;
    auto const failure_penalty =
        it.failure_rate * settings_.failure_cost * seconds(query.matched_route->latency_goal);
    std::uniform_real_distribution<double> jitter(1, 1 + settings_.cost_jitter);
    made.cost =
        (made.expected - work + compared * (1 + slot_price) + load_penalty + failure_penalty) *
        jitter(random_);
    return made;
}

selection selector::pick(std::vector<upstream_ptr> const& candidates, selection_query const& query,
                         base::time_point now)
{
    auto const has_object = query.matched_route->affinity && query.object != 0;
    std::vector<std::size_t> const* const ranks =
        has_object ? &order_.rank(candidates, query.object, weights(candidates, query)) : nullptr;
    auto const service_load = load_per_slot(candidates, now);
    auto const capped_load = std::min(service_load, 0.999);
    auto const slot_price = std::min(settings_.max_slot_price, capped_load / (1 - capped_load));
    round_trips_.by_zone_index(round_trip_s_);
    cold_weight_ = std::max(0.0, 1 - service_load / settings_.full_spread_load);
    selection best;
    best.expected = std::numeric_limits<double>::infinity();
    auto fastest_other = best.expected;
    auto best_index = candidates.size();
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        auto const& it = candidates[n];
        if (!is_eligible(*it, query, now))
        {
            auto const why = it->excluded(now);
            if (why && why->why == exclusion_reason::paused && allows(query, it->region))
            {
                best.first_pause_end = std::min(best.first_pause_end, why->until);
            }
            continue;
        }
        auto const rank = ranks == nullptr ? 0 : (*ranks)[n];
        auto other = query.costs == nullptr ? estimate(*it, query, rank, slot_price, now)
                                            : estimate_by_work(*it, query, rank, slot_price, now);
        auto const is_best = best_index == candidates.size() || other.cost < best.cost;
        fastest_other = std::min(fastest_other, is_best ? best.expected : other.expected);
        if (is_best)
        {
            other.first_pause_end = best.first_pause_end;
            best = other;
            best_index = n;
        }
    }
    if (best_index < candidates.size())
    {
        best.upstream = candidates[best_index];
    }
    else
    {
        best.expected = 0;
    }
    best.fastest_other = fastest_other;
    best.service_load = service_load;
    return best;
}

} // namespace fuchsiaproxy::steering
