#ifndef FUCHSIAPROXY_STEERING_HEDGE_SCHEDULE_HPP
#define FUCHSIAPROXY_STEERING_HEDGE_SCHEDULE_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::steering
{

/// Times at which requests are considered for a second attempt. A request has one time at most.
///
/// Thread safety: none.
class hedge_schedule
{
public:
    void add(base::local_request_id request, base::time_point at)
    {
        due_.emplace(at, request.value());
    }

    /// Removes the time `at` of a request.
    void remove(base::local_request_id request, base::time_point at)
    {
        due_.erase({at, request.value()});
    }

    /// Removes and returns a request whose time has come, or nothing.
    std::optional<base::local_request_id> take_due(base::time_point now)
    {
        if (due_.empty() || due_.begin()->first > now)
        {
            return std::nullopt;
        }
        base::local_request_id const first(due_.begin()->second);
        due_.erase(due_.begin());
        return first;
    }

    /// Returns the earliest time; the largest time if there is none.
    base::time_point next() const
    {
        return due_.empty() ? base::time_point::max() : due_.begin()->first;
    }

    std::size_t size() const
    {
        return due_.size();
    }

private:
    std::set<std::pair<base::time_point, std::uint64_t>> due_;
};

} // namespace fuchsiaproxy::steering

#endif
