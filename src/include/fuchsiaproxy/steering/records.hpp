#ifndef FUCHSIAPROXY_STEERING_RECORDS_HPP
#define FUCHSIAPROXY_STEERING_RECORDS_HPP

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/strong_type.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/units.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "fuchsiaproxy/steering/configuration.hpp"

namespace fuchsiaproxy::steering
{

/// How far an entry has followed the control plane. Grows with each change.
using control_revision = base::strong_type<struct control_revision_tag, std::uint64_t>;

/// What discovery says of one upstream.
struct upstream_record
{
    base::upstream_id id;
    /// Start of the process, in Unix milliseconds; zero if unknown. An upstream that starts again
    /// under its id has another one.
    std::uint64_t started_at_ms = 0;
    base::service_id service;
    model::endpoint at;
    base::availability_zone_id zone;
    std::uint32_t slots = 1;
    /// It takes no new work.
    bool draining = false;
    /// How much longer it was cold when the record was written.
    base::duration cold_for{};
};

/// What an entry publishes of itself.
struct entry_record
{
    base::instance_id id;
    base::availability_zone_id zone;
    base::region_id region;
    /// Where callers connect.
    std::string address;
    /// Where it takes loads from other entries.
    model::endpoint peers_at;
};

/// All upstreams that discovery lists.
struct upstreams_listed
{
    std::vector<upstream_record> all;
};

/// Discovery has a new record of an upstream.
struct upstream_changed
{
    upstream_record it;
};

/// Discovery has removed the record of an upstream.
struct upstream_removed
{
    base::upstream_id id;
};

/// All live entries.
struct entries_listed
{
    std::vector<entry_record> all;
};

/// An entry has appeared or changed.
struct entry_changed
{
    entry_record it;
};

/// An entry has left, or its lease has ended.
struct entry_removed
{
    base::instance_id id;
};

/// The zones whose upstreams get no work, all of them.
struct zones_evacuated
{
    std::set<base::availability_zone_id> zones;
};

/// Operators have accepted a configuration.
struct configuration_accepted
{
    std::shared_ptr<configuration const> it;
};

/// The store does not answer this entry.
struct store_lost
{
};

/// The store answers this entry again. It was still away at `away_at`.
struct store_regained
{
    base::time_point away_at;
};

/// All changes of the control plane up to a revision have been told.
struct caught_up
{
    control_revision at;
};

/// What the control plane tells an entry.
using control_event = std::variant<upstreams_listed, upstream_changed, upstream_removed,
                                   entries_listed, entry_changed, entry_removed, zones_evacuated,
                                   configuration_accepted, store_lost, store_regained, caught_up>;

} // namespace fuchsiaproxy::steering

#endif
