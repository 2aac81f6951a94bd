#ifndef FUCHSIAPROXY_BASE_TIME_HPP
#define FUCHSIAPROXY_BASE_TIME_HPP

#include <chrono>

namespace fuchsiaproxy::base
{

/// Clock type of the monotonic time that routing and scheduling decisions use. It has no `now()`:
/// the time is always passed in, so that the same code runs in the daemon and under a fake clock.
struct decision_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true;
};

/// Length of time, in nanoseconds.
using duration = decision_clock::duration;
/// Time on an entry's own monotonic clock. Values from different entries must not be compared.
using time_point = decision_clock::time_point;

} // namespace fuchsiaproxy::base

#endif
