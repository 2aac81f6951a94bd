#ifndef FUCHSIAPROXY_SETTINGS_DAEMON_SETTINGS_HPP
#define FUCHSIAPROXY_SETTINGS_DAEMON_SETTINGS_HPP

#include <cstddef>
#include <cstdint>
#include <string>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::settings
{

/// Identity and location of the entry.
struct instance_settings
{
    base::instance_id id;
    base::region_id region;
    base::availability_zone_id zone;
};

/// Addresses that the entry listens on.
struct listen_settings
{
    model::endpoint callers;
    model::endpoint peers;
    model::endpoint operators;
};

/// Addresses at which others reach the entry; an empty one means the listen address.
struct advertise_settings
{
    std::string callers;
    std::string peers;
};

/// Addresses of the platform's services, and the time limit of one call to them.
struct platform_settings
{
    model::endpoint store;
    model::endpoint instances;
    base::duration call_timeout{};
};

/// Limits on connections, queues and memory.
struct limit_settings
{
    std::size_t caller_connections = 0;
    std::size_t caller_connections_per_address = 0;
    std::size_t body_bytes = 0;
    std::size_t buffers = 0;
    std::size_t queued_requests = 0;
    std::size_t ring_items = 0;
    std::size_t request_records = 0;
    std::size_t connections_per_upstream = 0;
};

/// Timeouts, periods and lifetimes.
struct timing_settings
{
    base::duration lookup_ttl{};
    base::duration drain_bound{};
    base::duration claim_timeout{};
    base::duration heartbeat_period{};
    base::duration lost_after{};
    base::duration header_timeout{};
    base::duration idle_limit{};
    base::duration connect_limit{};
    base::duration pooled_idle_limit{};
};

/// All settings of the daemon.
struct daemon_settings
{
    instance_settings instance;
    listen_settings listen;
    advertise_settings advertise;
    platform_settings platform;
    std::string peer_secret;
    limit_settings limits;
    timing_settings timing;
    std::string log_level;
    /// Seed of the random number generators; zero means that the daemon picks one.
    std::uint64_t seed = 0;
};

} // namespace fuchsiaproxy::settings

#endif
