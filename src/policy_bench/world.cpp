#include "world.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaproxy::policy_bench
{

namespace
{

using namespace std::chrono_literals;
using routing::attempt_result;

// A connection to a dead upstream fails after this time.
constexpr base::duration connect_timeout = 100ms;
// Requests from another region are slower while the caches do not know them.
constexpr std::uint32_t cold_requests = 150;
constexpr double cold_factor = 3;
constexpr base::duration report_interval = 500ms;
constexpr base::duration report_lag = 250ms;
// Time after the last arrival in which the requests still open may end.
constexpr base::duration run_out = 6s;

} // namespace

region_gate::region_gate(layout const& where, std::uint32_t entry) : where_(where)
{
    auto const entries = where.entry_zone.size();
    share_ =
        where.source.region_cap / entries + (entry < where.source.region_cap % entries ? 1 : 0);
    auto const& places = where.source.configuration.places;
    for (std::uint32_t n = 0; n < places.size(); ++n)
    {
        region_of_place_[places[n].id.value()] = where.region_of_zone[where.zone_of_place[n]];
    }
}

bool region_gate::try_move(base::place_id const& from, base::place_id const& to, base::byte_count,
                           base::time_point now)
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

world::world(layout const& where, scenario const& what, std::vector<arrival> arrivals,
             std::vector<std::vector<speed_step>> speeds)
    : where_(where), what_(what), arrivals_(std::move(arrivals)), speeds_(std::move(speeds)),
      results_(arrivals_.size()), upstreams_(where.upstreams.size())
{
}

void world::after(base::duration delay, std::function<void()> call)
{
    if (free_calls_.empty())
    {
        free_calls_.push_back(static_cast<std::uint32_t>(calls_.size()));
        calls_.emplace_back();
    }
    auto const index = free_calls_.back();
    free_calls_.pop_back();
    calls_[index] = std::move(call);
    events_.push({now_ + delay, order_++, index});
}

void world::run(policy& under_test)
{
    policy_ = &under_test;
    under_test.start();
    after(report_interval, [this] { report_loads(); });
    if (what_.what != fault::none && what_.what != fault::slow_upstreams)
    {
        random_source random(what_.seed ^ 0xfa17ULL);
        for (std::uint32_t n = 0; n < where_.entry_zone.size(); ++n)
        {
            // A lost zone is known after 3 s without heartbeats, a configuration within 300 ms.
            auto const known = what_.what == fault::zone_lost
                                   ? base::duration(3s)
                                   : std::chrono::milliseconds(random.next() % 300);
            after(what_.fault_at + known, [this, n] { policy_->on_fault_known(n); });
        }
    }
    std::uint32_t next = 0;
    auto const end = what_.end + run_out;
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
        auto const call = std::move(calls_[it.call]);
        free_calls_.push_back(it.call);
        call();
    }
    under_test.finish();
}

bool world::zone_alive(std::uint32_t zone) const
{
    return what_.what != fault::zone_lost || zone != lost_zone || now_ < what_.fault_at;
}

bool world::entry_alive(std::uint32_t entry) const
{
    return zone_alive(where_.entry_zone[entry]);
}

std::uint32_t world::entry_for(std::uint32_t request) const
{
    auto const entry = arrivals_[request].entry;
    if (entry_alive(entry))
    {
        return entry;
    }
    // The caller's list names the entries of the other zone of the region next.
    auto const region = where_.region_of_zone[where_.entry_zone[entry]];
    std::vector<std::uint32_t> others;
    for (std::uint32_t n = 0; n < where_.entry_zone.size(); ++n)
    {
        if (entry_alive(n) && where_.region_of_zone[where_.entry_zone[n]] == region)
        {
            others.push_back(n);
        }
    }
    return others[request % others.size()];
}

std::uint32_t world::send(std::uint32_t request, std::uint32_t entry, std::uint32_t upstream,
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
    auto const delay = where_.delay(where_.entry_zone[entry], where_.upstreams[upstream].zone);
    after(delay, [this, index] { arrive(index); });
    return index;
}

void world::arrive(std::uint32_t index)
{
    auto& it = jobs_[index];
    auto const& at = where_.upstreams[it.upstream];
    if (!zone_alive(at.zone))
    {
        it.phase = job::phase::ended;
        after(connect_timeout,
              [this, index] { policy_->on_answer(index, attempt_result::connect_failed); });
        return;
    }
    if (what_.what == fault::drain && at.place == 0)
    {
        last_in_drained_ = now_;
    }
    auto& up = upstreams_[it.upstream];
    auto const load = up.running.size() + up.queue.size() + 1;
    max_slot_use_ = std::max(max_slot_use_, static_cast<double>(load) / at.slots);
    if (up.running.size() < at.slots)
    {
        begin(index);
        return;
    }
    it.phase = job::phase::queued;
    up.queue.push_back(index);
}

void world::begin(std::uint32_t index)
{
    auto& it = jobs_[index];
    auto const& at = where_.upstreams[it.upstream];
    auto& up = upstreams_[it.upstream];
    it.phase = job::phase::running;
    it.started = now_;
    up.running.push_back(index);
    auto work = arrivals_[it.request].work;
    auto const region = where_.region_of_zone[where_.entry_zone[it.entry]];
    if (region != at.region)
    {
        auto& left = up.cold_left.try_emplace(region, cold_requests).first->second;
        if (left > 0)
        {
            --left;
            work = base::duration(
                static_cast<base::duration::rep>(static_cast<double>(work.count()) * cold_factor));
        }
    }
    auto const end = end_of_work(speeds_[it.upstream], now_, work);
    bool const in_time = end <= it.deadline;
    auto const outcome = in_time ? attempt_result::completed : attempt_result::timed_out;
    after(std::max(now_, std::min(end, it.deadline)) - now_,
          [this, index, outcome] { end_job(index, outcome); });
}

void world::end_job(std::uint32_t index, attempt_result outcome)
{
    auto& it = jobs_[index];
    if (it.phase != job::phase::running)
    {
        return;
    }
    it.phase = job::phase::ended;
    busy_ += std::max(base::duration::zero(),
                      std::min(now_, what_.end) - std::max(it.started, what_.fault_at));
    auto const& at = where_.upstreams[it.upstream];
    if (!zone_alive(at.zone))
    {
        // The connection is silent: the entry learns of it at the deadline.
        after(std::max(it.deadline, now_) - now_,
              [this, index] { policy_->on_answer(index, attempt_result::timed_out); });
        return;
    }
    if (what_.what == fault::drain && at.place == 0)
    {
        last_in_drained_ = now_;
    }
    auto& running = upstreams_[it.upstream].running;
    running.erase(std::find(running.begin(), running.end(), index));
    answer(index, outcome);
    start_queued(it.upstream);
}

void world::start_queued(std::uint32_t upstream)
{
    auto& up = upstreams_[upstream];
    while (!up.queue.empty() && up.running.size() < where_.upstreams[upstream].slots)
    {
        auto const index = up.queue.front();
        up.queue.pop_front();
        if (jobs_[index].deadline <= now_)
        {
            jobs_[index].phase = job::phase::ended;
            answer(index, attempt_result::timed_out);
            continue;
        }
        begin(index);
    }
}

void world::answer(std::uint32_t index, attempt_result outcome)
{
    auto const& it = jobs_[index];
    auto const delay =
        where_.delay(where_.entry_zone[it.entry], where_.upstreams[it.upstream].zone);
    after(delay, [this, index, outcome] { policy_->on_answer(index, outcome); });
}

void world::cancel(std::uint32_t index)
{
    auto const& at = where_.upstreams[jobs_[index].upstream];
    auto const delay = where_.delay(where_.entry_zone[jobs_[index].entry], at.zone);
    after(delay,
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
                  answer(index, attempt_result::cancelled_before_start);
              }
          });
}

void world::end_request(std::uint32_t request, request_end end)
{
    auto& it = results_[request];
    if (it.end == request_end::open)
    {
        it = {end, now_ - arrivals_[request].at};
    }
}

void world::report_loads()
{
    for (std::uint32_t n = 0; n < upstreams_.size(); ++n)
    {
        auto const load =
            static_cast<std::uint32_t>(upstreams_[n].running.size() + upstreams_[n].queue.size());
        if (zone_alive(where_.upstreams[n].zone))
        {
            after(report_lag, [this, n, load] { policy_->on_load_report(n, load); });
        }
    }
    if (now_ < what_.end)
    {
        after(report_interval, [this] { report_loads(); });
    }
}

void world::count_move(std::uint32_t from_zone, std::uint32_t to_zone)
{
    auto const key = std::pair(where_.region_of_zone[from_zone], where_.region_of_zone[to_zone]);
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
    moves_over_cap_ += recent.size() > where_.source.region_cap ? 1 : 0;
}

double world::utilisation() const
{
    std::uint64_t slots = 0;
    for (auto const& it : where_.upstreams)
    {
        slots += it.slots;
    }
    auto const whole =
        static_cast<double>((what_.end - what_.fault_at).count()) * static_cast<double>(slots);
    return static_cast<double>(busy_.count()) / whole;
}

base::duration world::drain_time() const
{
    return std::max(last_in_drained_, what_.fault_at) - what_.fault_at;
}

} // namespace fuchsiaproxy::policy_bench
