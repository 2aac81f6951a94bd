#ifndef FUCHSIAPROXY_POLICY_BENCH_MEASUREMENT_HPP
#define FUCHSIAPROXY_POLICY_BENCH_MEASUREMENT_HPP

#include <string>
#include <string_view>
#include <vector>

#include "deployments.hpp"
#include "fuchsiaproxy/routing/settings.hpp"
#include "workload.hpp"

namespace fuchsiaproxy::policy_bench
{

/// Policies are identified by index: the baselines in the order of `baseline_kind`, then the
/// dispatcher.
constexpr std::size_t policy_count = 5;
constexpr std::size_t dispatcher_index = 4;
std::string_view policy_name(std::size_t policy);
std::string_view fault_name(fault injected_fault);

/// Results of one run for one request class.
struct class_measurement
{
    std::string name;
    std::size_t requests = 0;
    double on_time_share = 0;
    double refused_share = 0;
    double failed_share = 0;
    double p50_ms = 0;
    double p99_ms = 0;
};

/// Results of one run, over the requests that arrived after the fault and whose entry stayed
/// available, unless stated otherwise.
struct measurement
{
    std::size_t requests = 0;
    /// Latencies of short requests that were not refused on arrival. A failed request counts with
    /// the time that its caller waited, and one that is still open at the end with twice its
    /// deadline.
    double short_p50_ms = 0;
    double short_p99_ms = 0;
    /// Share of the weight of all requests that was served on time.
    double weight_on_time = 0;
    /// Weight served on time, relative to the weight that the capacity allows.
    double weight_of_achievable = 0;
    double refused_share = 0;
    double failed_share = 0;
    /// Hedges and retries per request, over all requests of the run.
    double hedge_share = 0;
    double retry_share = 0;
    /// Largest number of requests at an upstream during the whole run, relative to its slots.
    double max_slot_use = 0;
    /// Moves during the whole run that exceeded the cap between two regions.
    std::uint64_t moves_over_cap = 0;
    /// Fraction of the slot time in which a request ran.
    double utilisation = 0;
    double drain_ms = 0;
    /// Messages between entries per request, over all requests of the run.
    double messages = 0;
    /// Counts of the whole run.
    std::uint64_t ejections = 0;
    std::uint64_t loans_lapsed = 0;
    std::vector<class_measurement> classes;
};

/// Simulates one scenario under one policy. The settings apply to the dispatcher only.
measurement measure(deployment const& setup, scenario const& spec, std::size_t policy,
                    routing::dispatcher_settings const& settings = {});

} // namespace fuchsiaproxy::policy_bench

#endif
