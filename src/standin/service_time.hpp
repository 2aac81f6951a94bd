#ifndef FUCHSIAPROXY_STANDIN_SERVICE_TIME_HPP
#define FUCHSIAPROXY_STANDIN_SERVICE_TIME_HPP

#include <cstdint>
#include <random>

#include "fuchsiaproxy/standin/upstream.hpp"

namespace fuchsiaproxy::standin
{

/// Generates random service times for one upstream.
class service_time_source
{
public:
    explicit service_time_source(std::uint64_t seed) : random_(seed) {}

    /// Returns the service time of a request that starts at `now`, after `started` earlier requests
    /// of the upstream.
    base::duration draw(upstream_settings const& settings, std::uint64_t started,
                        base::time_point now);

private:
    double draw_factor(service_time_shape shape);

    std::mt19937_64 random_;
};

} // namespace fuchsiaproxy::standin

#endif
