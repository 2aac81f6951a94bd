#ifndef FUCHSIAPROXY_STEERING_LAPSE_GUARD_HPP
#define FUCHSIAPROXY_STEERING_LAPSE_GUARD_HPP

#include <optional>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::steering
{

/// Tells records that were removed from those that may only have lapsed because the store was away
/// and that may come back shortly after its return.
///
/// Thread safety: none.
class lapse_guard
{
public:
    /// `grace` is the time after the store's return within which records come back.
    explicit lapse_guard(base::duration grace) : grace_(grace) {}

    /// Takes the news that the store answers or does not. Returns true when it has just returned.
    bool store_reachable(bool reachable, base::time_point now)
    {
        auto const returned = reachable && !reachable_;
        if (returned)
        {
            kept_until_ = now + grace_;
        }
        reachable_ = reachable;
        return returned;
    }

    bool is_reachable() const
    {
        return reachable_;
    }

    /// Returns until when a record that is missing at `now` is kept; nothing if it has gone.
    std::optional<base::time_point> kept_until(base::time_point now) const
    {
        if (!reachable_)
        {
            return now + grace_;
        }
        return now < kept_until_ ? std::optional<base::time_point>(kept_until_) : std::nullopt;
    }

    /// Returns whether a record that is kept until `due` has gone at `now`.
    bool is_over(std::optional<base::time_point> const& due, base::time_point now) const
    {
        return reachable_ && due && now >= *due;
    }

private:
    base::duration grace_;
    bool reachable_ = true;
    base::time_point kept_until_ = base::time_point::min();
};

} // namespace fuchsiaproxy::steering

#endif
