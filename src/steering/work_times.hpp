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

/// Ranks of an upstream in an object's order that are told apart; the last stands for all others.
constexpr std::size_t told_ranks = 8;

/// Mean work times of the requests of one route at one service, in seconds, by the rank of the
/// upstream in the order of the request's object. An upstream of a low rank serves the object often
/// and keeps it warm; how far down that holds depends on the load and on what upstreams remember,
/// and is learned.
///
/// Thread safety: none.
class route_work
{
public:
    /// Until a rank was measured, the first one is assumed to be warm.
    explicit route_work(base::duration latency_goal)
    {
        auto const goal = std::chrono::duration<double>(latency_goal).count();
        means_.fill(goal * 1.3);
        means_[0] = goal * 0.5;
        means_[1] = goal * 0.9;
    }

    double at(std::size_t rank) const
    {
        return means_[std::min(rank, told_ranks - 1)];
    }

    void take(std::size_t rank, double time, double gain)
    {
        auto& mean = means_[std::min(rank, told_ranks - 1)];
        // One straggler says nothing of the others.
        constexpr double most = 4;
        mean += (std::min(time, mean * most) - mean) * gain;
    }

    /// Returns the mean over the work that is done, for waits.
    double typical() const
    {
        return means_[0];
    }

private:
    std::array<double, told_ranks> means_{};
};

/// Work times of all routes, learned from answers.
///
/// Thread safety: none. References stay valid.
class work_times
{
public:
    route_work& of(std::string const& route, base::service_id const& service,
                   base::duration latency_goal)
    {
        return all_.try_emplace({route, service}, latency_goal).first->second;
    }

private:
    std::map<std::pair<std::string, base::service_id>, route_work> all_;
};

} // namespace fuchsiaproxy::steering

#endif
