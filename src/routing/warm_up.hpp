#ifndef FUCHSIAPROXY_ROUTING_WARM_UP_HPP
#define FUCHSIAPROXY_ROUTING_WARM_UP_HPP

#include <algorithm>
#include <cstdint>

namespace fuchsiaproxy::routing
{

/// Limit on the slots used at an upstream that is new to the entry. It starts at one slot and
/// doubles after each window of as many good answers as it has slots.
class warm_up
{
public:
    std::uint32_t limit() const noexcept
    {
        return limit_;
    }

    void on_good() noexcept
    {
        if (limit_ >= max_limit || ++good_ < limit_)
        {
            return;
        }
        limit_ *= 2;
        good_ = 0;
    }

    /// The upstream refused work or failed.
    void on_bad(std::uint32_t slots) noexcept
    {
        limit_ = std::max(1U, std::min(limit_, slots) / 2);
        good_ = 0;
    }

    void restart() noexcept
    {
        *this = {};
    }

private:
    static constexpr std::uint32_t max_limit = 1U << 16U;

    std::uint32_t limit_ = 1;
    std::uint32_t good_ = 0;
};

} // namespace fuchsiaproxy::routing

#endif
