#include <cstdio>
#include <cstring>
#include <fstream>
#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

#include "decision_cost.hpp"
#include "targets.hpp"

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::policy_bench;

namespace
{

struct options
{
    std::string json_file;
    std::uint64_t seed = 1;
    bool ablation = true;
    bool cost = true;
    bool policies = true;
};

nlohmann::json to_json(measurement const& it)
{
    return {{"requests", it.requests},
            {"short_p50_ms", it.short_p50_ms},
            {"short_p99_ms", it.short_p99_ms},
            {"weight_on_time", it.weight_on_time},
            {"weight_of_achievable", it.weight_of_achievable},
            {"refused", it.refused_share},
            {"failed", it.failed_share},
            {"hedges", it.hedge_share},
            {"retries", it.retry_share},
            {"max_slot_use", it.max_slot_use},
            {"moves_over_cap", it.moves_over_cap},
            {"utilisation", it.utilisation},
            {"drain_ms", it.drain_ms},
            {"messages_per_request", it.messages},
            {"ejections", it.ejections}};
}

void print_results(std::vector<run_result> const& results)
{
    std::printf("%-10s %5s %-14s %8s %8s %8s %8s %8s %8s %7s %7s %6s %5s %8s %5s\n", "fault",
                "load", "policy", "p50 ms", "p99 ms", "on time", "of poss.", "refused", "failed",
                "hedges", "retries", "slots", "caps", "drain ms", "msgs");
    for (auto const& it : results)
    {
        auto const& m = it.result;
        auto const label =
            it.stragglers ? std::string(fault_name(it.injected_fault)) : "no stragg.";
        std::printf(
            "%-10s %4.0f%% %-14s %8.1f %8.1f %8.4f %8.4f %8.4f %8.4f %7.4f %7.4f %6.2f %5llu "
            "%8.0f %5.2f\n",
            label.c_str(), it.load * 100, std::string(policy_name(it.policy)).c_str(),
            m.short_p50_ms, m.short_p99_ms, m.weight_on_time, m.weight_of_achievable,
            m.refused_share, m.failed_share, m.hedge_share, m.retry_share, m.max_slot_use,
            static_cast<unsigned long long>(m.moves_over_cap), m.drain_ms, m.messages);
    }
}

/// Prints, for each policy, the highest load at which 99 % of the weight is served on time. The
/// load rises in steps of 5 % from 50 % and the search ends at the first load that misses it.
void print_headroom(deployment const& setup, std::uint64_t seed)
{
    constexpr double on_time_threshold = 0.99;
    for (std::size_t policy = 0; policy < policy_count; ++policy)
    {
        int highest = 0;
        for (int load = 50; load <= 120; load += 5)
        {
            scenario it;
            it.load = load / 100.0;
            it.seed = seed;
            if (measure(setup, it, policy).weight_on_time < on_time_threshold)
            {
                break;
            }
            highest = load;
        }
        std::printf("headroom: %-14s serves 99 %% of the weight on time up to %d %% of capacity\n",
                    std::string(policy_name(policy)).c_str(), highest);
    }
}

struct ablation_switch
{
    char const* name;
    bool routing::policy_switches::*flag;
};

constexpr ablation_switch ablation_switches[] = {
    {"hedging", &routing::policy_switches::hedging},
    {"hedge cut", &routing::policy_switches::cancel_slow_hedges},
    {"hedge when idle", &routing::policy_switches::hedge_when_idle},
    {"outliers", &routing::policy_switches::outliers},
    {"reserve for short", &routing::policy_switches::reserve_for_short},
    {"early refusal", &routing::policy_switches::early_refusal},
    {"weight per work", &routing::policy_switches::weight_per_service_time},
    {"deadline first", &routing::policy_switches::deadline_first},
    {"loans", &routing::policy_switches::loans},
    {"warming", &routing::policy_switches::warming},
    {"measured cost", &routing::policy_switches::measured_cost},
    {"retries", &routing::policy_switches::retries},
};

struct ablation_case
{
    fault injected_fault;
    double load;
};

constexpr ablation_case ablation_cases[] = {
    {fault::none, 0.8},           {fault::none, 0.95},           {fault::none, 1.2},
    {fault::slow_upstreams, 0.5}, {fault::slow_upstreams, 0.95}, {fault::zone_lost, 0.5},
    {fault::shift, 0.8}};

void print_ablation_row(deployment const& setup, std::string const& name,
                        routing::dispatcher_settings const& settings, std::uint64_t seed,
                        nlohmann::json& out)
{
    std::printf("%-24s", name.c_str());
    for (auto const& it : ablation_cases)
    {
        scenario s;
        s.injected_fault = it.injected_fault;
        s.load = it.load;
        s.seed = seed;
        auto const m = measure(setup, s, dispatcher_index, settings);
        std::printf("  %6.1f %.4f", m.short_p99_ms, m.weight_on_time);
        out[name].push_back(to_json(m));
    }
    std::printf("\n");
}

/// Prints p99 of short requests and the weight on time with the default settings, then with each
/// switch of the policy inverted in turn.
void print_ablation(deployment const& setup, std::uint64_t seed, nlohmann::json& out)
{
    std::printf("\nablation: p99 of short work in ms, weight on time\n%-24s", "");
    for (auto const& it : ablation_cases)
    {
        std::printf("  %-8.8s %3.0f%%", std::string(fault_name(it.injected_fault)).c_str(),
                    it.load * 100);
    }
    std::printf("\n");
    print_ablation_row(setup, "all parts", {}, seed, out);
    for (auto const& it : ablation_switches)
    {
        routing::dispatcher_settings settings;
        settings.switches.*it.flag = !(settings.switches.*it.flag);
        auto const name =
            (settings.switches.*it.flag ? "with " : "without ") + std::string(it.name);
        print_ablation_row(setup, name, settings, seed, out);
    }
}

nlohmann::json run_bench(deployment const& setup, options const& chosen)
{
    std::printf("\n== %s, seed %llu\n", setup.name.c_str(),
                static_cast<unsigned long long>(chosen.seed));
    nlohmann::json out;
    auto const results = run_scenarios(setup, true, chosen.seed);
    print_results(results);
    for (auto const& it : results)
    {
        auto one = to_json(it.result);
        one["fault"] = fault_name(it.injected_fault);
        one["load"] = it.load;
        one["stragglers"] = it.stragglers;
        one["policy"] = policy_name(it.policy);
        out["runs"].push_back(std::move(one));
    }
    print_headroom(setup, chosen.seed);
    for (auto const& it : evaluate(results))
    {
        std::printf("%s  %s: %.5g, target %s %.5g\n", it.passed() ? "met   " : "MISSED",
                    it.target.c_str(), it.value, it.at_least ? ">=" : "<=", it.bound);
        out["targets"].push_back({{"target", it.target},
                                  {"value", it.value},
                                  {"bound", it.bound},
                                  {"met", it.passed()}});
    }
    if (chosen.ablation)
    {
        print_ablation(setup, chosen.seed, out["ablation"]);
    }
    return out;
}

bool parse_options(int argc, char** argv, options& to)
{
    for (int n = 1; n < argc; ++n)
    {
        std::string const it = argv[n];
        if (it == "--json" && n + 1 < argc)
        {
            to.json_file = argv[++n];
        }
        else if (it == "--seed" && n + 1 < argc)
        {
            to.seed = std::stoull(argv[++n]);
        }
        else if (it == "--no-ablation")
        {
            to.ablation = false;
        }
        else if (it == "--only-cost")
        {
            to.policies = false;
        }
        else if (it == "--no-cost")
        {
            to.cost = false;
        }
        else
        {
            return false;
        }
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    options chosen;
    if (!parse_options(argc, argv, chosen))
    {
        std::cerr << "usage: policy_bench [--json FILE] [--seed N] [--no-ablation] [--no-cost]\n"
                     "                    [--only-cost]\n";
        return 2;
    }
    nlohmann::json out;
    for (auto const& setup : {varjuvork(), pamplemousses()})
    {
        if (!chosen.policies)
        {
            break;
        }
        out[setup.name] = run_bench(setup, chosen);
    }
    if (chosen.cost)
    {
        out["decision_cost"] = print_decision_costs();
    }
    if (!chosen.json_file.empty())
    {
        std::ofstream file(chosen.json_file);
        file << out.dump(1) << '\n';
        if (!file)
        {
            std::cerr << "cannot write " << chosen.json_file << '\n';
            return 1;
        }
    }
    return 0;
}
