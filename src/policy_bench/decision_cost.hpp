#ifndef FUCHSIAPROXY_POLICY_BENCH_DECISION_COST_HPP
#define FUCHSIAPROXY_POLICY_BENCH_DECISION_COST_HPP

#include <nlohmann/json.hpp>

namespace fuchsiaproxy::policy_bench
{

/// Measures and prints the time and the heap allocations of a routing decision for several numbers
/// of upstreams and entries, and returns the same figures as JSON. Times are wall-clock times.
nlohmann::json print_decision_costs();

} // namespace fuchsiaproxy::policy_bench

#endif
