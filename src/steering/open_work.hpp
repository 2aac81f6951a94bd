#ifndef FUCHSIAPROXY_STEERING_OPEN_WORK_HPP
#define FUCHSIAPROXY_STEERING_OPEN_WORK_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include "cost_model.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::steering
{

/// An attempt of this entry that has not ended, with its expected cost.
struct open_attempt
{
    base::attempt_id id;
    base::time_point started;
    /// Expected wait for a slot, in seconds.
    double wait = 0;
    /// Expected work at the usual speed of the upstream.
    work_estimate work;
    /// Slowness of the upstream that was known when the attempt started.
    double slowdown = 1;
};

/// Open attempts of this entry at one upstream, and whether the upstream counts as slow because of
/// them. The values follow from the time, so a slow upstream is noticed before any attempt ends.
///
/// Thread safety: none.
class open_work
{
public:
    void add(open_attempt const& it);
    /// Removes an attempt that ended at `ended_at`, or was answered then. If it was answered before
    /// it counted as a straggler, attempts that ended as overdue before are forgotten, and if it
    /// was also started after the upstream began to count as slow, that ends.
    void remove(base::attempt_id id, base::time_point ended_at, bool answered, double slowdown);

    /// Returns the expected remaining work in seconds while the upstream's work takes `slowdown`
    /// times as long as usual. A straggler counts as `straggler_rest` times its expected work.
    double remaining(base::time_point now, double slowdown, double straggler_rest) const;

    /// Finds out whether the upstream is slow: more attempts are overdue, or ended so lately, than
    /// `overdue_share`, the usual fraction of overdue attempts among the open ones, explains.
    void update(base::time_point now, double slowdown, double overdue_share);

    /// Returns by how many times the upstream is slower than expected, 1 if it does not count as
    /// slow. After the last overdue attempt has ended it returns to 1 with time.
    double slowness(base::time_point now) const;
    bool counts_as_slow() const;
    /// Returns whether a request was sent, and is open, since the upstream began to count as slow.
    bool has_open_probe() const;

    std::size_t size() const
    {
        return open_.size();
    }

private:
    /// An attempt that was overdue when it ended: second attempts that win cancel the first, so the
    /// open ones alone would not show that an upstream is slow.
    struct overdue_end
    {
        base::time_point at;
        /// Time for which it ran, as a multiple of its expected work.
        double ratio = 1;
    };

    std::vector<open_attempt> open_;
    /// Oldest first.
    std::vector<overdue_end> overdue_ends_;
    std::optional<base::time_point> slow_since_;
    base::time_point last_overdue_;
    double slowness_ = 1;
};

} // namespace fuchsiaproxy::steering

#endif
