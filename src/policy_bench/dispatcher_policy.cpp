#include "dispatcher_policy.hpp"

#include <utility>

namespace fuchsiaproxy::policy_bench
{

namespace
{

constexpr std::uint32_t shift_percent = 30;

model::configuration configuration_after_fault(topology const& topo, fault injected_fault)
{
    auto it = topo.source.configuration;
    if (injected_fault == fault::drain)
    {
        it.drains.push_back({base::drain_id("drain"), {}, it.places[0].id});
    }
    if (injected_fault == fault::shift)
    {
        // Shifts from the first zone of the first region to the first zone of the second region.
        it.shifts.push_back({base::shift_id("shift"),
                             {},
                             it.services[0].id,
                             it.places[0].id,
                             it.places[2].id,
                             shift_percent});
    }
    return it;
}

} // namespace

dispatcher_policy::dispatcher_policy(simulation& sim, routing::dispatcher_settings const& settings)
    : sim_(sim), settings_(settings)
{
}

void dispatcher_policy::start()
{
    auto const& topo = sim_.topo();
    auto const& infos = topo.source.entries;
    for (std::uint32_t n = 0; n < topo.upstreams.size(); ++n)
    {
        upstream_by_id_[topo.upstreams[n].id.value()] = n;
    }
    entries_.resize(infos.size());
    for (std::uint32_t n = 0; n < infos.size(); ++n)
    {
        entry_by_id_[infos[n].id.value()] = n;
        auto& it = entries_[n];
        it.move_limiter = std::make_unique<region_move_limiter>(topo, n);
        it.entry_dispatcher = std::make_unique<routing::dispatcher>(
            routing::dispatcher_identity{infos[n].id, infos[n].region, infos[n].zone},
            sim_.current_scenario().seed * 1000 + n, *it.move_limiter, settings_);
        // Configured 30 s before time zero, so that the wait of a new owner of upstreams is over
        // when the first request arrives.
        base::time_point const takeover_start(-std::chrono::seconds(30));
        it.entry_dispatcher->configure(topo.source.configuration, takeover_start);
        it.entry_dispatcher->set_entries(infos, takeover_start);
        it.entry_dispatcher->tick(now(), actions_);
        schedule(n);
    }
    actions_.clear();
}

void dispatcher_policy::on_arrival(std::uint32_t request)
{
    auto const entry = sim_.entry_for(request);
    auto const& it = sim_.arrival_at(request);
    auto const& service = sim_.topo().source.configuration.services[it.service];
    base::time_point const deadline(it.at + service.classes[it.request_class].deadline);
    entries_[entry].entry_dispatcher->enqueue({base::local_request_id(request + 1), service.id,
                                               it.request_class, now(), deadline,
                                               base::byte_count(2000)},
                                              now(), actions_);
    carry_out(entry);
}

void dispatcher_policy::on_answer(std::uint32_t job, routing::attempt_result outcome)
{
    auto const it = sim_.job_at(job);
    if (!sim_.entry_available(it.entry))
    {
        sim_.end_request(it.request, request_end::lost);
        return;
    }
    auto& entry = entries_[it.entry];
    entry.job_of_attempt.erase(it.tag);
    base::attempt_id const attempt(it.tag);
    if (outcome == routing::attempt_result::completed)
    {
        sim_.end_request(it.request, request_end::served);
        entry.entry_dispatcher->on_attempt_head(attempt, now(), actions_);
    }
    entry.entry_dispatcher->on_attempt_finished(attempt, outcome, now(), actions_);
    carry_out(it.entry);
}

void dispatcher_policy::on_fault_detected(std::uint32_t entry)
{
    if (!sim_.entry_available(entry))
    {
        return;
    }
    auto& it = entries_[entry];
    auto const& topo = sim_.topo();
    if (sim_.current_scenario().injected_fault == fault::zone_lost)
    {
        std::vector<messages::entry_info> live;
        for (std::uint32_t n = 0; n < entries_.size(); ++n)
        {
            if (sim_.entry_available(n))
            {
                live.push_back(topo.source.entries[n]);
            }
        }
        it.entry_dispatcher->set_entries(live, now());
    }
    else
    {
        it.entry_dispatcher->configure(
            configuration_after_fault(topo, sim_.current_scenario().injected_fault), now());
    }
    schedule(entry);
}

void dispatcher_policy::finish()
{
    for (auto const& it : entries_)
    {
        auto const& c = it.entry_dispatcher->counters();
        counters_.enqueued += c.enqueued;
        counters_.first_attempts += c.first_attempts;
        counters_.completed += c.completed;
        counters_.refused_early += c.refused_early;
        counters_.refused_full += c.refused_full;
        counters_.expired += c.expired;
        counters_.hedges += c.hedges;
        counters_.hedges_won += c.hedges_won;
        counters_.retries += c.retries;
        counters_.ejections += c.ejections;
        counters_.probes += c.probes;
        counters_.moves += c.moves;
        counters_.moves_refused += c.moves_refused;
        counters_.borrows_sent += c.borrows_sent;
        counters_.loans_received += c.loans_received;
        counters_.loans_granted += c.loans_granted;
        counters_.borrows_refused += c.borrows_refused;
        counters_.loans_lapsed += c.loans_lapsed;
    }
}

void dispatcher_policy::carry_out(std::uint32_t entry)
{
    auto const actions = std::exchange(actions_, {});
    for (auto const& it : actions)
    {
        std::visit([&](auto const& one) { carry_out(entry, one); }, it);
    }
    schedule(entry);
}

void dispatcher_policy::carry_out(std::uint32_t entry, routing::start_attempt const& it)
{
    auto const& topo = sim_.topo();
    auto const upstream = upstream_by_id_.at(it.upstream.value());
    sim_.count_move(topo.entry_zone[entry], topo.upstreams[upstream].zone);
    auto const job = sim_.send(static_cast<std::uint32_t>(it.request.value() - 1), entry, upstream,
                               it.attempt.value(), it.deadline.time_since_epoch());
    entries_[entry].job_of_attempt[it.attempt.value()] = job;
}

void dispatcher_policy::carry_out(std::uint32_t entry, routing::cancel_attempt const& it)
{
    sim_.cancel(entries_[entry].job_of_attempt.at(it.attempt.value()));
}

void dispatcher_policy::carry_out(std::uint32_t, routing::fail_request const& it)
{
    auto const request = static_cast<std::uint32_t>(it.request.value() - 1);
    bool const at_once = sim_.now() == sim_.arrival_at(request).at;
    sim_.end_request(request, at_once ? request_end::refused : request_end::failed);
}

void dispatcher_policy::carry_out(std::uint32_t entry, routing::send_message const& it)
{
    auto const& topo = sim_.topo();
    auto const to = entry_by_id_.at(it.to.value());
    auto const delay = topo.delay(topo.entry_zone[entry], topo.entry_zone[to]);
    sim_.run_after(
        delay,
        [this, entry, to, body = it.body]
        {
            if (!sim_.entry_available(to))
            {
                return;
            }
            auto const& from = sim_.topo().source.entries[entry].id;
            auto& entry_dispatcher = *entries_[to].entry_dispatcher;
            if (auto const* const loan_request = std::get_if<messages::loan_request>(&body))
            {
                entry_dispatcher.on_message(from, *loan_request, now(), actions_);
            }
            else if (auto const* const loan_answer = std::get_if<messages::loan_answer>(&body))
            {
                entry_dispatcher.on_message(from, *loan_answer, now(), actions_);
            }
            else if (auto const* const back = std::get_if<messages::loan_return>(&body))
            {
                entry_dispatcher.on_message(from, *back, now(), actions_);
            }
            carry_out(to);
        });
}

void dispatcher_policy::schedule(std::uint32_t entry)
{
    auto& it = entries_[entry];
    auto const next = it.entry_dispatcher->next_wakeup(now());
    if (next >= it.wakeup || next == base::time_point::max())
    {
        return;
    }
    it.wakeup = next;
    auto const delay = std::max(base::duration::zero(), next - now());
    sim_.run_after(delay,
                   [this, entry, next]
                   {
                       auto& state = entries_[entry];
                       if (state.wakeup != next || !sim_.entry_available(entry))
                       {
                           return;
                       }
                       state.wakeup = base::time_point::max();
                       state.entry_dispatcher->tick(now(), actions_);
                       carry_out(entry);
                   });
}

} // namespace fuchsiaproxy::policy_bench
