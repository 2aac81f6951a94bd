#ifndef FUCHSIAPROXY_METADATA_RETRY_PAUSE_HPP
#define FUCHSIAPROXY_METADATA_RETRY_PAUSE_HPP

#include <algorithm>
#include <cstdint>
#include <random>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::metadata
{

/// Pauses between failed calls: doubled each time, with jitter of half the pause, so that the
/// callers of a store that returns do not come back together.
class retry_pause
{
public:
    /// Precondition: `0 < first <= longest`.
    retry_pause(base::duration first, base::duration longest, std::uint64_t seed)
        : first_(first), longest_(longest), next_(first), random_(seed)
    {
    }

    /// Returns the pause before the next call.
    base::duration next()
    {
        auto const whole = next_.count();
        next_ = std::min(next_ * 2, longest_);
        std::uniform_int_distribution<base::duration::rep> pick(whole / 2, whole);
        return base::duration(pick(random_));
    }

    /// Begins again with the first pause, after a call that succeeded.
    void reset()
    {
        next_ = first_;
    }

private:
    base::duration first_;
    base::duration longest_;
    base::duration next_;
    std::mt19937_64 random_;
};

} // namespace fuchsiaproxy::metadata

#endif
