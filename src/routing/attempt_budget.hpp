#ifndef FUCHSIAPROXY_ROUTING_ATTEMPT_BUDGET_HPP
#define FUCHSIAPROXY_ROUTING_ATTEMPT_BUDGET_HPP

#include <algorithm>

namespace fuchsiaproxy::routing
{

/// Token bucket for extra attempts. Each first attempt earns a share of a token.
class attempt_budget
{
public:
    /// Starts with `tokens` attempts; at most `burst` are saved up.
    attempt_budget(double share, double burst, double tokens = 0)
        : share_(share), burst_(burst), tokens_(tokens)
    {
    }

    void earn() noexcept
    {
        tokens_ = std::min(burst_, tokens_ + share_);
    }

    bool available() const noexcept
    {
        return tokens_ >= 1.0;
    }

    bool try_spend() noexcept
    {
        if (!available())
        {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    double share_;
    double burst_;
    double tokens_;
};

} // namespace fuchsiaproxy::routing

#endif
