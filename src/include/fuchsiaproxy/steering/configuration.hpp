#ifndef FUCHSIAPROXY_STEERING_CONFIGURATION_HPP
#define FUCHSIAPROXY_STEERING_CONFIGURATION_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/units.hpp"

namespace fuchsiaproxy::steering
{

/// One of the services among which the requests of a route are split.
struct weighted_service
{
    base::service_id service;
    std::uint32_t weight = 1;
};

/// Which requests a route takes, and what operators promise for them.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    bool idempotent = false;
    /// Longest time for which a request may be kept waiting.
    base::duration timeout{};
    /// Time within which an answer is on time.
    base::duration latency_goal{};
    /// Zero is the highest.
    std::uint32_t priority = 0;
    /// At least one; the weights are positive.
    std::vector<weighted_service> split;
    /// Upstreams to which one request may be sent.
    std::uint32_t max_attempts = 1;
    /// Upstreams serve an object faster that they have served lately.
    bool affinity = false;
    /// Empty when every region is allowed.
    std::vector<base::region_id> allowed_regions;
};

/// What operators declare of a service.
struct service
{
    base::service_id id;
    std::string health_path;
    /// Connections that one upstream accepts from all entries together.
    std::uint32_t max_connections = 0;
    /// For how long an upstream is cold after its start, and the rate that it tolerates meanwhile.
    base::duration cold_start{};
    double cold_requests_per_s = 0;
};

/// Bounds on what callers may send.
struct caller_limits
{
    std::uint64_t max_body_bytes = 0;
    base::duration header_timeout{};
    base::duration idle_timeout{};
};

/// A configuration that operators have accepted. A value; it never changes once it is in force.
struct configuration
{
    base::config_version version;
    std::vector<route> routes;
    std::unordered_map<base::service_id, service> services;
    caller_limits limits;
};

/// Finds the route of a request: the one of its host with the longest prefix.
///
/// Thread safety: `find` on any thread.
class route_index
{
public:
    route_index() = default;

    /// Builds the index. `routes` must outlive it.
    explicit route_index(std::vector<route> const& routes);

    /// Returns the route of `host` and `path`, or null. The host's port is ignored.
    route const* find(std::string_view host, std::string_view path) const;

private:
    /// Routes of one host by prefix.
    using by_prefix = std::unordered_map<std::string_view, route const*>;

    std::unordered_map<std::string_view, by_prefix> hosts_;
};

} // namespace fuchsiaproxy::steering

#endif
