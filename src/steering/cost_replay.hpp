#ifndef FUCHSIAPROXY_STEERING_COST_REPLAY_HPP
#define FUCHSIAPROXY_STEERING_COST_REPLAY_HPP

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "director_fixture.hpp"

namespace fuchsiaproxy::steering
{

/// One request of a written arrival pattern.
struct replay_arrival
{
    base::duration at{};
    std::string path;
    std::string object;
    /// Work on a cold object at the usual speed.
    base::duration work{};
};

/// Slots of upstreams, a queue before them, and the objects that are warm. Part of a replay.
struct replay_upstream
{
    struct job
    {
        base::attempt_id attempt;
        std::size_t entry = 0;
        base::duration work{};
        std::string object;
    };
    std::uint32_t running = 0;
    std::deque<job> queue;
    std::list<std::string> warm;
};

/// What a replay showed.
struct replay_result
{
    std::size_t requests = 0;
    std::size_t on_time = 0;
    std::size_t hedges = 0;
    std::size_t hedges_won = 0;
    std::map<std::string, std::pair<std::size_t, std::size_t>> by_path;

    double share() const
    {
        return static_cast<double>(on_time) / static_cast<double>(requests);
    }
    double share_of(std::string const& path) const
    {
        auto const it = by_path.at(path);
        return static_cast<double>(it.second) / static_cast<double>(it.first);
    }
};

/// Plays a written arrival pattern against the directors of a few entries that exchange loads.
class cost_replay
{
public:
    director_settings settings;
    std::size_t entries = 4;
    std::size_t upstreams = 12;
    std::uint32_t slots = 4;
    std::size_t warm_objects = 17;
    /// Factor on the work of an upstream at a time.
    std::function<double(std::size_t, base::duration)> speed = [](std::size_t, base::duration)
    { return 1.0; };
    /// Whether the answers of upstreams state their service time.
    bool reports = true;
    /// Requests that arrive before this time are not counted.
    base::duration counted_from{};
    /// When all upstreams forget their objects.
    base::duration cold_at{};

    replay_result run(configuration const& used, std::vector<replay_arrival> const& arrivals,
                      std::uint64_t seed)
    {
        now_ = base::time_point(1h);
        random_.seed(seed);
        start(used, seed);
        auto const begin = now_;
        for (auto const& it : arrivals)
        {
            at(begin + it.at, [this, &it, begin] { arrive(it, begin); });
        }
        auto const end = begin + arrivals.back().at + 10s;
        for (auto when = begin; when < end; when += 100ms)
        {
            at(when, [this] { exchange_loads(); });
        }
        at(begin + cold_at,
           [this]
           {
               for (auto& it : fakes_)
               {
                   it.warm.clear();
               }
           });
        begin_ = begin;
        while (!events_.empty() && events_.top().when < end)
        {
            auto const next = events_.top();
            events_.pop();
            now_ = next.when;
            auto call = std::move(calls_[next.order]);
            calls_.erase(next.order);
            call();
        }
        for (auto const& it : directors_)
        {
            result_.hedges += it->counters().hedges;
            result_.hedges_won += it->counters().hedges_won;
        }
        return result_;
    }

private:
    struct event
    {
        base::time_point when;
        std::uint64_t order;

        bool operator<(event const& other) const
        {
            return std::pair(other.when, other.order) < std::pair(when, order);
        }
    };
    struct open_request
    {
        replay_arrival const* it;
        base::time_point arrived;
        base::duration goal;
        bool counted;
    };
    using request_key = std::pair<std::size_t, base::local_request_id>;

    void at(base::time_point when, std::function<void()> call)
    {
        events_.push({when, ++order_});
        calls_.emplace(order_, std::move(call));
    }

    void start(configuration const& used, std::uint64_t seed)
    {
        result_ = {};
        goals_.clear();
        for (auto const& it : used.routes)
        {
            goals_["/" + it.name + "/"] = it.latency_goal;
        }
        directors_.clear();
        fakes_.assign(upstreams, {});
        entries_listed listed;
        for (std::size_t n = 0; n < entries; ++n)
        {
            auto own = identity();
            own.id = base::instance_id("e" + std::to_string(n + 1));
            directors_.push_back(std::make_unique<director>(settings, own, seed + n));
            listed.all.push_back({own.id, own.zone, own.region, "", {}});
        }
        upstreams_listed all;
        for (std::size_t n = 0; n < upstreams; ++n)
        {
            all.all.push_back(upstream("u" + std::to_string(n + 1)));
            all.all.back().slots = slots;
        }
        auto const shared = std::make_shared<configuration const>(used);
        for (auto const& it : directors_)
        {
            director_actions out;
            it->on_control(listed, now_, out);
            it->on_control(all, now_, out);
            it->on_control(configuration_accepted{shared}, now_, out);
        }
    }

    void arrive(replay_arrival const& it, base::time_point begin)
    {
        auto const entry = random_() % entries;
        arrived_request made;
        made.id = base::local_request_id(++last_request_);
        made.host = "h.example";
        made.target = it.path;
        made.affinity_key = it.object;
        auto const counted = now_ - begin >= counted_from;
        open_[{entry, made.id}] = {&it, now_, goals_.at(it.path), counted};
        result_.requests += counted ? 1 : 0;
        result_.by_path[it.path].first += counted ? 1 : 0;
        director_actions out;
        directors_[entry]->on_request(made, now_, out);
        perform(entry, out);
    }

    void perform(std::size_t entry, director_actions const& out)
    {
        for (auto const& one : out)
        {
            if (auto const* const started = std::get_if<start_attempt>(&one))
            {
                send(entry, *started);
            }
            else if (auto const* const cancelled = std::get_if<cancel_attempt>(&one))
            {
                cancel(entry, cancelled->attempt);
            }
            else if (auto const* const failed = std::get_if<answer_error>(&one))
            {
                open_.erase({entry, failed->request});
            }
        }
        auto const next = directors_[entry]->next_wakeup();
        if (next != base::time_point::max())
        {
            at(std::max(next, now_), [this, entry] { tick(entry); });
        }
    }

    void tick(std::size_t entry)
    {
        if (directors_[entry]->next_wakeup() > now_)
        {
            return;
        }
        director_actions out;
        directors_[entry]->tick(now_, out);
        perform(entry, out);
    }

    void send(std::size_t entry, start_attempt const& it)
    {
        auto const which = std::stoul(it.upstream.value().substr(1)) - 1;
        auto const* const request = open_.at({entry, it.request}).it;
        attempts_[{entry, it.attempt}] = {it.request, which};
        replay_upstream::job const job{it.attempt, entry, request->work, request->object};
        auto& fake = fakes_[which];
        at(it.deadline,
           [this, entry, id = it.attempt] { end(entry, id, ended(attempt_result::timed_out)); });
        if (fake.running < slots)
        {
            begin_work(which, job);
        }
        else if (fake.queue.size() < 3 * slots)
        {
            fake.queue.push_back(job);
        }
        else
        {
            at(now_ + 1ms, [this, entry, id = it.attempt]
               { end(entry, id, ended(attempt_result::shed, 503)); });
        }
    }

    void begin_work(std::size_t which, replay_upstream::job const& job)
    {
        auto& fake = fakes_[which];
        ++fake.running;
        auto const found = std::find(fake.warm.begin(), fake.warm.end(), job.object);
        auto const is_warm = found != fake.warm.end();
        if (is_warm)
        {
            fake.warm.erase(found);
        }
        fake.warm.push_front(job.object);
        if (fake.warm.size() > warm_objects)
        {
            fake.warm.pop_back();
        }
        std::normal_distribution<double> noise(1, 0.15);
        auto const factor =
            (is_warm ? 0.3 : 1.0) * std::max(0.3, noise(random_)) * speed(which, now_ - begin_);
        auto const work = std::chrono::duration<double>(job.work) * factor;
        at(now_ + std::chrono::duration_cast<base::duration>(work),
           [this, which, job] { end_work(which, job); });
    }

    void end_work(std::size_t which, replay_upstream::job const& job)
    {
        auto& fake = fakes_[which];
        --fake.running;
        if (!fake.queue.empty())
        {
            auto const next = fake.queue.front();
            fake.queue.pop_front();
            begin_work(which, next);
        }
        auto const found = attempts_.find({job.entry, job.attempt});
        if (found == attempts_.end())
        {
            return;
        }
        director_actions out;
        auto const accepted = directors_[job.entry]->on_attempt_head(job.attempt, 200, now_, out);
        auto const request = open_.find({job.entry, found->second.first});
        if (accepted && request != open_.end())
        {
            auto const in_time = now_ - request->second.arrived <= request->second.goal;
            auto const counts = in_time && request->second.counted;
            result_.on_time += counts ? 1 : 0;
            result_.by_path[request->second.it->path].second += counts ? 1 : 0;
            auto const id = found->second.first;
            for (auto const& [key, value] : attempts_)
            {
                if (key.first == job.entry && key.second != job.attempt && value.first == id)
                {
                    at(now_,
                       [this, entry = key.first, other = key.second] { cancel(entry, other); });
                }
            }
            open_.erase(request);
        }
        auto report = ended(attempt_result::completed, 200);
        if (reports)
        {
            auto const percent = 100 * speed(which, now_ - begin_);
            report.load =
                base::load_report{fake.running, static_cast<std::uint32_t>(fake.queue.size()),
                                  slots, static_cast<std::uint32_t>(percent)};
        }
        end(job.entry, job.attempt, report);
        perform(job.entry, out);
    }

    /// Work that has begun goes on; work that waits is dropped.
    void cancel(std::size_t entry, base::attempt_id id)
    {
        auto const found = attempts_.find({entry, id});
        if (found == attempts_.end())
        {
            return;
        }
        auto& queue = fakes_[found->second.second].queue;
        queue.erase(std::remove_if(queue.begin(), queue.end(),
                                   [&](replay_upstream::job const& it)
                                   { return it.entry == entry && it.attempt == id; }),
                    queue.end());
        end(entry, id, ended(attempt_result::cancelled));
    }

    void end(std::size_t entry, base::attempt_id id, attempt_end const& how)
    {
        if (attempts_.erase({entry, id}) == 0)
        {
            return;
        }
        director_actions out;
        directors_[entry]->on_attempt_finished(id, how, now_, out);
        perform(entry, out);
    }

    void exchange_loads()
    {
        for (std::size_t from = 0; from < entries; ++from)
        {
            auto const load = directors_[from]->load(now_);
            for (auto const& to : directors_)
            {
                director_actions out;
                to->on_peer_load(load, now_, out);
            }
        }
    }

    std::vector<std::unique_ptr<director>> directors_;
    std::vector<replay_upstream> fakes_;
    std::map<std::string, base::duration> goals_;
    std::map<request_key, open_request> open_;
    /// Request and upstream of each open attempt, by entry and attempt.
    std::map<std::pair<std::size_t, base::attempt_id>,
             std::pair<base::local_request_id, std::size_t>>
        attempts_;
    std::priority_queue<event> events_;
    std::unordered_map<std::uint64_t, std::function<void()>> calls_;
    std::uint64_t order_ = 0;
    std::uint64_t last_request_ = 0;
    base::time_point now_{1h};
    base::time_point begin_{1h};
    std::mt19937_64 random_;
    replay_result result_;
};

} // namespace fuchsiaproxy::steering

#endif
