#ifndef FUCHSIAPROXY_BASE_TIMER_SERVICE_HPP
#define FUCHSIAPROXY_BASE_TIMER_SERVICE_HPP

#include <functional>
#include <memory>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::base
{

/// Handle of a timer; destroying it cancels the timer.
class timer_subscription
{
public:
    virtual ~timer_subscription() = default;
};

/// Monotonic clock with one-shot and periodic timers. Each service is bound to one thread:
/// callbacks run on that thread, and all functions must be called on it.
class timer_service
{
public:
    using callback = std::function<void(time_point)>;

    virtual ~timer_service() = default;

    /// Returns the current time of this service's monotonic clock.
    virtual time_point now() const = 0;

    /// Calls `call` every `period` until the handle is destroyed. Precondition: `period > 0`.
    virtual std::unique_ptr<timer_subscription> every(duration period, callback call) = 0;

    /// Calls `call` once at `when`, or as soon as possible if `when` has passed, unless the handle
    /// is destroyed first.
    virtual std::unique_ptr<timer_subscription> at(time_point when, callback call) = 0;
};

} // namespace fuchsiaproxy::base

#endif
