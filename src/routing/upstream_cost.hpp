#ifndef FUCHSIAPROXY_ROUTING_UPSTREAM_COST_HPP
#define FUCHSIAPROXY_ROUTING_UPSTREAM_COST_HPP

#include <cstdint>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::routing
{

/// Expected duration of an attempt, by component.
struct upstream_cost
{
    base::duration network{};
    base::duration transfer{};
    base::duration service{};

    base::duration total() const noexcept
    {
        return network + transfer + service;
    }
};

/// Slowness below this value is noise of the median of eight service times; taking it into account
/// would send work to other zones without need.
constexpr float slowness_noise = 2.0F;

/// Returns the cost of an upstream at `round_trip`, with a link of `bits_per_second` in between (0
/// for none), for `bytes` of data and a class whose mean service time is `mean`.
inline upstream_cost estimate_cost(base::duration round_trip, std::uint64_t bits_per_second,
                                   std::uint64_t bytes, base::duration mean,
                                   float slowness) noexcept
{
    upstream_cost it;
    it.network = round_trip;
    if (bits_per_second > 0)
    {
        auto const seconds = static_cast<double>(bytes) * 8 / static_cast<double>(bits_per_second);
        it.transfer = base::duration(static_cast<base::duration::rep>(seconds * 1e9));
    }
    it.service = mean;
    if (slowness > slowness_noise)
    {
        it.service = base::duration(
            static_cast<base::duration::rep>(static_cast<double>(mean.count()) * slowness));
    }
    return it;
}

} // namespace fuchsiaproxy::routing

#endif
