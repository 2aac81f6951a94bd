#ifndef FUCHSIAPROXY_STEERING_RECORDS_HPP
#define FUCHSIAPROXY_STEERING_RECORDS_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/store_position.hpp"
#include "fuchsiaproxy/base/suspension_clock.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/units.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "fuchsiaproxy/steering/configuration.hpp"

namespace fuchsiaproxy::steering
{

/// Position of the control plane's data. Increases with each change, and with each return of the
/// store from an older copy.
using control_position = base::store_position;

/// Discovery record of one upstream.
struct upstream_record
{
    base::upstream_id id;
    /// Start time of the process, in Unix milliseconds; zero if unknown. It differs for an upstream
    /// that was restarted under the same id.
    std::uint64_t started_at_ms = 0;
    /// Number of this report among those of the process; a lower one is older.
    std::uint64_t sequence = 0;
    base::service_id service;
    model::endpoint at;
    base::availability_zone_id zone;
    std::uint32_t slots = 1;
    /// Whether the upstream is draining, that is, accepts no new requests.
    bool draining = false;
    /// Remaining warm-up time when the record was written.
    base::duration remaining_warm_up{};
};

/// Record that an entry publishes about itself.
struct entry_record
{
    base::instance_id id;
    base::availability_zone_id zone;
    base::region_id region;
    /// Address that callers connect to.
    std::string address;
    /// Endpoint that receives load messages of other entries.
    model::endpoint peer_endpoint;
};

/// Event: the complete list of upstreams in discovery.
struct upstreams_listed
{
    std::vector<upstream_record> all;
};

/// Event: an upstream's discovery record was added or changed.
struct upstream_changed
{
    upstream_record it;
};

/// Event: an upstream's discovery record was removed.
struct upstream_removed
{
    base::upstream_id id;
};

/// Event: the complete list of live entries.
struct entries_listed
{
    std::vector<entry_record> all;
};

/// Event: an entry has appeared or changed.
struct entry_changed
{
    entry_record it;
};

/// Event: an entry has left, or its lease has expired.
struct entry_removed
{
    base::instance_id id;
};

/// Event: the complete set of zones whose upstreams get no new requests, from a listing.
struct zones_evacuated
{
    std::set<base::availability_zone_id> zones;
};

/// Event: a zone was evacuated, or its evacuation was taken back.
struct evacuation_changed
{
    base::availability_zone_id zone;
    bool evacuated = false;
};

/// Event: operators have accepted a configuration.
struct configuration_accepted
{
    std::shared_ptr<configuration const> it;
};

/// Event: this entry no longer follows the store, as a call has failed.
struct store_lost
{
};

/// Event: this entry follows the store again. The store was last known to be unreachable at
/// `last_unavailable_at`, and was away for no longer than `longest_silence`.
struct store_regained
{
    base::time_point last_unavailable_at;
    base::duration longest_silence = base::duration::max();
};

/// Event: the store has returned from an older copy; a listing follows. It was last known not to
/// have returned at `last_unavailable_at`.
struct store_restored
{
    base::time_point last_unavailable_at;
};

/// Event: all changes up to a control-plane position have been delivered.
struct caught_up
{
    control_position at;
};

/// Event: the events delivered so far include all changes that the store had confirmed by `as_of`.
struct followed
{
    base::time_point as_of;
    /// The same time on the clock that counts suspension. Whoever delivers the event restates
    /// `as_of` from it, since the machine may be suspended at any moment after this.
    std::optional<base::suspension_time_point> counted_as_of{};
};

/// Event from the control plane.
using control_event = std::variant<upstreams_listed, upstream_changed, upstream_removed,
                                   entries_listed, entry_changed, entry_removed, zones_evacuated,
                                   evacuation_changed, configuration_accepted, store_lost,
                                   store_regained, store_restored, caught_up, followed>;

} // namespace fuchsiaproxy::steering

#endif
