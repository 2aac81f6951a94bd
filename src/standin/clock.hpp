#ifndef FUCHSIAPROXY_STANDIN_CLOCK_HPP
#define FUCHSIAPROXY_STANDIN_CLOCK_HPP

#include <chrono>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::standin
{

/// Returns the current time of the steady clock. Thread safe.
inline base::time_point now()
{
    auto const since = std::chrono::steady_clock::now().time_since_epoch();
    return base::time_point(std::chrono::duration_cast<base::duration>(since));
}

/// Returns `it` in milliseconds. Thread safe.
inline double milliseconds_of(base::duration it)
{
    return std::chrono::duration<double, std::milli>(it).count();
}

/// Returns `ms` milliseconds as a duration. Thread safe.
inline base::duration from_milliseconds(double ms)
{
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::milli>(ms));
}

} // namespace fuchsiaproxy::standin

#endif
