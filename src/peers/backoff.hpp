#ifndef FUCHSIAPROXY_PEERS_BACKOFF_HPP
#define FUCHSIAPROXY_PEERS_BACKOFF_HPP

#include <algorithm>
#include <random>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::peers
{

/// Exponential backoff with random jitter between failed attempts.
class backoff
{
public:
    /// Returns whether an attempt may be made at `now`.
    bool may_try(base::time_point now) const
    {
        return now >= retry_at_;
    }

    /// Records a failed attempt and delays the next one. The delay is drawn at random from the
    /// upper half of its range, so that entries that lost the same peer do not reconnect all at
    /// once.
    template <class Random>
    void record_failure(base::time_point now, base::duration min_delay, base::duration max_delay,
                        Random& random)
    {
        constexpr unsigned max_doublings = 16;
        auto const delay =
            std::min(max_delay, min_delay * (1U << std::min(failures_, max_doublings)));
        auto const fraction = std::uniform_real_distribution<double>(0.5, 1)(random);
        auto const ns = static_cast<double>(delay.count()) * fraction;
        ++failures_;
        retry_at_ = now + base::duration(static_cast<base::duration::rep>(ns));
    }

    /// Clears the failures and allows the next attempt immediately.
    void reset()
    {
        *this = {};
    }

private:
    unsigned failures_ = 0;
    base::time_point retry_at_{};
};

} // namespace fuchsiaproxy::peers

#endif
