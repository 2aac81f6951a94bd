#ifndef FUCHSIAPROXY_ALLOWANCES_FLEET_PLAY_HPP
#define FUCHSIAPROXY_ALLOWANCES_FLEET_PLAY_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fuchsiaproxy/allowances/keeper.hpp"

namespace fuchsiaproxy::allowances
{

/// Simulation of many entries, their datagrams and the callers of one tenant, for tests. Time is in
/// milliseconds.
class fleet_play
{
public:
    static constexpr int step_ms = 10;
    static constexpr int lease_ms = 3800;
    static constexpr int list_delay_ms = 700;
    static constexpr int window_ms = 5000;

    struct entry
    {
        base::instance_id id;
        std::unique_ptr<keeper> decides;
        std::uint64_t sequence = 0;
        /// In the store's list from the first time until the second one.
        int listed_at = 0;
        int unlisted_at = 1 << 30;
        int started_at = 0;
        bool is_up = false;
        bool is_frozen = false;
        bool clock_stops = false;
        bool requests_first = false;
        int clock_lost = 0;
        std::size_t region = 0;
        /// Share of the callers.
        double weight = 1;
        double limit = 0;
        int waiting_requests = 0;
        std::vector<std::pair<std::size_t, usage_report>> waiting_datagrams;
        std::uint64_t refused = 0;
        /// The entries that it was last told of.
        std::vector<bool> listed;
    };

    struct admission
    {
        int at;
        bool ran;
    };

    fleet_play(std::uint64_t seed, std::size_t entries, double limit, double limit_burst)
        : random(seed), rate(limit), burst(limit_burst), demand(limit / 1.6), all(entries)
    {
        for (std::size_t n = 0; n < entries; ++n)
        {
            all[n].id = base::instance_id("e" + std::to_string(n));
            all[n].region = n % regions;
            all[n].limit = limit;
        }
        auto const in_region = (entries + regions - 1) / regions;
        interval_ms = 100 * static_cast<int>(std::max<std::size_t>(1, (in_region - 1) / 10));
        link_is_cut = [](std::size_t, std::size_t) { return false; };
    }

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random);
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    }

    void start(std::size_t n)
    {
        auto& it = all[n];
        it.decides = std::make_unique<keeper>(it.id);
        it.sequence = first_sequence(static_cast<std::uint64_t>(1'000'000 + now));
        it.is_up = true;
        it.is_frozen = false;
        it.clock_lost = 0;
        it.waiting_datagrams.clear();
        it.waiting_requests = 0;
        it.started_at = now;
        it.listed.clear();
        if (it.unlisted_at < now + list_delay_ms || it.listed_at == 0)
        {
            it.listed_at = now + (now > 0 ? list_delay_ms : 0);
        }
        it.unlisted_at = 1 << 30;
        apply_limit(it);
        tell_peers(n);
    }

    void kill(std::size_t n)
    {
        all[n].is_up = false;
        all[n].decides.reset();
        all[n].unlisted_at = now + lease_ms + list_delay_ms;
    }

    void freeze(std::size_t n, bool clock_stops, bool requests_first)
    {
        all[n].is_frozen = all[n].is_up;
        all[n].clock_stops = clock_stops;
        all[n].requests_first = requests_first;
    }

    void wake(std::size_t n)
    {
        auto& it = all[n];
        if (!it.is_up || !it.is_frozen)
        {
            return;
        }
        it.is_frozen = false;
        apply_limit(it);
        last_applied_at = now;
        auto const serve = [&]
        {
            for (auto& held = it.waiting_requests; held > 0; --held)
            {
                request(n);
            }
        };
        if (it.requests_first)
        {
            serve();
        }
        for (auto const& [from, report] : it.waiting_datagrams)
        {
            it.decides->on_report(all[from].id, report, time_of(it));
        }
        it.waiting_datagrams.clear();
        serve();
    }

    void apply_limit(entry& it)
    {
        access::tenant declared;
        declared.id = tenant;
        declared.requests_per_s = it.limit;
        declared.burst = burst * it.limit / rate;
        it.decides->apply({declared}, {std::chrono::milliseconds(window_ms), 0.1, 20}, time_of(it));
    }

    base::time_point time_of(entry const& it) const
    {
        return base::time_point(std::chrono::milliseconds(now - it.clock_lost));
    }

    void run_until(int end)
    {
        for (; now < end; now += step_ms)
        {
            step();
        }
    }

    /// Returns the largest number of requests that ran in a window that starts at `from` or later,
    /// divided by the bound for `limit`.
    double worst(double limit, int from = 0) const
    {
        auto const scaled_burst = burst * limit / rate;
        auto const bound = (limit * window_ms / 1000 + scaled_burst) * 1.1 + 20;
        std::size_t most = 0;
        std::vector<int> ran;
        for (auto const& it : admissions)
        {
            if (it.ran && it.at >= from)
            {
                ran.push_back(it.at);
            }
        }
        std::size_t first = 0;
        for (std::size_t n = 0; n < ran.size(); ++n)
        {
            while (ran[n] - ran[first] >= window_ms)
            {
                ++first;
            }
            most = std::max(most, n + 1 - first);
        }
        return static_cast<double>(most) / bound;
    }

    std::size_t admitted_between(int from, int to) const
    {
        return static_cast<std::size_t>(std::count_if(admissions.begin(), admissions.end(),
                                                      [&](auto const& it)
                                                      { return it.at >= from && it.at < to; }));
    }

    static constexpr std::size_t regions = 3;

    std::mt19937_64 random;
    double rate;
    double burst;
    /// Requests a second of all callers.
    double demand;
    int now = 0;
    int interval_ms = 100;
    double loss = 0;
    double doubling = 0;
    /// Longest additional delay of a datagram.
    int jitter_ms = 0;
    double not_run = 0;
    std::vector<entry> all;
    /// Whether datagrams from the first entry to the second one are lost.
    std::function<bool(std::size_t, std::size_t)> link_is_cut;
    std::vector<admission> admissions;
    /// Time at which a woken entry last applied a limit.
    int last_applied_at = 0;
    std::size_t arrived = 0;
    std::size_t refused = 0;
    std::function<void()> each_step = [] {};

private:
    struct datagram
    {
        std::size_t from;
        std::size_t to;
        std::shared_ptr<usage_report> report;
    };
    struct return_of_token
    {
        std::size_t entry;
        std::uint64_t process;
    };

    void step()
    {
        each_step();
        for (auto& it : all)
        {
            it.clock_lost += it.is_up && it.is_frozen && it.clock_stops ? step_ms : 0;
        }
        if (now % 100 == 0)
        {
            for (std::size_t n = 0; n < all.size(); ++n)
            {
                if (all[n].is_up && !all[n].is_frozen)
                {
                    tell_peers(n);
                }
            }
        }
        deliver();
        for (std::size_t n = 0; n < all.size(); ++n)
        {
            auto const phase = static_cast<int>(n) * step_ms % interval_ms;
            if (all[n].is_up && !all[n].is_frozen && now % interval_ms == phase)
            {
                send(n, now / interval_ms % 2 == 0);
            }
        }
        return_tokens();
        arrive();
    }

    void tell_peers(std::size_t n)
    {
        std::vector<bool> listed(all.size());
        for (std::size_t other = 0; other < all.size(); ++other)
        {
            listed[other] = other != n && all[other].listed_at <= now &&
                            now < all[other].unlisted_at &&
                            (all[other].is_up || all[other].unlisted_at < 1 << 30);
        }
        if (listed == all[n].listed)
        {
            return;
        }
        all[n].listed = listed;
        std::vector<live_peer> peers;
        for (std::size_t other = 0; other < all.size(); ++other)
        {
            if (listed[other])
            {
                auto const factor = all[other].region == all[n].region ? 1 : 2;
                peers.push_back({all[other].id, std::chrono::milliseconds(factor * interval_ms)});
            }
        }
        all[n].decides->set_live_peers(peers, time_of(all[n]));
    }

    void send(std::size_t n, bool to_all)
    {
        auto const report = std::make_shared<usage_report>(all[n].decides->report(time_of(all[n])));
        report->sequence = ++all[n].sequence;
        for (std::size_t to = 0; to < all.size(); ++to)
        {
            if (to == n || !all[to].is_up || (all[to].region != all[n].region && !to_all) ||
                link_is_cut(n, to))
            {
                continue;
            }
            auto const copies = doubling > 0 && uniform(0, 1) < doubling ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
            {
                if (loss > 0 && uniform(0, 1) < loss)
                {
                    continue;
                }
                auto const extra = jitter_ms > 0 ? static_cast<int>(uniform(0, jitter_ms)) : 0;
                auto const delay = (all[to].region == all[n].region ? 10 : 20) + extra;
                under_way[(now + delay) / step_ms * step_ms].push_back({n, to, report});
            }
        }
    }

    void deliver()
    {
        while (!under_way.empty() && under_way.begin()->first <= now)
        {
            for (auto const& it : under_way.begin()->second)
            {
                auto& to = all[it.to];
                if (to.is_up && to.is_frozen)
                {
                    to.waiting_datagrams.emplace_back(it.from, *it.report);
                }
                else if (to.is_up)
                {
                    to.decides->on_report(all[it.from].id, *it.report, time_of(to));
                }
            }
            under_way.erase(under_way.begin());
        }
    }

    void return_tokens()
    {
        while (!returns.empty() && returns.begin()->first <= now)
        {
            for (auto const& it : returns.begin()->second)
            {
                auto& at = all[it.entry];
                if (at.is_up && static_cast<std::uint64_t>(at.started_at) == it.process)
                {
                    at.decides->give_back(tenant);
                }
            }
            returns.erase(returns.begin());
        }
    }

    void arrive()
    {
        std::vector<double> weights;
        weights.reserve(all.size());
        double total = 0;
        for (auto const& it : all)
        {
            total += it.is_up ? it.weight : 0;
            weights.push_back(total);
        }
        if (total <= 0)
        {
            return;
        }
        auto count = std::poisson_distribution<int>(demand * step_ms / 1000)(random);
        for (; count > 0; --count)
        {
            auto const at = std::upper_bound(weights.begin(), weights.end(), uniform(0, total));
            auto const n = std::min<std::size_t>(at - weights.begin(), all.size() - 1);
            if (all[n].is_frozen)
            {
                // Callers of a frozen entry wait for about a second.
                all[n].waiting_requests =
                    std::min(all[n].waiting_requests + 1,
                             1 + static_cast<int>(demand * all[n].weight / total));
            }
            else if (all[n].is_up)
            {
                request(n);
            }
        }
    }

    void request(std::size_t n)
    {
        ++arrived;
        auto& it = all[n];
        if (!it.decides->take(tenant, time_of(it)).admitted)
        {
            ++it.refused;
            ++refused;
            return;
        }
        auto const ran = not_run <= 0 || uniform(0, 1) >= not_run;
        admissions.push_back({now, ran});
        if (!ran)
        {
            auto const after = static_cast<int>(uniform(50, 800)) / step_ms * step_ms;
            returns[now + after].push_back({n, static_cast<std::uint64_t>(it.started_at)});
        }
    }

    base::tenant_id const tenant{"t"};
    std::map<int, std::vector<datagram>> under_way;
    std::map<int, std::vector<return_of_token>> returns;
};

} // namespace fuchsiaproxy::allowances

#endif
