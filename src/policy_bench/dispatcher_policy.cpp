#include "dispatcher_policy.hpp"

#include <utility>

namespace fuchsiaproxy::policy_bench
{

namespace
{

constexpr std::uint32_t shift_percent = 30;

model::configuration after_fault(layout const& where, fault what)
{
    auto it = where.source.configuration;
    if (what == fault::drain)
    {
        it.drains.push_back({base::drain_id("drain"), {}, it.places[0].id});
    }
    if (what == fault::shift)
    {
        // From the first zone of the first region to the first zone of the second one.
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

dispatcher_policy::dispatcher_policy(world& in, routing::dispatcher_settings const& settings)
    : in_(in), settings_(settings)
{
}

void dispatcher_policy::start()
{
    auto const& where = in_.where();
    auto const& infos = where.source.entries;
    for (std::uint32_t n = 0; n < where.upstreams.size(); ++n)
    {
        upstream_by_id_[where.upstreams[n].id.value()] = n;
    }
    entries_.resize(infos.size());
    for (std::uint32_t n = 0; n < infos.size(); ++n)
    {
        entry_by_id_[infos[n].id.value()] = n;
        auto& it = entries_[n];
        it.gate = std::make_unique<region_gate>(where, n);
        it.decisions = std::make_unique<routing::dispatcher>(
            routing::dispatcher_identity{infos[n].id, infos[n].region, infos[n].zone},
            in_.what().seed * 1000 + n, *it.gate, settings_);
        // The takeover of all upstreams has ended when the first request arrives.
        base::time_point const long_ago(-std::chrono::seconds(30));
        it.decisions->configure(where.source.configuration, long_ago);
        it.decisions->set_entries(infos, long_ago);
        it.decisions->tick(now(), actions_);
        schedule(n);
    }
    actions_.clear();
}

void dispatcher_policy::on_arrival(std::uint32_t request)
{
    auto const entry = in_.entry_for(request);
    auto const& it = in_.arrival_at(request);
    auto const& service = in_.where().source.configuration.services[it.service];
    base::time_point const deadline(it.at + service.classes[it.request_class].deadline);
    entries_[entry].decisions->enqueue({base::local_request_id(request + 1), service.id,
                                        it.request_class, now(), deadline, base::byte_count(2000)},
                                       now(), actions_);
    carry_out(entry);
}

void dispatcher_policy::on_answer(std::uint32_t job, routing::attempt_result outcome)
{
    auto const it = in_.job_at(job);
    if (!in_.entry_alive(it.entry))
    {
        in_.end_request(it.request, request_end::lost);
        return;
    }
    auto& entry = entries_[it.entry];
    entry.job_of_attempt.erase(it.tag);
    base::attempt_id const attempt(it.tag);
    if (outcome == routing::attempt_result::completed)
    {
        in_.end_request(it.request, request_end::served);
        entry.decisions->on_attempt_head(attempt, now(), actions_);
    }
    entry.decisions->on_attempt_finished(attempt, outcome, now(), actions_);
    carry_out(it.entry);
}

void dispatcher_policy::on_fault_known(std::uint32_t entry)
{
    if (!in_.entry_alive(entry))
    {
        return;
    }
    auto& it = entries_[entry];
    auto const& where = in_.where();
    if (in_.what().what == fault::zone_lost)
    {
        std::vector<messages::entry_info> live;
        for (std::uint32_t n = 0; n < entries_.size(); ++n)
        {
            if (in_.entry_alive(n))
            {
                live.push_back(where.source.entries[n]);
            }
        }
        it.decisions->set_entries(live, now());
    }
    else
    {
        it.decisions->configure(after_fault(where, in_.what().what), now());
    }
    schedule(entry);
}

void dispatcher_policy::finish()
{
    for (auto const& it : entries_)
    {
        auto const& c = it.decisions->counters();
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
    auto const& where = in_.where();
    auto const upstream = upstream_by_id_.at(it.upstream.value());
    in_.count_move(where.entry_zone[entry], where.upstreams[upstream].zone);
    auto const job = in_.send(static_cast<std::uint32_t>(it.request.value() - 1), entry, upstream,
                              it.attempt.value(), it.deadline.time_since_epoch());
    entries_[entry].job_of_attempt[it.attempt.value()] = job;
}

void dispatcher_policy::carry_out(std::uint32_t entry, routing::cancel_attempt const& it)
{
    in_.cancel(entries_[entry].job_of_attempt.at(it.attempt.value()));
}

void dispatcher_policy::carry_out(std::uint32_t, routing::give_up const& it)
{
    auto const request = static_cast<std::uint32_t>(it.request.value() - 1);
    bool const at_once = in_.now() == in_.arrival_at(request).at;
    in_.end_request(request, at_once ? request_end::refused : request_end::failed);
}

void dispatcher_policy::carry_out(std::uint32_t entry, routing::send_message const& it)
{
    auto const& where = in_.where();
    auto const to = entry_by_id_.at(it.to.value());
    auto const delay = where.delay(where.entry_zone[entry], where.entry_zone[to]);
    in_.after(delay,
              [this, entry, to, body = it.body]
              {
                  if (!in_.entry_alive(to))
                  {
                      return;
                  }
                  auto const& from = in_.where().source.entries[entry].id;
                  auto& decisions = *entries_[to].decisions;
                  if (auto const* const borrow = std::get_if<messages::borrow>(&body))
                  {
                      decisions.on_message(from, *borrow, now(), actions_);
                  }
                  else if (auto const* const lend = std::get_if<messages::lend>(&body))
                  {
                      decisions.on_message(from, *lend, now(), actions_);
                  }
                  else if (auto const* const back = std::get_if<messages::give_back>(&body))
                  {
                      decisions.on_message(from, *back, now(), actions_);
                  }
                  carry_out(to);
              });
}

void dispatcher_policy::schedule(std::uint32_t entry)
{
    auto& it = entries_[entry];
    auto const next = it.decisions->next_wakeup(now());
    if (next >= it.wakeup || next == base::time_point::max())
    {
        return;
    }
    it.wakeup = next;
    auto const delay = std::max(base::duration::zero(), next - now());
    in_.after(delay,
              [this, entry, next]
              {
                  auto& state = entries_[entry];
                  if (state.wakeup != next || !in_.entry_alive(entry))
                  {
                      return;
                  }
                  state.wakeup = base::time_point::max();
                  state.decisions->tick(now(), actions_);
                  carry_out(entry);
              });
}

} // namespace fuchsiaproxy::policy_bench
