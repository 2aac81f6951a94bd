#ifndef FUCHSIAPROXY_STEERING_PEER_LOAD_HPP
#define FUCHSIAPROXY_STEERING_PEER_LOAD_HPP

#include <cstdint>
#include <vector>

#include "fuchsiaproxy/allowances/usage.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/steering/records.hpp"

namespace fuchsiaproxy::steering
{

/// Identifies an upstream in messages between entries: the low 32 bits of a hash of its id.
using upstream_tag = std::uint32_t;

/// Load and service time of one upstream, as one entry reports them.
struct upstream_load
{
    upstream_tag upstream = 0;
    /// Attempts of the reporting entry that have not ended.
    std::uint32_t in_flight = 0;
    /// Current work time on the upstream's machine, in percent of the usual time. 0 if the entry
    /// has no new report of it.
    std::uint32_t service_time_percent = 0;
    /// Expected remaining work of the reporting entry's open attempts. 0 if it is unknown, as from
    /// entries of an older version.
    base::duration open_work{};
};

using allowances::entry_tag;
using allowances::tenant_tag;
using allowances::tenant_usage;

/// Load message of one entry. Upstreams that are not listed have no open attempts of that entry.
struct peer_load
{
    base::instance_id from;
    /// Increases with each message, also from one process to the next; messages may arrive out of
    /// order. See `allowances::first_sequence`.
    std::uint64_t sequence = 0;
    std::vector<upstream_load> upstreams;
    /// Tenants that this entry has served recently.
    std::vector<tenant_usage> tenants{};
    /// Latest control-plane position that the entry has applied.
    control_position position{};
    /// Live entries that this entry has not heard from recently; empty if no tenant has a limit.
    std::vector<entry_tag> unheard{};
};

} // namespace fuchsiaproxy::steering

#endif
