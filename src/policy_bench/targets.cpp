#include "targets.hpp"

#include <algorithm>
#include <cmath>

namespace fuchsiaproxy::policy_bench
{

namespace
{

measurement const& find(std::vector<row> const& rows, double load, fault what, bool stragglers,
                        std::size_t policy)
{
    auto const it = std::find_if(rows.begin(), rows.end(),
                                 [&](auto const& r) {
                                     return r.load == load && r.what == what &&
                                            r.stragglers == stragglers && r.policy == policy;
                                 });
    return it->result;
}

std::string percent(double load)
{
    return std::to_string(std::lround(load * 100)) + " %";
}

void add_no_loss(std::vector<row> const& rows, double load, fault what,
                 std::vector<verdict>& verdicts)
{
    double best = 0;
    for (std::size_t n = 0; n < dispatcher_index; ++n)
    {
        best = std::max(best, find(rows, load, what, true, n).weight_on_time);
    }
    verdicts.push_back({"weight on time, " + std::string(fault_name(what)) + ", " + percent(load),
                        find(rows, load, what, true, dispatcher_index).weight_on_time, best, true});
}

} // namespace

std::vector<row> run_all(deployment const& where, bool every_scenario, std::uint64_t seed)
{
    std::vector<row> rows;
    auto const add = [&](double load, fault what, bool stragglers, bool baselines)
    {
        scenario it;
        it.load = load;
        it.what = what;
        it.stragglers = stragglers;
        it.seed = seed;
        for (std::size_t n = baselines ? 0 : dispatcher_index; n < policy_count; ++n)
        {
            rows.push_back({load, what, stragglers, n, measure(where, it, n)});
        }
    };
    for (auto const what : faults)
    {
        for (double const load : loads)
        {
            bool const compared = what == fault::none || what == fault::slow_upstreams;
            if (every_scenario || compared || load == 0.8)
            {
                add(load, what, true, every_scenario || compared);
            }
        }
    }
    add(0.8, fault::none, false, every_scenario);
    return rows;
}

std::vector<verdict> evaluate(std::vector<row> const& rows)
{
    double slots = 0;
    double over_cap = 0;
    double extra = 0;
    for (auto const& it : rows)
    {
        if (it.policy == dispatcher_index)
        {
            slots = std::max(slots, it.result.max_slot_use);
            over_cap += static_cast<double>(it.result.moves_over_cap);
            extra = std::max(extra, it.result.hedge_share + it.result.retry_share);
        }
    }
    std::vector<verdict> verdicts{{"slots in use over slots", slots, 1, false},
                                  {"moves over caps", over_cap, 0, false},
                                  {"hedges and retries per request", extra, 0.05, false}};

    double best_p99 = find(rows, 0.95, fault::slow_upstreams, true, 0).short_p99_ms;
    for (std::size_t n = 1; n < dispatcher_index; ++n)
    {
        best_p99 =
            std::min(best_p99, find(rows, 0.95, fault::slow_upstreams, true, n).short_p99_ms);
    }
    verdicts.push_back(
        {"p99 of short work, two slowed, 95 %, in ms, against half of the best baseline",
         find(rows, 0.95, fault::slow_upstreams, true, dispatcher_index).short_p99_ms, best_p99 / 2,
         false});
    verdicts.push_back({"weight on time of what the capacity allows, 120 %",
                        find(rows, 1.2, fault::none, true, dispatcher_index).weight_of_achievable,
                        0.95, true});
    verdicts.push_back({"p99 of short work with stragglers over without, 80 %",
                        find(rows, 0.8, fault::none, true, dispatcher_index).short_p99_ms /
                            find(rows, 0.8, fault::none, false, dispatcher_index).short_p99_ms,
                        1.5, false});
    for (auto const what : {fault::none, fault::slow_upstreams})
    {
        for (double const load : loads)
        {
            add_no_loss(rows, load, what, verdicts);
        }
    }
    return verdicts;
}

} // namespace fuchsiaproxy::policy_bench
