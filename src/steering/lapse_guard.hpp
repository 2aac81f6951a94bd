#ifndef FUCHSIAPROXY_STEERING_LAPSE_GUARD_HPP
#define FUCHSIAPROXY_STEERING_LAPSE_GUARD_HPP

#include <algorithm>
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
    /// `grace` is the time after the store's return within which records come back; `limit` bounds
    /// it from the time at which the store was last known to be away.
    lapse_guard(base::duration grace, base::duration limit) : grace_(grace), limit_(limit) {}

    void store_lost()
    {
        reachable_ = false;
    }

    void store_regained(base::time_point away_at, base::time_point now)
    {
        reachable_ = true;
        kept_until_ = std::min(now + grace_, away_at + limit_);
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
    base::duration limit_;
    bool reachable_ = true;
    base::time_point kept_until_ = base::time_point::min();
};

} // namespace fuchsiaproxy::steering

#endif
