#ifndef FUCHSIAPROXY_POLICY_BENCH_BASELINES_HPP
#define FUCHSIAPROXY_POLICY_BENCH_BASELINES_HPP

#include <memory>
#include <vector>

#include "world.hpp"

namespace fuchsiaproxy::policy_bench
{

enum class baseline_kind
{
    round_robin,
    random,
    two_choices,
    least_reported
};

/// A baseline sends each request at once; it queues at the upstream. It chooses among the upstreams
/// of the entry's region that it knows to be alive and not drained, or among all others when there
/// are none. It avoids an upstream for 5 s after a failed connection and retries once elsewhere.
std::unique_ptr<policy> make_baseline(world& in, baseline_kind kind);

} // namespace fuchsiaproxy::policy_bench

#endif
