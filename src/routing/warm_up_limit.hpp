#ifndef FUCHSIAPROXY_ROUTING_WARM_UP_LIMIT_HPP
#define FUCHSIAPROXY_ROUTING_WARM_UP_LIMIT_HPP

#include <algorithm>
#include <cstdint>

namespace fuchsiaproxy::routing
{

/// Limit on the slots used at an upstream that is new to the entry. It starts at one slot and
/// doubles after as many successful attempts as it allows slots.
class warm_up_limit
{
public:
    std::uint32_t limit() const noexcept
    {
        return limit_;
    }

    void on_success() noexcept
    {
        if (limit_ >= max_limit || ++successes_ < limit_)
        {
            return;
        }
        limit_ *= 2;
        successes_ = 0;
    }

    /// Halves the limit after the upstream, which has `slots` slots, refused an attempt.
    void on_shed(std::uint32_t slots) noexcept
    {
        limit_ = std::max(1U, std::min(limit_, slots) / 2);
        successes_ = 0;
    }

    void restart() noexcept
    {
        *this = {};
    }

private:
    static constexpr std::uint32_t max_limit = 1U << 16U;

    std::uint32_t limit_ = 1;
    std::uint32_t successes_ = 0;
};

} // namespace fuchsiaproxy::routing

#endif
