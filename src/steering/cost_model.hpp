#ifndef FUCHSIAPROXY_STEERING_COST_MODEL_HPP
#define FUCHSIAPROXY_STEERING_COST_MODEL_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "work_times.hpp"

namespace fuchsiaproxy::steering
{

/// Expected work in seconds, and its standard deviation.
struct work_estimate
{
    double mean = 0;
    double spread = 0;
    /// Whether the route was measured; what is assumed before is a guess.
    bool is_measured = false;

    work_estimate scaled(double factor) const
    {
        return {mean * factor, spread * factor, is_measured};
    }

    /// Returns the time above which an attempt counts as a straggler.
    double straggler_limit() const
    {
        return mean + 2 * spread;
    }
};

/// Ratio of an upstream's work times to those of the others, as learned by this entry. Without new
/// samples it returns to 1, so that an upstream that gets no requests because of it is tried again.
class learned_ratio
{
public:
    double at(base::time_point now) const;
    /// Multiplies the ratio by `factor`.
    void adjust(double factor, base::time_point now);

private:
    double value_ = 1;
    base::time_point at_{};
};

/// Learned cost of one route at one service.
struct route_costs
{
    struct rank_cost
    {
        double mean = 0;
        /// Mean absolute deviation of the logarithm.
        double deviation = 0;
        std::uint32_t samples = 0;
    };

    /// Distinguishes the objects of different routes.
    std::uint64_t id = 0;
    /// By the rank of the upstream for the object; see `route_work`.
    std::array<rank_cost, distinct_ranks> by_rank{};
};

/// Estimates for one request by rank, at an upstream of the usual speed.
using request_costs = std::array<work_estimate, distinct_ranks>;

/// What the cost of an attempt depends on.
struct cost_sample
{
    route_costs* route = nullptr;
    std::uint64_t object = 0;
    std::size_t rank = 0;
    /// Ratio of the upstream; may be null.
    learned_ratio* upstream = nullptr;
    /// Multiple of the usual work time that the upstream had reported when the attempt started.
    double slowdown = 1;
};

/// Cost of requests in seconds of work, learned from the durations of attempts that did not wait.
///
/// The expected work is a product: mean of the route, service and rank, ratio of the object, ratio
/// of the upstream, reported slowness and its learned correction. Each sample adjusts the factors
/// in the logarithm, so that a single request that takes seven times as long has little effect.
/// Samples are forgotten exponentially: the route's means with new samples, the ratios of objects
/// and upstreams also with time. An object that was never seen costs the route's mean.
///
/// Memory is bounded by `max_objects` objects, of which the least recently learned is dropped, and
/// `max_routes` pairs of route and service; further pairs share one record.
///
/// Thread safety: none. References to `route_costs` stay valid.
class cost_model
{
public:
    static constexpr std::size_t max_objects = 4096;
    static constexpr std::size_t max_routes = 256;

    route_costs& for_route(std::string const& route, base::service_id const& service,
                           base::duration latency_goal);

    /// Returns the estimates for a request of `route` for `object`; 0 if it has none.
    request_costs estimate(route_costs const& route, std::uint64_t object,
                           base::time_point now) const;
    /// Returns the factor of an upstream's reported slowness on its work.
    double slowness_factor(double reported) const;

    /// Learns the work time in seconds of an attempt that ended.
    void learn(cost_sample const& it, double work, base::time_point now);
    /// Learns from an attempt that was given up after `work` seconds: it would have taken longer.
    void learn_at_least(cost_sample const& it, double work, base::time_point now);

    /// Learns how far an attempt exceeded the limit for stragglers. `took` is without the wait.
    void learn_overrun(work_estimate const& expected, double took, bool completed);
    /// Returns the mean remaining work of a straggler, as a multiple of its expected work.
    double straggler_rest() const;
    /// Returns the fraction of the open attempts that are overdue while upstreams work as usual.
    double overdue_share() const;

    /// Returns the number of objects that have a record.
    std::size_t objects() const;

private:
    struct object_cost
    {
        std::uint64_t key = 0;
        learned_ratio ratio;
    };
    using object_list = std::list<object_cost>;
    static constexpr std::size_t slowness_classes = 4;

    double predict(cost_sample const& it, base::time_point now) const;
    learned_ratio const* find_object(route_costs const& route, std::uint64_t object) const;
    learned_ratio& object_ratio(route_costs const& route, std::uint64_t object);

    std::map<std::pair<std::string, base::service_id>, route_costs> routes_;
    /// Most recently learned first.
    object_list objects_;
    std::unordered_map<std::uint64_t, object_list::iterator> objects_by_key_;
    /// Corrections of the reported slowness, by its class.
    std::array<double, slowness_classes> slowness_corrections_{1, 1, 1, 1};
    double straggler_rest_ = 2;
    double mean_overrun_ = 0.05;
    double mean_took_ = 1;
};

} // namespace fuchsiaproxy::steering

#endif
