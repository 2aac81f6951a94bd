#ifndef FUCHSIAPROXY_POLICY_BENCH_WORKLOAD_HPP
#define FUCHSIAPROXY_POLICY_BENCH_WORKLOAD_HPP

#include <cstdint>
#include <vector>

#include "deployments.hpp"

namespace fuchsiaproxy::policy_bench
{

/// Seeded random number generator (SplitMix64) with the same sequence on every platform.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : state_(seed) {}

    std::uint64_t next() noexcept;
    /// Returns a number in [0, 1).
    double uniform() noexcept;
    /// Returns an exponentially distributed number with mean 1.
    double exponential() noexcept;

private:
    std::uint64_t state_;
};

/// An upstream that refers to its service, place, zone and region by index.
struct indexed_upstream
{
    base::upstream_id id;
    std::uint32_t service = 0;
    std::uint32_t place = 0;
    std::uint32_t zone = 0;
    std::uint32_t region = 0;
    std::uint32_t slots = 0;
};

/// Index-based view of a deployment: its upstreams and the zone and region of each entry, place and
/// upstream. Refers to the deployment, which must outlive it.
struct topology
{
    explicit topology(deployment const& from);

    /// One-way delay between two zones.
    base::duration delay(std::uint32_t zone_a, std::uint32_t zone_b) const;

    deployment const& source;
    std::vector<indexed_upstream> upstreams;
    std::vector<std::uint32_t> entry_zone;
    std::vector<std::uint32_t> region_of_zone;
    std::vector<std::uint32_t> zone_of_place;
};

enum class fault
{
    none,
    slow_upstreams,
    zone_lost,
    drain,
    shift
};

/// Parameters of one run. The fault starts at `fault_at`; requests that arrive from then on until
/// `end` are measured.
struct scenario
{
    double load = 0.5;
    fault injected_fault = fault::none;
    /// Whether the workload includes stragglers and the long classes.
    bool stragglers = true;
    std::uint64_t seed = 1;
    base::duration first_arrival = std::chrono::seconds(5);
    base::duration fault_at = std::chrono::seconds(8);
    base::duration end = std::chrono::seconds(16);
};

/// One request of a caller. All policies receive the same arrivals for a given seed.
struct arrival
{
    base::duration at{};
    std::uint32_t entry = 0;
    std::uint32_t service = 0;
    std::uint32_t request_class = 0;
    /// Service time at an upstream of normal speed.
    base::duration work{};
    bool is_short = false;
};

/// Returns the requests of a run in order of arrival. The load is relative to the capacity of the
/// slots, which is computed from service times only, without network delays.
std::vector<arrival> make_arrivals(topology const& topo, scenario const& spec);

/// One step of an upstream's speed over time, which is a step function.
struct speed_step
{
    base::duration from{};
    double speed = 1;
};

/// Returns the speed of each upstream over time. Every upstream has short slow periods; those that
/// the scenario slows stay slow from the start of the fault on.
std::vector<std::vector<speed_step>> make_speeds(topology const& topo, scenario const& spec);

/// Returns the upstreams that `fault::slow_upstreams` slows: the first one of the first service in
/// each of the first two regions.
std::vector<std::uint32_t> slowed_upstreams(topology const& topo);

/// Returns the time at which `work` that starts at `start` completes at the given speeds.
base::duration completion_time(std::vector<speed_step> const& speeds, base::duration start,
                               base::duration work);

/// Returns the weight of the measured arrivals that the upstreams could serve with no network delay
/// and an ideal scheduler: for each service, the classes with the most weight per unit of work
/// first, until the capacity of the upstreams is used up.
double achievable_weight(topology const& topo, scenario const& spec,
                         std::vector<arrival> const& arrivals,
                         std::vector<std::vector<speed_step>> const& speeds);

/// Zone that fails in `fault::zone_lost`.
constexpr std::uint32_t lost_zone = 1;

} // namespace fuchsiaproxy::policy_bench

#endif
