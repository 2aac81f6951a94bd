#ifndef FUCHSIAPROXY_ROUTING_OUTLIER_DETECTOR_HPP
#define FUCHSIAPROXY_ROUTING_OUTLIER_DETECTOR_HPP

#include <algorithm>
#include <cstdint>

#include "fuchsiaproxy/base/time.hpp"
#include "latency_estimator.hpp"

namespace fuchsiaproxy::routing
{

/// Detects whether one upstream is an outlier, from the failures and service times that this entry
/// has measured. Also tracks its ejection and the probes that end it.
class outlier_detector
{
public:
    /// Records the service time of an attempt relative to the median of its class.
    void on_sample(float ratio) noexcept
    {
        slowness_.add(ratio);
        failures_ = 0;
    }

    void on_failure() noexcept
    {
        ++failures_;
    }

    /// Returns whether the upstream should be ejected, given the median slowness of the service.
    bool is_outlier(float factor, float reference) const noexcept
    {
        return failures_ >= max_failures ||
               (slowness_.established() && slowness_.median() > factor * reference);
    }

    void eject(base::duration first_interval) noexcept
    {
        ejected_ = true;
        probe_running_ = false;
        probe_ready_ = false;
        interval_ = first_interval;
    }

    bool ejected() const noexcept
    {
        return ejected_;
    }
    /// Returns whether a probe may be sent now.
    bool probe_ready() const noexcept
    {
        return ejected_ && probe_ready_ && !probe_running_;
    }
    bool probe_running() const noexcept
    {
        return probe_running_;
    }
    void allow_probe() noexcept
    {
        probe_ready_ = true;
    }
    void start_probe() noexcept
    {
        probe_running_ = true;
        probe_ready_ = false;
    }

    /// Ends a probe. Returns true when the upstream is readmitted; otherwise the next probe is due
    /// after `probe_interval()`.
    bool end_probe(bool succeeded, base::duration max_interval) noexcept
    {
        probe_running_ = false;
        if (succeeded)
        {
            *this = {};
            return true;
        }
        interval_ = std::min(interval_ * 2, max_interval);
        return false;
    }

    base::duration probe_interval() const noexcept
    {
        return interval_;
    }
    float slowness() const noexcept
    {
        return slowness_.median();
    }
    bool established() const noexcept
    {
        return slowness_.established();
    }
    void reset() noexcept
    {
        *this = {};
    }

private:
    static constexpr std::uint32_t max_failures = 2;

    slowness_window slowness_;
    base::duration interval_{};
    std::uint32_t failures_ = 0;
    bool ejected_ = false;
    bool probe_ready_ = false;
    bool probe_running_ = false;
};

} // namespace fuchsiaproxy::routing

#endif
