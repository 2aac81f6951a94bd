#include "service_time.hpp"

#include <cmath>

namespace fuchsiaproxy::standin
{

double service_time_source::draw_factor(service_time_shape shape)
{
    constexpr double sigma = 0.5;
    switch (shape)
    {
    case service_time_shape::exponential:
        return std::exponential_distribution<double>(1.0)(random_);
    case service_time_shape::lognormal:
        return std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(random_);
    case service_time_shape::constant:
        break;
    }
    return 1;
}

base::duration service_time_source::draw(upstream_settings const& settings, std::uint64_t started,
                                         base::time_point now)
{
    auto factor = draw_factor(settings.shape);
    // Always consumes a random number, so that a change of `straggler_share` does not change the
    // random numbers of later requests.
    if (std::uniform_real_distribution<double>(0, 1)(random_) < settings.straggler_share)
    {
        factor *= settings.straggler_factor;
    }
    if (started < settings.cold_requests)
    {
        auto const left =
            1 - static_cast<double>(started) / static_cast<double>(settings.cold_requests);
        factor *= 1 + (settings.cold_factor - 1) * left;
    }
    bool const has_slow_periods = settings.slow_every > base::duration::zero();
    if (has_slow_periods && now.time_since_epoch() % settings.slow_every < settings.slow_for)
    {
        factor *= settings.slow_factor;
    }
    auto const ns = static_cast<double>(settings.service_time.count()) * factor;
    return base::duration(static_cast<base::duration::rep>(ns));
}

} // namespace fuchsiaproxy::standin
