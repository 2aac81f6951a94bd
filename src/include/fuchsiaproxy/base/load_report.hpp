#ifndef FUCHSIAPROXY_BASE_LOAD_REPORT_HPP
#define FUCHSIAPROXY_BASE_LOAD_REPORT_HPP

#include <cstdint>

namespace fuchsiaproxy::base
{

/// Load of an upstream at the time of an answer, as the upstream reports it.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Current service time on the upstream's machine, in percent of the usual service time.
    std::uint32_t service_time_percent = 100;
};

} // namespace fuchsiaproxy::base

#endif
