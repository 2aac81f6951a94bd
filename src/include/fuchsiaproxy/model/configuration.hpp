#ifndef FUCHSIAPROXY_MODEL_CONFIGURATION_HPP
#define FUCHSIAPROXY_MODEL_CONFIGURATION_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/units.hpp"

namespace fuchsiaproxy::model
{

/// IP address and port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(endpoint const& a, endpoint const& b)
    {
        return a.port == b.port && a.address == b.address;
    }
};

/// Address and limits of one upstream process.
struct upstream
{
    base::upstream_id id;
    endpoint at;
    base::slot_count slots{1};
    /// Connections that the upstream accepts from all entries together.
    std::uint32_t max_connections = 0;
};

/// Upstreams of one service in one availability zone.
struct place
{
    base::place_id id;
    base::service_id service;
    base::availability_zone_id zone;
    std::vector<upstream> upstreams;
};

/// Requests of a service that are handled alike. A request belongs to the class with the longest
/// matching path prefix.
struct request_class
{
    std::string name;
    /// Empty matches every method.
    std::string method;
    std::string path_prefix;
    bool idempotent = false;
    base::request_weight weight{1};
    base::duration deadline{};
};

/// A service that callers send requests to.
struct service
{
    base::service_id id;
    base::organisation_id organisation;
    /// Never empty: the last class is the default.
    std::vector<request_class> classes;
    /// HTTP statuses with which an upstream rejects a request without executing it.
    std::vector<unsigned> shed_statuses;
    /// Service-level objective: fraction of the request weight to be served on time, in (0, 1).
    double objective = 0.999;
};

/// Unit of a cap's limit.
enum class cap_unit
{
    requests_per_second,
    kilobits_per_second
};

/// Source or destination of a cap: a region or a place, never both. Empty matches everything.
struct cap_end
{
    base::region_id region;
    base::place_id place;
};

/// Limit on the traffic that is moved from `from` to `to`.
struct cap
{
    base::cap_id id;
    base::organisation_id organisation;
    cap_end from;
    cap_end to;
    cap_unit unit = cap_unit::requests_per_second;
    std::uint64_t limit = 0;
    /// Part of the limit that the entries of each availability zone may use; the sum is at most
    /// `limit`.
    std::map<base::availability_zone_id, std::uint64_t> split;
};

/// Planned shift of a service's traffic between two places.
struct shift
{
    base::shift_id id;
    base::organisation_id organisation;
    base::service_id service;
    base::place_id from;
    base::place_id to;
    /// Share of the traffic of `from` that goes to `to`, 0 to 100.
    std::uint32_t percent = 0;
};

/// Planned drain of a place: it receives no new requests.
struct drain
{
    base::drain_id id;
    base::organisation_id organisation;
    base::place_id place;
};

/// Salted hash of an operator's key, in hexadecimal.
struct operator_key
{
    base::operator_id id;
    std::string salt;
    std::string hash;
};

/// An organisation that shares the global setup, with its operators.
struct member
{
    base::organisation_id id;
    std::vector<operator_key> operators;
};

/// Request of an organisation to join, with the members that approved it so far.
struct join_request
{
    base::organisation_id id;
    std::vector<operator_key> operators;
    std::vector<base::organisation_id> approvals;
};

/// An availability zone and its region.
struct availability_zone
{
    base::availability_zone_id id;
    base::region_id region;
};

/// One-way network delays.
struct network_delays
{
    base::duration between_zones{};
    base::duration between_regions{};
    base::duration to_callers{};
};

/// Everything that operators declare, at one version. Changes produce a new value.
struct configuration
{
    base::config_version version;
    std::vector<availability_zone> zones;
    network_delays delays;
    std::vector<member> members;
    std::vector<join_request> joins;
    std::vector<service> services;
    std::vector<place> places;
    std::vector<cap> caps;
    std::vector<shift> shifts;
    std::vector<drain> drains;
};

} // namespace fuchsiaproxy::model

#endif
