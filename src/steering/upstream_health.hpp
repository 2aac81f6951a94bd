#ifndef FUCHSIAPROXY_STEERING_UPSTREAM_HEALTH_HPP
#define FUCHSIAPROXY_STEERING_UPSTREAM_HEALTH_HPP

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "fuchsiaproxy/steering/director_settings.hpp"
#include "fuchsiaproxy/steering/peer_load.hpp"

namespace fuchsiaproxy::steering
{

/// How often an upstream fails and how much slower than expected it works, learned from the
/// attempts of all entries. Both fade while nothing is heard, so that an upstream is tried again.
///
/// Thread safety: none.
class upstream_health
{
public:
    /// Takes outcomes of this entry or of another one.
    void take(upstream_outcome const& it, director_settings const& settings, base::time_point now)
    {
        if (it.finished == 0)
        {
            return;
        }
        fade(settings, now);
        auto const kept = std::pow(1 - settings.outcome_gain, it.finished);
        auto const failed = std::min(1.0, static_cast<double>(it.failed) / it.finished);
        failure_rate_ = failed + (failure_rate_ - failed) * kept;
        auto const time = std::log(std::max(it.time_percent, least_time_percent) / 100.0);
        log_time_ = time + (log_time_ - time) * kept;
    }

    /// Notes the end of an attempt of this entry, to be told to the others.
    void note(bool failed, double time_ratio, director_settings const& settings,
              base::time_point now)
    {
        auto const percent =
            std::clamp(time_ratio * 100, double{least_time_percent}, double{most_time_percent});
        take({0, 1, failed ? 1U : 0U, static_cast<std::uint32_t>(percent)}, settings, now);
        ++untold_.finished;
        untold_.failed += failed ? 1 : 0;
        untold_percent_ += percent;
    }

    /// Returns the outcomes that the others have not been told of, and forgets them.
    upstream_outcome take_untold(upstream_tag upstream)
    {
        auto made = untold_;
        made.upstream = upstream;
        if (made.finished > 0)
        {
            made.time_percent = static_cast<std::uint32_t>(untold_percent_ / made.finished);
        }
        untold_ = {};
        untold_percent_ = 0;
        return made;
    }

    double failure_rate(director_settings const& settings, base::time_point now) const
    {
        return failure_rate_ * weight(settings, now);
    }

    /// Returns the factor by which it works slower than expected; 1 is usual.
    double slowness(director_settings const& settings, base::time_point now) const
    {
        auto const factor = std::exp(log_time_ * weight(settings, now));
        return factor < settings.least_slowness ? 1 : factor;
    }

private:
    // Answers that come at once say little; stragglers say nothing of others.
    static constexpr std::uint32_t least_time_percent = 30;
    static constexpr std::uint32_t most_time_percent = 800;

    double weight(director_settings const& settings, base::time_point now) const
    {
        auto const age = std::chrono::duration<double>(now - heard_at_);
        auto const memory = std::chrono::duration<double>(settings.outcome_memory);
        return std::exp(-age.count() / memory.count());
    }

    void fade(director_settings const& settings, base::time_point now)
    {
        auto const kept = weight(settings, now);
        failure_rate_ *= kept;
        log_time_ *= kept;
        heard_at_ = now;
    }

    double failure_rate_ = 0;
    /// Logarithm of the time that attempts take, relative to what was expected.
    double log_time_ = 0;
    base::time_point heard_at_{};
    upstream_outcome untold_{};
    double untold_percent_ = 0;
};

} // namespace fuchsiaproxy::steering

#endif
