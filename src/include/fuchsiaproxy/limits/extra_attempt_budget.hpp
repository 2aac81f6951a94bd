#ifndef FUCHSIAPROXY_LIMITS_EXTRA_ATTEMPT_BUDGET_HPP
#define FUCHSIAPROXY_LIMITS_EXTRA_ATTEMPT_BUDGET_HPP

#include <algorithm>
#include <cstdint>

namespace fuchsiaproxy::limits
{

/// Retries for each 1,000 first attempts of a service.
constexpr std::uint32_t retry_permille = 20;
/// Hedges for each 1,000 first attempts of a service.
constexpr std::uint32_t hedge_permille = 30;

/// Token bucket that bounds extra attempts to a share of the first attempts.
///
/// After n first attempts, at most `burst + n * permille / 1000` extra attempts were allowed. It is
/// filled by first attempts and not by time, so extra attempts cannot feed an overload.
/// Thread safety: none.
class extra_attempt_budget
{
public:
    /// Starts with `burst` attempts, which is also the most that can be saved up.
    explicit extra_attempt_budget(std::uint32_t permille, std::uint32_t burst = default_burst)
        : extra_attempt_budget(permille, burst, burst)
    {
    }

    /// Starts with `first` attempts and saves up at most `burst`. Precondition: `first <= burst`.
    extra_attempt_budget(std::uint32_t permille, std::uint32_t burst, std::uint32_t first)
        : permille_(permille), capacity_(std::uint64_t{burst} * cost),
          tokens_(std::uint64_t{first} * cost)
    {
    }

    /// Changes the most that can be saved up; what is saved above it is lost.
    void set_burst(std::uint32_t burst) noexcept
    {
        capacity_ = std::uint64_t{burst} * cost;
        tokens_ = std::min(tokens_, capacity_);
    }

    /// Notes a first attempt.
    void on_first_attempt() noexcept
    {
        tokens_ = std::min(capacity_, tokens_ + permille_);
    }

    /// Returns whether an extra attempt is allowed now.
    bool has_attempt() const noexcept
    {
        return tokens_ >= cost;
    }

    /// Takes an extra attempt from the budget, or returns false.
    bool try_take() noexcept
    {
        if (!has_attempt())
        {
            return false;
        }
        tokens_ -= cost;
        return true;
    }

private:
    static constexpr std::uint64_t cost = 1'000;
    // Lets a service with a few requests per second retry at all.
    static constexpr std::uint32_t default_burst = 10;

    std::uint64_t permille_;
    std::uint64_t capacity_;
    std::uint64_t tokens_;
};

} // namespace fuchsiaproxy::limits

#endif
