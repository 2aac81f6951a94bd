#ifndef FUCHSIAPROXY_METADATA_RETRY_BACKOFF_HPP
#define FUCHSIAPROXY_METADATA_RETRY_BACKOFF_HPP

#include <algorithm>
#include <cstdint>
#include <random>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::metadata
{

/// Exponential back-off with jitter of half the delay, so that clients do not all retry at the same
/// time when the store recovers.
class retry_backoff
{
public:
    /// Precondition: `0 < initial <= max`.
    retry_backoff(base::duration initial, base::duration max, std::uint64_t seed)
        : initial_(initial), max_(max), next_(initial), random_(seed)
    {
    }

    /// Returns the delay before the next retry.
    base::duration next()
    {
        auto const whole = next_.count();
        next_ = std::min(next_ * 2, max_);
        std::uniform_int_distribution<base::duration::rep> pick(whole / 2, whole);
        return base::duration(pick(random_));
    }

    /// Restarts from the initial delay, after a successful call.
    void reset()
    {
        next_ = initial_;
    }

private:
    base::duration initial_;
    base::duration max_;
    base::duration next_;
    std::mt19937_64 random_;
};

} // namespace fuchsiaproxy::metadata

#endif
