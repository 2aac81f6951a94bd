#ifndef FUCHSIAPROXY_ROUTING_LATENCY_ESTIMATOR_HPP
#define FUCHSIAPROXY_ROUTING_LATENCY_ESTIMATOR_HPP

#include <array>
#include <cstddef>
#include <cstdint>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::routing
{

/// Distribution of the service times of one request class, with more weight on recent ones.
class latency_estimator
{
public:
    latency_estimator(base::duration assumed, double hedge_quantile);

    void add(base::duration sample) noexcept;

    /// Returns the mean, or the assumed time before the first sample.
    base::duration mean() const noexcept
    {
        return mean_;
    }
    base::duration median() const noexcept
    {
        return median_;
    }
    /// Returns the quantile after which an attempt is hedged.
    base::duration hedge_threshold() const noexcept
    {
        return hedge_threshold_;
    }
    /// Returns whether there are enough samples to tell slow attempts from others.
    bool established() const noexcept
    {
        return samples_ >= min_samples;
    }

private:
    // Four buckets per factor of two. A quantile is the upper end of its bucket, at most 25 % high,
    // so that an attempt of usual length does not count as slow.
    static constexpr std::size_t buckets_per_octave = 4;
    static constexpr std::size_t buckets = 40 * buckets_per_octave;
    static constexpr std::uint32_t min_samples = 30;
    // The counts are halved at this number, so that the distribution covers about 2,000 requests.
    static constexpr std::uint32_t max_count = 2000;
    static constexpr std::uint32_t refresh_interval = 16;

    void refresh() noexcept;
    void halve() noexcept;
    base::duration quantile(double share) const noexcept;

    std::array<std::uint32_t, buckets> counts_{};
    double hedge_quantile_;
    double sum_ns_ = 0;
    std::uint32_t count_ = 0;
    std::uint32_t samples_ = 0;
    base::duration mean_;
    base::duration median_;
    base::duration hedge_threshold_;
};

/// Slowness of one upstream: the median of its last service times, each relative to the median of
/// its class. The median is not affected by single stragglers.
class slowness_window
{
public:
    void add(float ratio) noexcept;

    /// Returns the median, or 1 while there are too few samples.
    float median() const noexcept
    {
        return median_;
    }
    bool established() const noexcept
    {
        return count_ >= min_samples;
    }
    void reset() noexcept
    {
        *this = {};
    }

private:
    static constexpr std::size_t window = 8;
    static constexpr std::uint32_t min_samples = 4;

    std::array<float, window> ratios_{};
    std::uint32_t count_ = 0;
    std::uint32_t next_ = 0;
    float median_ = 1;
};

} // namespace fuchsiaproxy::routing

#endif
