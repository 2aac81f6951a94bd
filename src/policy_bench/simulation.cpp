#include "simulation.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaproxy::policy_bench
{

namespace
{

using namespace std::chrono_literals;
using routing::attempt_result;

// Time after which a connection to an unavailable upstream fails.
constexpr base::duration connect_timeout = 100ms;
// The first requests that an upstream gets from another region are slower: its caches are cold.
constexpr std::uint32_t cold_requests = 150;
constexpr double cold_factor = 3;
constexpr base::duration report_interval = 500ms;
constexpr base::duration report_lag = 250ms;
// Time after the last arrival for which the simulation continues, so that open requests can end.
constexpr base::duration grace_period = 6s;

} // namespace

region_move_limiter::region_move_limiter(topology const& topo, std::uint32_t entry) : topo_(topo)
{
    auto const entries = topo.entry_zone.size();
    share_ = topo.source.region_cap / entries + (entry < topo.source.region_cap % entries ? 1 : 0);
    auto const& places = topo.source.configuration.places;
    for (std::uint32_t n = 0; n < places.size(); ++n)
    {
        region_of_place_[places[n].id.value()] = topo.region_of_zone[topo.zone_of_place[n]];
    }
}

bool region_move_limiter::try_move(base::place_id const& from, base::place_id const& to,
                                   base::byte_count, base::time_point now)
{
    auto const key = std::pair(region_of_place_.at(from.value()), region_of_place_.at(to.value()));
    if (key.first == key.second)
    {
        return true;
    }
    auto& recent = recent_[key];
    while (!recent.empty() && recent.front() + 1s <= now)
    {
        recent.pop_front();
    }
    if (recent.size() >= share_)
    {
        return false;
    }
    recent.push_back(now);
    return true;
}

simulation::simulation(topology const& topo, scenario const& spec, std::vector<arrival> arrivals,
                       std::vector<std::vector<speed_step>> speeds)
    : topo_(topo), scenario_(spec), arrivals_(std::move(arrivals)), speeds_(std::move(speeds)),
      results_(arrivals_.size()), upstreams_(topo.upstreams.size())
{
}

void simulation::run_after(base::duration delay, std::function<void()> callback)
{
    if (free_callbacks_.empty())
    {
        free_callbacks_.push_back(static_cast<std::uint32_t>(callbacks_.size()));
        callbacks_.emplace_back();
    }
    auto const index = free_callbacks_.back();
    free_callbacks_.pop_back();
    callbacks_[index] = std::move(callback);
    events_.push({now_ + delay, order_++, index});
}

void simulation::run(policy& under_test)
{
    policy_ = &under_test;
    under_test.start();
    run_after(report_interval, [this] { report_loads(); });
    if (scenario_.injected_fault != fault::none &&
        scenario_.injected_fault != fault::slow_upstreams)
    {
        random_source random(scenario_.seed ^ 0xfa17ULL);
        for (std::uint32_t n = 0; n < topo_.entry_zone.size(); ++n)
        {
            // A lost zone is detected after 3 s without heartbeats; a new configuration reaches
            // every entry within 300 ms.
            auto const detection_delay = scenario_.injected_fault == fault::zone_lost
                                             ? base::duration(3s)
                                             : std::chrono::milliseconds(random.next() % 300);
            run_after(scenario_.fault_at + detection_delay,
                      [this, n] { policy_->on_fault_detected(n); });
        }
    }
    std::uint32_t next = 0;
    auto const end = scenario_.end + grace_period;
    while (now_ < end)
    {
        bool const arrives =
            next < arrivals_.size() && (events_.empty() || arrivals_[next].at <= events_.top().at);
        if (arrives)
        {
            now_ = arrivals_[next].at;
            policy_->on_arrival(next++);
            continue;
        }
        if (events_.empty())
        {
            break;
        }
        auto const it = events_.top();
        events_.pop();
        now_ = it.at;
        auto const callback = std::move(callbacks_[it.callback]);
        free_callbacks_.push_back(it.callback);
        callback();
    }
    under_test.finish();
}

bool simulation::zone_available(std::uint32_t zone) const
{
    return scenario_.injected_fault != fault::zone_lost || zone != lost_zone ||
           now_ < scenario_.fault_at;
}

bool simulation::entry_available(std::uint32_t entry) const
{
    return zone_available(topo_.entry_zone[entry]);
}

std::uint32_t simulation::entry_for(std::uint32_t request) const
{
    auto const entry = arrivals_[request].entry;
    if (entry_available(entry))
    {
        return entry;
    }
    // Callers fail over to the entries in the other zone of the region.
    auto const region = topo_.region_of_zone[topo_.entry_zone[entry]];
    std::vector<std::uint32_t> others;
    for (std::uint32_t n = 0; n < topo_.entry_zone.size(); ++n)
    {
        if (entry_available(n) && topo_.region_of_zone[topo_.entry_zone[n]] == region)
        {
            others.push_back(n);
        }
    }
    return others[request % others.size()];
}

std::uint32_t simulation::send(std::uint32_t request, std::uint32_t entry, std::uint32_t upstream,
                               std::uint64_t tag, base::duration deadline)
{
    auto const index = static_cast<std::uint32_t>(jobs_.size());
    job it;
    it.request = request;
    it.entry = entry;
    it.upstream = upstream;
    it.tag = tag;
    it.deadline = deadline;
    jobs_.push_back(it);
    auto const delay = topo_.delay(topo_.entry_zone[entry], topo_.upstreams[upstream].zone);
    run_after(delay, [this, index] { receive_job(index); });
    return index;
}

void simulation::receive_job(std::uint32_t index)
{
    auto& it = jobs_[index];
    auto const& info = topo_.upstreams[it.upstream];
    if (!zone_available(info.zone))
    {
        it.phase = job::phase::ended;
        run_after(connect_timeout,
                  [this, index] { policy_->on_answer(index, attempt_result::connect_failed); });
        return;
    }
    if (scenario_.injected_fault == fault::drain && info.place == 0)
    {
        last_drained_activity_ = now_;
    }
    auto& up = upstreams_[it.upstream];
    auto const load = up.running.size() + up.queue.size() + 1;
    max_slot_use_ = std::max(max_slot_use_, static_cast<double>(load) / info.slots);
    if (up.running.size() < info.slots)
    {
        start_job(index);
        return;
    }
    it.phase = job::phase::queued;
    up.queue.push_back(index);
}

void simulation::start_job(std::uint32_t index)
{
    auto& it = jobs_[index];
    auto const& info = topo_.upstreams[it.upstream];
    auto& up = upstreams_[it.upstream];
    it.phase = job::phase::running;
    it.started = now_;
    up.running.push_back(index);
    auto work = arrivals_[it.request].work;
    auto const region = topo_.region_of_zone[topo_.entry_zone[it.entry]];
    if (region != info.region)
    {
        auto& left = up.cold_requests_left.try_emplace(region, cold_requests).first->second;
        if (left > 0)
        {
            --left;
            work = base::duration(
                static_cast<base::duration::rep>(static_cast<double>(work.count()) * cold_factor));
        }
    }
    auto const end = completion_time(speeds_[it.upstream], now_, work);
    bool const in_time = end <= it.deadline;
    auto const outcome = in_time ? attempt_result::completed : attempt_result::timed_out;
    run_after(std::max(now_, std::min(end, it.deadline)) - now_,
              [this, index, outcome] { end_job(index, outcome); });
}

void simulation::end_job(std::uint32_t index, attempt_result outcome)
{
    auto& it = jobs_[index];
    if (it.phase != job::phase::running)
    {
        return;
    }
    it.phase = job::phase::ended;
    busy_time_ += std::max(base::duration::zero(), std::min(now_, scenario_.end) -
                                                       std::max(it.started, scenario_.fault_at));
    auto const& info = topo_.upstreams[it.upstream];
    if (!zone_available(info.zone))
    {
        // No reply and no reset reaches the entry, so the attempt times out at its deadline.
        run_after(std::max(it.deadline, now_) - now_,
                  [this, index] { policy_->on_answer(index, attempt_result::timed_out); });
        return;
    }
    if (scenario_.injected_fault == fault::drain && info.place == 0)
    {
        last_drained_activity_ = now_;
    }
    auto& running = upstreams_[it.upstream].running;
    running.erase(std::find(running.begin(), running.end(), index));
    send_answer(index, outcome);
    start_queued(it.upstream);
}

void simulation::start_queued(std::uint32_t upstream)
{
    auto& up = upstreams_[upstream];
    while (!up.queue.empty() && up.running.size() < topo_.upstreams[upstream].slots)
    {
        auto const index = up.queue.front();
        up.queue.pop_front();
        if (jobs_[index].deadline <= now_)
        {
            jobs_[index].phase = job::phase::ended;
            send_answer(index, attempt_result::timed_out);
            continue;
        }
        start_job(index);
    }
}

void simulation::send_answer(std::uint32_t index, attempt_result outcome)
{
    auto const& it = jobs_[index];
    auto const delay = topo_.delay(topo_.entry_zone[it.entry], topo_.upstreams[it.upstream].zone);
    run_after(delay, [this, index, outcome] { policy_->on_answer(index, outcome); });
}

void simulation::cancel(std::uint32_t index)
{
    auto const& info = topo_.upstreams[jobs_[index].upstream];
    auto const delay = topo_.delay(topo_.entry_zone[jobs_[index].entry], info.zone);
    run_after(delay,
              [this, index]
              {
                  auto& it = jobs_[index];
                  auto& up = upstreams_[it.upstream];
                  if (it.phase == job::phase::running)
                  {
                      end_job(index, attempt_result::stopped);
                  }
                  else if (it.phase == job::phase::queued)
                  {
                      up.queue.erase(std::find(up.queue.begin(), up.queue.end(), index));
                      it.phase = job::phase::ended;
                      send_answer(index, attempt_result::cancelled_before_start);
                  }
              });
}

void simulation::end_request(std::uint32_t request, request_end end)
{
    auto& it = results_[request];
    if (it.end == request_end::open)
    {
        it = {end, now_ - arrivals_[request].at};
    }
}

void simulation::report_loads()
{
    for (std::uint32_t n = 0; n < upstreams_.size(); ++n)
    {
        auto const load =
            static_cast<std::uint32_t>(upstreams_[n].running.size() + upstreams_[n].queue.size());
        if (zone_available(topo_.upstreams[n].zone))
        {
            run_after(report_lag, [this, n, load] { policy_->on_load_report(n, load); });
        }
    }
    if (now_ < scenario_.end)
    {
        run_after(report_interval, [this] { report_loads(); });
    }
}

void simulation::count_move(std::uint32_t from_zone, std::uint32_t to_zone)
{
    auto const key = std::pair(topo_.region_of_zone[from_zone], topo_.region_of_zone[to_zone]);
    if (key.first == key.second)
    {
        return;
    }
    auto& recent = moves_[key];
    while (!recent.empty() && recent.front() + 1s <= now_)
    {
        recent.pop_front();
    }
    recent.push_back(now_);
    moves_over_cap_ += recent.size() > topo_.source.region_cap ? 1 : 0;
}

double simulation::utilisation() const
{
    std::uint64_t slots = 0;
    for (auto const& it : topo_.upstreams)
    {
        slots += it.slots;
    }
    auto const whole = static_cast<double>((scenario_.end - scenario_.fault_at).count()) *
                       static_cast<double>(slots);
    return static_cast<double>(busy_time_.count()) / whole;
}

base::duration simulation::drain_time() const
{
    return std::max(last_drained_activity_, scenario_.fault_at) - scenario_.fault_at;
}

} // namespace fuchsiaproxy::policy_bench
