// Estimates of the selector by seconds of work.
#include <algorithm>

#include "selector.hpp"

namespace fuchsiaproxy::steering
{
namespace
{

// Cost of an upstream that counts as slow and has an open probe, in latency goals: it is selected
// only if no other upstream is left.
constexpr double probed_cost = 100;

} // namespace

/// Estimates by the learned cost of the request and the seconds of work ahead of it.
selection selector::estimate_by_work(upstream_state const& it, selection_query const& query,
                                     std::size_t rank, double slot_price, base::time_point now)
{
    auto const slots = static_cast<double>(std::max(1U, it.record.slots));
    auto const load = it.in_flight + it.other_entries_load(now, settings_.report_decay_time);
    auto const reported = it.lasting_slowdown(now, settings_.report_decay_time) *
                          (it.is_cold(now) ? settings_.cold_slowdown : 1);
    auto const typical = (*query.costs)[0].mean;
    auto const factor = query.model->slowness_factor(reported) * it.learned_cost.at(now);
    auto const ahead_s =
        it.own_work_s + (it.peers_work_s ? *it.peers_work_s : (load - it.in_flight) * typical);
    // With a free slot there is no wait. With n requests of the mean rest r at s slots, n - s + 1
    // of them have to end, at the rate s / r.
    auto const excess = std::max(0.0, load + 1 - slots);
    selection made;
    made.rank = rank;
    made.work = (*query.costs)[std::min(rank, distinct_ranks - 1)].scaled(factor);
    made.wait = load > 0 ? ahead_s / slots * excess / load : 0;
    auto const work = made.work.mean * it.own_work.slowness(now);
    made.expected = round_trip_s_[it.zone_index] + made.wait + work;
    auto const cold = (*query.costs)[distinct_ranks - 1].mean * factor * it.own_work.slowness(now);
    auto const compared = compared_work(rank, query.home_ranks, work, cold, cold_weight_);
    auto const load_penalty = settings_.load_cost_factor * ahead_s / slots;
    auto const goal = std::chrono::duration<double>(query.matched_route->latency_goal).count();
    auto const failure_penalty = it.failure_rate * settings_.failure_cost * goal;
    std::uniform_real_distribution<double> jitter(1, 1 + settings_.cost_jitter);
    made.cost =
        (made.expected - work + compared * (1 + slot_price) + load_penalty + failure_penalty) *
        jitter(random_);
    if (it.own_work.has_open_probe())
    {
        made.cost += goal * probed_cost;
    }
    return made;
}

} // namespace fuchsiaproxy::steering
