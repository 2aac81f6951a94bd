#ifndef FUCHSIAPROXY_LIMITS_MOVE_GATE_HPP
#define FUCHSIAPROXY_LIMITS_MOVE_GATE_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::limits
{

/// Length of the sliding window of every limit.
constexpr base::duration limit_window = std::chrono::seconds{1};

/// Admits at most `limit` moves in any half-open interval of one `limit_window`.
///
/// Exact: it stores the time of every move of the last window. `admits` and `charge` do not
/// allocate; `set_limit` allocates 8 bytes for each move of the highest limit so far.
/// Thread safety: none. `now` must not decrease.
class move_gate
{
public:
    /// Upper bound of the limit; higher values are clamped. It bounds the memory to 8 MB.
    static constexpr std::uint64_t max_limit = 1'000'000;

    /// Changes the limit. Earlier moves still count, so a lower limit admits nothing until enough
    /// of them have left the window.
    void set_limit(std::uint64_t limit);

    /// Returns whether one more move stays within the limit.
    bool admits(base::time_point now);

    /// Records a move. Precondition: `admits(now)` returned true since the last `charge`.
    void charge(base::time_point now);

    /// Returns the number of moves in the last window.
    std::size_t in_window(base::time_point now);

private:
    void drop_old(base::time_point now);

    std::uint64_t limit_ = 0;
    std::vector<base::time_point> times_;
    std::size_t first_ = 0;
    std::size_t size_ = 0;
};

/// Admits at most `limit` bits in any interval of one `limit_window`.
///
/// Conservative: it counts in buckets of 1/64 of the window, so bits count for up to 1/64 of the
/// window too long. Never allocates.
/// Thread safety: none. `now` must not decrease.
class bit_gate
{
public:
    /// Changes the limit, in bits per window. Bits that were admitted before still count.
    void set_limit(std::uint64_t bits)
    {
        limit_ = bits;
    }

    /// Returns whether another `bits` stay within the limit.
    bool admits(std::uint64_t bits, base::time_point now);

    /// Records `bits`. Precondition: `admits(bits, now)` returned true since the last `charge`.
    void charge(std::uint64_t bits, base::time_point now);

private:
    static constexpr std::int64_t buckets_per_window = 64;
    /// One more than the window holds, because the window may still overlap the oldest bucket.
    static constexpr std::int64_t bucket_count = buckets_per_window + 1;

    void advance(base::time_point now);

    std::uint64_t limit_ = 0;
    std::uint64_t total_ = 0;
    std::int64_t current_ = 0;
    std::array<std::uint64_t, bucket_count> buckets_{};
};

} // namespace fuchsiaproxy::limits

#endif
