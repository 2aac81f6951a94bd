#ifndef FUCHSIAPROXY_STEERING_WORK_TIMES_HPP
#define FUCHSIAPROXY_STEERING_WORK_TIMES_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::steering
{

/// Number of ranks for an object that are distinguished; all later ranks count as the last one.
constexpr std::size_t distinct_ranks = 8;

/// Mean work times of the requests of one route at one service, in seconds, by the upstream's rank
/// for the request's object. An upstream of one of the first ranks serves the object often and
/// keeps it warm. Up to which rank that holds depends on the load and on the upstreams' caches, so
/// it is measured.
///
/// Thread safety: none.
class route_work
{
public:
    /// Starts from assumed times in which only the upstream of the first rank is warm.
    explicit route_work(base::duration latency_goal)
    {
        auto const goal = std::chrono::duration<double>(latency_goal).count();
        means_.fill(goal * 1.3);
        means_[0] = goal * 0.5;
        means_[1] = goal * 0.9;
    }

    double at(std::size_t rank) const
    {
        return means_[std::min(rank, distinct_ranks - 1)];
    }

    void add_sample(std::size_t rank, double time, double gain)
    {
        auto& mean = means_[std::min(rank, distinct_ranks - 1)];
        // Bounds the effect of a single straggler on the mean.
        constexpr double max_ratio = 4;
        mean += (std::min(time, mean * max_ratio) - mean) * gain;
    }

    /// Returns the work time used to estimate waits: the mean of the first rank.
    double typical() const
    {
        return means_[0];
    }

private:
    std::array<double, distinct_ranks> means_{};
};

/// Work times of all routes, measured from answers.
///
/// Thread safety: none. References stay valid.
class work_times
{
public:
    route_work& for_route(std::string const& route, base::service_id const& service,
                          base::duration latency_goal)
    {
        return all_.try_emplace({route, service}, latency_goal).first->second;
    }

private:
    std::map<std::pair<std::string, base::service_id>, route_work> all_;
};

} // namespace fuchsiaproxy::steering

#endif
