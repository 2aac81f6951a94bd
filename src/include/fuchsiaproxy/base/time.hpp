#ifndef FUCHSIAPROXY_BASE_TIME_HPP
#define FUCHSIAPROXY_BASE_TIME_HPP

#include <chrono>

namespace fuchsiaproxy::base
{

/// Tag of the time line that decisions use. It has no `now()`: time is always passed in, so that
/// the same decisions run in the daemon and under a fake clock.
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
/// Point on an entry's own monotonic time line. Values of two entries must not be compared.
using time_point = decision_clock::time_point;

} // namespace fuchsiaproxy::base

#endif
