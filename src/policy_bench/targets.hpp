#ifndef FUCHSIAPROXY_POLICY_BENCH_TARGETS_HPP
#define FUCHSIAPROXY_POLICY_BENCH_TARGETS_HPP

#include <array>
#include <string>
#include <vector>

#include "measurement.hpp"

namespace fuchsiaproxy::policy_bench
{

constexpr std::array<double, 4> loads{0.5, 0.8, 0.95, 1.2};
constexpr std::array<fault, 5> faults{fault::none, fault::slow_upstreams, fault::zone_lost,
                                      fault::drain, fault::shift};

/// Scenario and policy of one run, and what it measured.
struct run_result
{
    double load = 0;
    fault injected_fault = fault::none;
    bool stragglers = true;
    std::size_t policy = 0;
    measurement result;
};

/// Result of checking one target. It passes when `value` is at most `bound`, or, if `at_least` is
/// set, at least `bound`.
struct target_result
{
    std::string target;
    double value = 0;
    double bound = 0;
    bool at_least = false;

    bool passed() const
    {
        return at_least ? value >= bound : value <= bound;
    }
};

/// Runs the scenarios that the targets need, or all of them if `every_scenario` is set. Without it,
/// the baselines run only in the scenarios in which a target compares the dispatcher with them.
std::vector<run_result> run_scenarios(deployment const& setup, bool every_scenario,
                                      std::uint64_t seed = 1);

/// Checks the targets of the dispatcher. Precondition: `results` come from `run_scenarios`.
std::vector<target_result> evaluate(std::vector<run_result> const& results);

} // namespace fuchsiaproxy::policy_bench

#endif
