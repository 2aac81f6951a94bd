#ifndef FUCHSIAPROXY_BASE_LOAD_REPORT_HPP
#define FUCHSIAPROXY_BASE_LOAD_REPORT_HPP

#include <cstdint>

namespace fuchsiaproxy::base
{

/// What an upstream says of its load at the moment of an answer.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Time that work takes on the upstream's machine now, in percent of the usual time.
    std::uint32_t pace_percent = 100;
};

} // namespace fuchsiaproxy::base

#endif
