#ifndef FUCHSIAPROXY_POLICY_BENCH_BASELINES_HPP
#define FUCHSIAPROXY_POLICY_BENCH_BASELINES_HPP

#include <memory>
#include <vector>

#include "simulation.hpp"

namespace fuchsiaproxy::policy_bench
{

enum class baseline_kind
{
    round_robin,
    random,
    two_choices,
    least_reported
};

/// Creates a reference policy to compare the dispatcher with. It sends each request on arrival, so
/// that requests queue at the upstream and never at the entry. It chooses among the upstreams of
/// the entry's region that are not detected as lost or drained, and among those of the other
/// regions when there are none. It avoids an upstream for 5 s after a failed connection and retries
/// the request once on another one.
std::unique_ptr<policy> make_baseline(simulation& sim, baseline_kind kind);

} // namespace fuchsiaproxy::policy_bench

#endif
