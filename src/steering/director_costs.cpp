// Learned costs and open work in the director; in force where demand is uneven.
#include <algorithm>

#include "director_state.hpp"

namespace fuchsiaproxy::steering
{

void director::state::update_open_work(base::service_id const& service, double typical_work,
                                       base::time_point now)
{
    auto const enough_peers = has_enough_peers();
    for (auto const& it : upstreams.of_service(service))
    {
        auto const slowdown = it->lasting_slowdown(now, settings.report_decay_time);
        it->own_work.update(now, slowdown, costs.overdue_share());
        it->own_work_s = it->own_work.remaining(now, slowdown, costs.straggler_rest());
        it->peers_work_s.reset();
        if (enough_peers)
        {
            it->peers_work_s = peers.work_at(it->tag(), typical_work);
        }
    }
}

void director::state::add_open_work(base::attempt_id id, attempt_state& it, selection const& chosen,
                                    base::time_point now)
{
    auto& upstream = *chosen.upstream;
    auto const slowdown = upstream.lasting_slowdown(now, settings.report_decay_time);
    it.cost.slowdown = slowdown;
    it.cost.upstream = &upstream.learned_cost;
    it.cost.rank = chosen.rank;
    it.expected_wait_s = chosen.wait;
    it.expected_work = chosen.work;
    it.explanation.expected_work = chosen.work.mean;
    it.explanation.expected_work_spread = chosen.work.spread;
    auto const usual = chosen.work.scaled(1 / slowdown);
    upstream.own_work.add({id, now, chosen.wait, usual, slowdown});
}

/// Removes an attempt from its upstream's open work, and learns from it.
void director::state::learn_attempt_end(base::attempt_id id, attempt_state& it,
                                        attempt_end const& end, base::time_point now)
{
    auto& upstream = *it.upstream;
    if (it.cost.route == nullptr)
    {
        return;
    }
    auto const trip = std::chrono::duration<double>(round_trips.to(upstream.record.zone)).count();
    auto const answered_at = it.answered_at.value_or(now);
    auto const took = std::chrono::duration<double>(answered_at - it.started).count() - trip;
    auto const ran = took - it.expected_wait_s;
    auto const was_slow = upstream.own_work.counts_as_slow();
    upstream.own_work.remove(id, answered_at, it.answered_at.has_value(),
                             upstream.lasting_slowdown(now, settings.report_decay_time));
    auto const given_up = end.result == base::attempt_result::cancelled ||
                          end.result == base::attempt_result::timed_out;
    if (!it.answered_at && !given_up)
    {
        return;
    }
    if (!was_slow)
    {
        costs.learn_overrun(it.expected_work, ran, it.answered_at.has_value());
    }
    if (upstream.own_work.counts_as_slow())
    {
        it.cost.object = 0; // The object would seem to be expensive at all upstreams.
    }
    if (it.wait_expected)
    {
        return; // Most of the time may have been a wait.
    }
    if (!it.answered_at)
    {
        costs.learn_at_least(it.cost, took, now);
        return;
    }
    if (end.load)
    {
        // What the answer says of the upstream's speed is newer than what was known at the start.
        it.cost.slowdown = std::max(least_slowdown, end.load->service_time_percent / 100.0);
    }
    costs.learn(it.cost, took, now);
}

} // namespace fuchsiaproxy::steering
