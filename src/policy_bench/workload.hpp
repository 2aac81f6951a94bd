#ifndef FUCHSIAPROXY_POLICY_BENCH_WORKLOAD_HPP
#define FUCHSIAPROXY_POLICY_BENCH_WORKLOAD_HPP

#include <cstdint>
#include <vector>

#include "deployments.hpp"

namespace fuchsiaproxy::policy_bench
{

/// Seeded generator with the same numbers on every platform (SplitMix64).
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

/// One upstream of a deployment, by index.
struct upstream_place
{
    base::upstream_id id;
    std::uint32_t service = 0;
    std::uint32_t place = 0;
    std::uint32_t zone = 0;
    std::uint32_t region = 0;
    std::uint32_t slots = 0;
};

/// A deployment by index: upstreams, and the zone and region of each entry and upstream.
struct layout
{
    explicit layout(deployment const& from);

    /// One-way delay between two zones.
    base::duration delay(std::uint32_t zone_a, std::uint32_t zone_b) const;

    deployment const& source;
    std::vector<upstream_place> upstreams;
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

/// What one run does. The fault starts at `fault_at`; requests that arrive from then on until
/// `end` are measured.
struct scenario
{
    double load = 0.5;
    fault what = fault::none;
    /// Whether there are stragglers and long classes.
    bool stragglers = true;
    std::uint64_t seed = 1;
    base::duration first_arrival = std::chrono::seconds(5);
    base::duration fault_at = std::chrono::seconds(8);
    base::duration end = std::chrono::seconds(16);
};

/// One request of a caller. All policies get the same ones.
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

/// Returns the requests of a run, by time. The load is a share of the capacity, which counts
/// service times only and no network.
std::vector<arrival> make_arrivals(layout const& where, scenario const& what);

/// Speed of an upstream over time, as steps.
struct speed_step
{
    base::duration from{};
    double speed = 1;
};

/// Returns the speed of each upstream: short moments of slowness at all, and the slow ones of the
/// scenario.
std::vector<std::vector<speed_step>> make_speeds(layout const& where, scenario const& what);

/// Upstreams that the scenario slows: the first of the first service in the first two regions.
std::vector<std::uint32_t> slowed_upstreams(layout const& where);

/// Returns when `work` that starts at `start` ends.
base::duration end_of_work(std::vector<speed_step> const& speeds, base::duration start,
                           base::duration work);

/// Returns the largest weight that the upstreams could serve of the measured arrivals, had they
/// no network delay and full knowledge: by service, the classes with the most weight per work
/// first, up to the work that the upstreams can do.
double achievable_weight(layout const& where, scenario const& what,
                         std::vector<arrival> const& arrivals,
                         std::vector<std::vector<speed_step>> const& speeds);

constexpr std::uint32_t lost_zone = 1;

} // namespace fuchsiaproxy::policy_bench

#endif
