#ifndef FUCHSIAPROXY_POLICY_BENCH_TARGETS_HPP
#define FUCHSIAPROXY_POLICY_BENCH_TARGETS_HPP

#include <array>
#include <string>
#include <vector>

#include "run.hpp"

namespace fuchsiaproxy::policy_bench
{

constexpr std::array<double, 4> loads{0.5, 0.8, 0.95, 1.2};
constexpr std::array<fault, 5> faults{fault::none, fault::slow_upstreams, fault::zone_lost,
                                      fault::drain, fault::shift};

/// One run with its result.
struct row
{
    double load = 0;
    fault what = fault::none;
    bool stragglers = true;
    std::size_t policy = 0;
    measurement result;
};

/// Result of one target: passed when `value` is at most `bound`, or at least if `at_least`.
struct verdict
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

/// Runs all policies through the scenarios that the targets are about, or through all of them.
std::vector<row> run_all(deployment const& where, bool every_scenario, std::uint64_t seed = 1);

/// Evaluates the targets of the policy. Precondition: `rows` come from `run_all`.
std::vector<verdict> evaluate(std::vector<row> const& rows);

} // namespace fuchsiaproxy::policy_bench

#endif
