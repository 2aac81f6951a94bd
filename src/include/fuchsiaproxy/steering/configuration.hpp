#ifndef FUCHSIAPROXY_STEERING_CONFIGURATION_HPP
#define FUCHSIAPROXY_STEERING_CONFIGURATION_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fuchsiaproxy/access/key_table.hpp"
#include "fuchsiaproxy/access/tenant.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/units.hpp"

namespace fuchsiaproxy::steering
{

/// A service and its weight in the traffic split of a route.
struct weighted_service
{
    base::service_id service;
    std::uint32_t weight = 1;
};

/// Matching rule of a route, and the objectives that operators set for its requests.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    bool idempotent = false;
    /// Whether answers are large. Such routes are idempotent.
    bool is_download = false;
    /// Whether requests need no API key.
    bool is_public = false;
    /// Maximum time that a request may take.
    base::duration timeout{};
    /// Answers within this time count as on time.
    base::duration latency_goal{};
    /// Zero is the highest priority.
    std::uint32_t priority = 0;
    /// At least one; the weights are positive.
    std::vector<weighted_service> split;
    /// Maximum number of upstreams to which one request may be sent.
    std::uint32_t max_attempts = 1;
    /// Whether upstreams serve recently served objects faster, so that requests for one object
    /// should go to the same upstream.
    bool affinity = false;
    /// Empty when every region is allowed.
    std::vector<base::region_id> allowed_regions;
};

/// Operator-declared properties of a service.
struct service
{
    base::service_id id;
    std::string health_path;
    /// Maximum number of connections that one upstream accepts from all entries together.
    std::uint32_t max_connections = 0;
    /// Warm-up time of an upstream after its start, and the request rate that it tolerates during
    /// that time.
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

/// A configuration that operators have accepted. Immutable once it is in force.
struct configuration
{
    base::config_version version;
    std::vector<route> routes;
    std::unordered_map<base::service_id, service> services;
    caller_limits limits;
    /// Empty if callers need no API keys.
    std::vector<access::tenant> tenants;
    /// Keys of the tenants; null if the director is to build the table, which takes longer with
    /// many keys.
    std::shared_ptr<access::key_table const> api_keys;

    /// Returns whether the configuration has tenants or download routes. Entries then choose
    /// upstreams by zone and by the learned cost of requests. Thread safe.
    bool has_uneven_demand() const;
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
