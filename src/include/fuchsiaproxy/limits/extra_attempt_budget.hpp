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

/// Token bucket that limits extra attempts to a fraction of the first attempts.
///
/// After n first attempts, at most `burst + n * permille / 1000` extra attempts were allowed. It is
/// refilled by first attempts and not by time, so extra attempts cannot amplify an overload.
/// Thread safety: none.
class extra_attempt_budget
{
public:
    /// Creates a full bucket with a capacity of `burst` attempts.
    explicit extra_attempt_budget(std::uint32_t permille, std::uint32_t burst = default_burst)
        : extra_attempt_budget(permille, burst, burst)
    {
    }

    /// Creates a bucket that holds `first` attempts and has a capacity of `burst`. Precondition:
    /// `first <= burst`.
    extra_attempt_budget(std::uint32_t permille, std::uint32_t burst, std::uint32_t first)
        : permille_(permille), capacity_(std::uint64_t{burst} * cost),
          tokens_(std::uint64_t{first} * cost)
    {
    }

    /// Changes the capacity and discards tokens above it.
    void set_burst(std::uint32_t burst) noexcept
    {
        capacity_ = std::uint64_t{burst} * cost;
        tokens_ = std::min(tokens_, capacity_);
    }

    /// Refills the bucket for a first attempt.
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
    // Allows retries for a service with only a few requests per second.
    static constexpr std::uint32_t default_burst = 10;

    std::uint64_t permille_;
    std::uint64_t capacity_;
    std::uint64_t tokens_;
};

} // namespace fuchsiaproxy::limits

#endif
