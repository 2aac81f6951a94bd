#ifndef FUCHSIAPROXY_PEERS_BACKOFF_HPP
#define FUCHSIAPROXY_PEERS_BACKOFF_HPP

#include <algorithm>
#include <random>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::peers
{

/// Time between attempts that fail. It doubles with each failure.
class backoff
{
public:
    /// Returns whether an attempt may be made at `now`.
    bool may_try(base::time_point now) const
    {
        return now >= retry_at_;
    }

    /// Allows the next attempt after a wait that is drawn from the upper half of its range, so that
    /// entries which lost the same peer do not reconnect together.
    template <class Random>
    void fail(base::time_point now, base::duration shortest, base::duration longest, Random& random)
    {
        constexpr unsigned max_doublings = 16;
        auto const wait = std::min(longest, shortest * (1U << std::min(failures_, max_doublings)));
        auto const share = std::uniform_real_distribution<double>(0.5, 1)(random);
        auto const ns = static_cast<double>(wait.count()) * share;
        ++failures_;
        retry_at_ = now + base::duration(static_cast<base::duration::rep>(ns));
    }

    /// Allows the next attempt at once.
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
