#ifndef FUCHSIAPROXY_TESTING_MANUAL_SUSPENSION_CLOCK_HPP
#define FUCHSIAPROXY_TESTING_MANUAL_SUSPENSION_CLOCK_HPP

#include "fuchsiaproxy/base/suspension_clock.hpp"
#include "fuchsiaproxy/base/timer_service.hpp"

namespace fuchsiaproxy::testing
{

/// Clock that advances with a timer service and, beyond that, when the test suspends the machine.
class manual_suspension_clock final : public base::suspension_clock
{
public:
    /// `timers` must outlive the clock.
    explicit manual_suspension_clock(base::timer_service const& timers) : timers_(timers) {}

    base::suspension_time_point now() const override
    {
        return base::suspension_time_point(timers_.now().time_since_epoch() + suspended_);
    }

    void suspend(base::duration by)
    {
        suspended_ += by;
    }

private:
    base::timer_service const& timers_;
    base::duration suspended_{};
};

} // namespace fuchsiaproxy::testing

#endif
