#ifndef FUCHSIAPROXY_STEERING_PEER_LOAD_HPP
#define FUCHSIAPROXY_STEERING_PEER_LOAD_HPP

#include <cstdint>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/steering/records.hpp"

namespace fuchsiaproxy::steering
{

/// Short name of an upstream in messages between entries: the low bits of a hash of its id.
using upstream_tag = std::uint32_t;

/// What one entry knows of one upstream.
struct upstream_load
{
    upstream_tag upstream = 0;
    /// Attempts of the entry that have not ended.
    std::uint32_t in_flight = 0;
    /// Time that work takes on the upstream's machine, in percent of the usual time, if the entry
    /// has heard of it lately; 0 otherwise.
    std::uint32_t pace_percent = 0;
};

/// The load that one entry puts on the upstreams. Upstreams that are not named have none of it.
struct peer_load
{
    base::instance_id from;
    /// Grows with each message of one process; messages may arrive out of order.
    std::uint64_t sequence = 0;
    std::vector<upstream_load> upstreams;
    /// How far the entry has followed the control plane.
    control_revision revision{};
};

} // namespace fuchsiaproxy::steering

#endif
