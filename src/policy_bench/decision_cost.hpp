#ifndef FUCHSIAPROXY_POLICY_BENCH_DECISION_COST_HPP
#define FUCHSIAPROXY_POLICY_BENCH_DECISION_COST_HPP

#include <nlohmann/json.hpp>

namespace fuchsiaproxy::policy_bench
{

/// Prints the time and the allocations of a decision by number of upstreams and entries. The times
/// are those of the wall clock.
nlohmann::json print_decision_costs();

} // namespace fuchsiaproxy::policy_bench

#endif
