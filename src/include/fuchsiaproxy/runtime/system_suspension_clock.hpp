#ifndef FUCHSIAPROXY_RUNTIME_SYSTEM_SUSPENSION_CLOCK_HPP
#define FUCHSIAPROXY_RUNTIME_SYSTEM_SUSPENSION_CLOCK_HPP

#include "fuchsiaproxy/base/suspension_clock.hpp"

namespace fuchsiaproxy::runtime
{

/// `CLOCK_BOOTTIME` of the system.
///
/// Thread safety: all functions on any thread.
class system_suspension_clock final : public base::suspension_clock
{
public:
    base::suspension_time_point now() const override;

    /// Returns the process-wide instance.
    static system_suspension_clock const& instance();
};

} // namespace fuchsiaproxy::runtime

#endif
