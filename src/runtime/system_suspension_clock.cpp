#include "fuchsiaproxy/runtime/system_suspension_clock.hpp"

#include <ctime>

namespace fuchsiaproxy::runtime
{

base::suspension_time_point system_suspension_clock::now() const
{
    std::timespec it{};
    // Cannot fail: Linux has this clock since 2.6.39.
    ::clock_gettime(CLOCK_BOOTTIME, &it);
    return base::suspension_time_point(std::chrono::seconds(it.tv_sec) +
                                       std::chrono::nanoseconds(it.tv_nsec));
}

system_suspension_clock const& system_suspension_clock::instance()
{
    static system_suspension_clock const it;
    return it;
}

} // namespace fuchsiaproxy::runtime
