#include "targets.hpp"

#include <algorithm>
#include <cmath>

namespace fuchsiaproxy::policy_bench
{

namespace
{

measurement const& find_measurement(std::vector<run_result> const& results, double load,
                                    fault injected_fault, bool stragglers, std::size_t policy)
{
    auto const it = std::find_if(results.begin(), results.end(),
                                 [&](auto const& r)
                                 {
                                     return r.load == load && r.injected_fault == injected_fault &&
                                            r.stragglers == stragglers && r.policy == policy;
                                 });
    return it->result;
}

std::string percent(double load)
{
    return std::to_string(std::lround(load * 100)) + " %";
}

void add_baseline_comparison(std::vector<run_result> const& results, double load,
                             fault injected_fault, std::vector<target_result>& target_results)
{
    double best = 0;
    for (std::size_t n = 0; n < dispatcher_index; ++n)
    {
        best =
            std::max(best, find_measurement(results, load, injected_fault, true, n).weight_on_time);
    }
    target_results.push_back(
        {"weight on time, " + std::string(fault_name(injected_fault)) + ", " + percent(load),
         find_measurement(results, load, injected_fault, true, dispatcher_index).weight_on_time,
         best, true});
}

} // namespace

std::vector<run_result> run_scenarios(deployment const& setup, bool every_scenario,
                                      std::uint64_t seed)
{
    std::vector<run_result> results;
    auto const add = [&](double load, fault injected_fault, bool stragglers, bool baselines)
    {
        scenario it;
        it.load = load;
        it.injected_fault = injected_fault;
        it.stragglers = stragglers;
        it.seed = seed;
        for (std::size_t n = baselines ? 0 : dispatcher_index; n < policy_count; ++n)
        {
            results.push_back({load, injected_fault, stragglers, n, measure(setup, it, n)});
        }
    };
    for (auto const injected_fault : faults)
    {
        for (double const load : loads)
        {
            bool const compared =
                injected_fault == fault::none || injected_fault == fault::slow_upstreams;
            if (every_scenario || compared || load == 0.8)
            {
                add(load, injected_fault, true, every_scenario || compared);
            }
        }
    }
    add(0.8, fault::none, false, every_scenario);
    return results;
}

std::vector<target_result> evaluate(std::vector<run_result> const& results)
{
    double slots = 0;
    double over_cap = 0;
    double extra = 0;
    for (auto const& it : results)
    {
        if (it.policy == dispatcher_index)
        {
            slots = std::max(slots, it.result.max_slot_use);
            over_cap += static_cast<double>(it.result.moves_over_cap);
            extra = std::max(extra, it.result.hedge_share + it.result.retry_share);
        }
    }
    std::vector<target_result> target_results{
        {"slots in use over slots", slots, 1, false},
        {"moves over caps", over_cap, 0, false},
        {"hedges and retries per request", extra, 0.05, false}};

    double best_p99 = find_measurement(results, 0.95, fault::slow_upstreams, true, 0).short_p99_ms;
    for (std::size_t n = 1; n < dispatcher_index; ++n)
    {
        best_p99 = std::min(
            best_p99, find_measurement(results, 0.95, fault::slow_upstreams, true, n).short_p99_ms);
    }
    target_results.push_back(
        {"p99 of short work, two slowed, 95 %, in ms, against half of the best baseline",
         find_measurement(results, 0.95, fault::slow_upstreams, true, dispatcher_index)
             .short_p99_ms,
         best_p99 / 2, false});
    target_results.push_back(
        {"weight on time of what the capacity allows, 120 %",
         find_measurement(results, 1.2, fault::none, true, dispatcher_index).weight_of_achievable,
         0.95, true});
    target_results.push_back(
        {"p99 of short work with stragglers over without, 80 %",
         find_measurement(results, 0.8, fault::none, true, dispatcher_index).short_p99_ms /
             find_measurement(results, 0.8, fault::none, false, dispatcher_index).short_p99_ms,
         1.5, false});
    for (auto const injected_fault : {fault::none, fault::slow_upstreams})
    {
        for (double const load : loads)
        {
            add_baseline_comparison(results, load, injected_fault, target_results);
        }
    }
    return target_results;
}

} // namespace fuchsiaproxy::policy_bench
