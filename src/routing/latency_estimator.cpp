#include "latency_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace fuchsiaproxy::routing
{

namespace
{

constexpr unsigned smallest_shift = 10; // the first bucket ends at 1,024 ns

std::size_t bucket_of(base::duration sample, std::size_t buckets_per_octave,
                      std::size_t buckets) noexcept
{
    auto const ns = static_cast<std::uint64_t>(std::max<base::duration::rep>(sample.count(), 1));
    auto const top = 63U - static_cast<unsigned>(__builtin_clzll(ns));
    if (top < smallest_shift)
    {
        return 0;
    }
    auto const fraction = (ns >> (top - 2U)) & 3U;
    return std::min<std::size_t>((top - smallest_shift) * buckets_per_octave + fraction,
                                 buckets - 1);
}

} // namespace

latency_estimator::latency_estimator(base::duration assumed, double hedge_quantile)
    : hedge_quantile_(hedge_quantile), mean_(assumed), median_(assumed),
      hedge_threshold_(assumed * 3)
{
}

void latency_estimator::add(base::duration sample) noexcept
{
    ++counts_[bucket_of(sample, buckets_per_octave, buckets)];
    ++count_;
    ++samples_;
    sum_ns_ += static_cast<double>(sample.count());
    if (samples_ % refresh_interval == 0 || samples_ < refresh_interval)
    {
        refresh();
    }
    if (count_ >= max_count)
    {
        halve();
    }
}

void latency_estimator::refresh() noexcept
{
    mean_ = base::duration(static_cast<base::duration::rep>(sum_ns_ / count_));
    median_ = quantile(0.5);
    hedge_threshold_ = quantile(hedge_quantile_);
}

void latency_estimator::halve() noexcept
{
    std::uint32_t total = 0;
    for (auto& it : counts_)
    {
        it /= 2;
        total += it;
    }
    sum_ns_ *= static_cast<double>(total) / count_;
    count_ = total;
}

base::duration latency_estimator::quantile(double share) const noexcept
{
    auto const wanted = static_cast<std::uint32_t>(std::ceil(share * count_));
    std::uint32_t seen = 0;
    for (std::size_t n = 0; n < buckets; ++n)
    {
        seen += counts_[n];
        if (seen >= wanted)
        {
            auto const unit = std::uint64_t{1} << (smallest_shift + n / buckets_per_octave);
            auto const ns = unit + unit * (n % buckets_per_octave + 1) / buckets_per_octave;
            return base::duration(static_cast<base::duration::rep>(ns));
        }
    }
    return mean_;
}

void slowness_window::add(float ratio) noexcept
{
    ratios_[next_] = ratio;
    next_ = (next_ + 1) % window;
    ++count_;
    if (count_ < min_samples)
    {
        return;
    }
    auto sorted = ratios_;
    auto const used = static_cast<std::ptrdiff_t>(std::min<std::size_t>(count_, window));
    auto const middle = used / 2;
    std::nth_element(sorted.begin(), sorted.begin() + middle, sorted.begin() + used);
    median_ = sorted[static_cast<std::size_t>(middle)];
}

} // namespace fuchsiaproxy::routing
