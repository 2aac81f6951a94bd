#ifndef FUCHSIAPROXY_GATEWAY_LATENCY_BUCKETS_HPP
#define FUCHSIAPROXY_GATEWAY_LATENCY_BUCKETS_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::gateway
{

/// Histogram of durations with fixed buckets.
///
/// Thread safety: none.
class latency_buckets
{
public:
    /// Upper bounds in seconds, chosen to cover the latency goals and timeouts of routes.
    static constexpr std::array<double, 12> bounds{0.01, 0.025, 0.05, 0.1, 0.2, 0.3,
                                                   0.4,  0.6,   1,    2,   4,   8};

    void record(base::duration time)
    {
        auto const seconds = std::chrono::duration<double>(time).count();
        std::size_t n = 0;
        while (n < bounds.size() && seconds > bounds[n])
        {
            ++n;
        }
        ++counts_[n];
        sum_ += seconds;
    }

    /// Returns the counts per bucket; the last one is for durations above all bounds.
    std::array<std::uint64_t, bounds.size() + 1> const& counts() const
    {
        return counts_;
    }

    /// Returns the sum of all durations in seconds.
    double sum() const
    {
        return sum_;
    }

private:
    std::array<std::uint64_t, bounds.size() + 1> counts_{};
    double sum_ = 0;
};

} // namespace fuchsiaproxy::gateway

#endif
