#ifndef FUCHSIAPROXY_BASE_IDS_HPP
#define FUCHSIAPROXY_BASE_IDS_HPP

#include <cstdint>

#include "fuchsiaproxy/base/strong_type.hpp"

namespace fuchsiaproxy::base
{

/// A region, such as "harju".
using region_id = string_id<struct region_tag>;
/// An availability zone, such as "harju-a".
using availability_zone_id = string_id<struct availability_zone_tag>;
/// An organisation that shares the global setup.
using organisation_id = string_id<struct organisation_tag>;
/// A service that callers send requests to.
using service_id = string_id<struct service_tag>;
/// A customer of the operators, whose callers authenticate with its API keys.
using tenant_id = string_id<struct tenant_tag>;
/// A group of upstreams of one service in one availability zone.
using place_id = string_id<struct place_tag>;
/// One upstream process, with its own slots.
using upstream_id = string_id<struct upstream_tag>;
/// One entry instance.
using instance_id = string_id<struct instance_tag>;
/// A person or program that administers the system.
using operator_id = string_id<struct operator_tag>;
/// A limit on the traffic that may be moved between regions or places.
using cap_id = string_id<struct cap_tag>;
/// A planned shift of traffic between two places.
using shift_id = string_id<struct shift_tag>;
/// A planned drain of a place.
using drain_id = string_id<struct drain_tag>;
/// A command of an operator. Ids are never reused, so that applying a command is idempotent.
using command_id = string_id<struct command_tag>;

/// Number that is unique to one run of an instance's process.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;
/// Version of the configuration; grows by one with each accepted change. Zero means none.
using config_version = strong_type<struct config_version_tag, std::uint64_t>;
/// Number of one attempt, unique within an engine.
using attempt_id = strong_type<struct attempt_tag, std::uint64_t>;
/// Number of one caller's request within an entry, unique within an incarnation.
using local_request_id = strong_type<struct local_request_tag, std::uint64_t>;

} // namespace fuchsiaproxy::base

#endif
