#ifndef FUCHSIAPROXY_BASE_SUSPENSION_CLOCK_HPP
#define FUCHSIAPROXY_BASE_SUSPENSION_CLOCK_HPP

#include <chrono>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::base
{

/// Clock type of times that count suspension of the machine, which the monotonic clock does not.
struct suspension_time
{
    using duration = base::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<suspension_time>;
    static constexpr bool is_steady = true;
};

/// Time on a `suspension_clock`. Comparable on all threads of the machine.
using suspension_time_point = suspension_time::time_point;

/// Monotonic clock that also counts the time during which the machine is suspended. It measures the
/// age of what must not be used for too long.
class suspension_clock
{
public:
    virtual ~suspension_clock() = default;

    /// Returns the current time. Thread safe.
    virtual suspension_time_point now() const = 0;
};

} // namespace fuchsiaproxy::base

#endif
