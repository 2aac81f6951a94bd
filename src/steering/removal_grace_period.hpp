#ifndef FUCHSIAPROXY_STEERING_REMOVAL_GRACE_PERIOD_HPP
#define FUCHSIAPROXY_STEERING_REMOVAL_GRACE_PERIOD_HPP

#include <algorithm>
#include <optional>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::steering
{

/// Delays the removal of records that may have expired only because the store was unreachable, and
/// that may reappear shortly after its recovery.
///
/// Thread safety: none.
class removal_grace_period
{
public:
    /// `grace` is the time after the store's recovery within which records may reappear; `limit`
    /// caps it, counted from the last time at which the store was known to be unreachable. In an
    /// outage shorter than `min_outage` no record expires.
    removal_grace_period(base::duration grace, base::duration limit, base::duration min_outage)
        : grace_(grace), limit_(limit), min_outage_(min_outage)
    {
    }

    void store_lost()
    {
        reachable_ = false;
    }

    /// See `steering::store_regained`. A record that is missing after a shorter interruption, such
    /// as a watch that was cut, was removed.
    void store_regained(base::time_point last_unavailable_at, base::duration longest_silence,
                        base::time_point now)
    {
        reachable_ = true;
        if (longest_silence >= min_outage_)
        {
            kept_until_ = std::min(now + grace_, last_unavailable_at + limit_);
        }
    }

    /// The store has returned from an older copy. It was last known not to have returned at
    /// `last_unavailable_at`. Until the end of the grace period a listing may contradict what was
    /// written after that copy.
    void store_restored(base::time_point last_unavailable_at, base::time_point now)
    {
        restored_ = true;
        kept_until_ = std::max(kept_until_, std::min(now + grace_, last_unavailable_at + limit_));
    }

    /// Returns whether the grace period after a return from an older copy has not ended. While the
    /// store is unreachable it does not end, since nothing can be written again.
    bool follows_restore(base::time_point now) const
    {
        return restored_ && (!reachable_ || now < kept_until_);
    }

    /// Returns when the grace period after a return from an older copy ends; the largest time if
    /// there is none, or if the store is unreachable.
    base::time_point restore_end() const
    {
        return restored_ && reachable_ ? kept_until_ : base::time_point::max();
    }

    /// Ends the grace period after a return from an older copy if it is over, so that a later
    /// outage is not taken for another return.
    void tick(base::time_point now)
    {
        restored_ = follows_restore(now);
    }

    bool is_reachable() const
    {
        return reachable_;
    }

    /// Returns the time until which a record missing at `now` is kept, or nothing if it is removed
    /// at once.
    std::optional<base::time_point> kept_until(base::time_point now) const
    {
        if (!reachable_)
        {
            return now + grace_;
        }
        return now < kept_until_ ? std::optional<base::time_point>(kept_until_) : std::nullopt;
    }

    /// Returns whether a record that is kept until `due` must be removed at `now`.
    bool is_due(std::optional<base::time_point> const& due, base::time_point now) const
    {
        return reachable_ && due && now >= *due;
    }

private:
    base::duration grace_;
    base::duration limit_;
    base::duration min_outage_;
    bool reachable_ = true;
    bool restored_ = false;
    base::time_point kept_until_ = base::time_point::min();
};

} // namespace fuchsiaproxy::steering

#endif
