#ifndef FUCHSIAPROXY_POLICY_BENCH_RUN_HPP
#define FUCHSIAPROXY_POLICY_BENCH_RUN_HPP

#include <string>
#include <string_view>
#include <vector>

#include "deployments.hpp"
#include "fuchsiaproxy/routing/settings.hpp"
#include "workload.hpp"

namespace fuchsiaproxy::policy_bench
{

/// Policies by index; the dispatcher is the last one.
constexpr std::size_t policy_count = 5;
constexpr std::size_t dispatcher_index = 4;
std::string_view policy_name(std::size_t policy);
std::string_view fault_name(fault what);

/// What one run measured of one request class.
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

/// What one run measured, over the requests that arrived after the fault.
struct measurement
{
    std::size_t requests = 0;
    /// Of short requests that were not refused on arrival. One that failed counts with the time its
    /// caller waited.
    double short_p50_ms = 0;
    double short_p99_ms = 0;
    /// Share of the weight of all requests that was served on time.
    double weight_on_time = 0;
    /// The same share, of the weight that the capacity allows.
    double weight_of_achievable = 0;
    double refused_share = 0;
    double failed_share = 0;
    /// Of all requests of the run.
    double hedge_share = 0;
    double retry_share = 0;
    /// Largest number of requests at an upstream, relative to its slots.
    double max_slot_use = 0;
    std::uint64_t moves_over_cap = 0;
    /// Share of the slot time in which a request ran.
    double utilisation = 0;
    double drain_ms = 0;
    /// Messages between entries per request.
    double messages = 0;
    std::uint64_t ejections = 0;
    std::uint64_t loans_lapsed = 0;
    std::vector<class_measurement> classes;
};

/// Runs one policy through one scenario.
measurement measure(deployment const& where, scenario const& what, std::size_t policy,
                    routing::dispatcher_settings const& settings = {});

} // namespace fuchsiaproxy::policy_bench

#endif
