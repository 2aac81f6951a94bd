#ifndef FUCHSIAPROXY_FLEET_FLEET_NODE_HPP
#define FUCHSIAPROXY_FLEET_FLEET_NODE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/fleet/entry_table.hpp"
#include "fuchsiaproxy/messages/messages.hpp"

namespace fuchsiaproxy::fleet
{

/// Intervals of the exchange between entries.
struct fleet_settings
{
    /// Period of heartbeats and pulls.
    base::duration heartbeat_period = std::chrono::seconds(1);
    /// An entry whose last-heard time is older than this is removed as lost.
    base::duration lost_after = std::chrono::seconds(3);
    /// Period of the digests between hubs of different regions.
    base::duration cross_region_digest_period = std::chrono::seconds(2);
    /// How long a leaving upstream stays known after the last report of it.
    base::duration leaving_retention = std::chrono::seconds(30);
};

/// An entry as the platform's instance list names it, used to make the first contact.
struct seed_entry
{
    base::instance_id id;
    std::string peer_address;
};

using messages::send_message;

/// The peer address of an entry, to be used for later messages to it.
struct use_address
{
    base::instance_id id;
    std::string peer_address;
};

/// This entry became a hub or ceased to be one. A hub watches the store and reads the instance
/// list.
struct hub_role_changed
{
    bool is_hub = false;
};

/// The configuration document is to be checked and adopted.
struct offered_configuration
{
    base::config_version version;
    std::string document;
};

/// The set of live entries or of leaving upstreams changed.
struct view_changed
{
};

/// The incarnation `last` of `id` has ended: a newer one is known.
struct incarnation_ended
{
    base::instance_id id;
    base::incarnation last;
};

using fleet_action = std::variant<send_message, use_address, hub_role_changed,
                                  offered_configuration, view_changed, incarnation_ended>;
using fleet_actions = std::vector<fleet_action>;

/// Membership protocol of one entry: tracks the other entries by heartbeats and digests, and
/// distributes configurations and reports of leaving upstreams. Does no I/O: the caller carries out
/// the actions that the functions append to `out`.
///
/// Thread safety: none; owned by one thread.
class fleet_node
{
public:
    fleet_node(fleet_node const&) = delete;
    fleet_node& operator=(fleet_node const&) = delete;

    /// Creates the node of the entry `self`. `self.incarnation` is greater than that of every
    /// earlier process of the same instance.
    fleet_node(fleet_settings settings, messages::entry_info self, base::time_point now);

    /// Handles the message types heartbeat, pull, digest, config_push, config_fetch and leaving;
    /// ignores the others.
    void on_message(messages::envelope const& it, base::time_point now, fleet_actions& out);

    /// Processes the platform's instance list, which may be out of date. Requests the views of some
    /// of the listed entries that are not known yet.
    void on_seeds(std::vector<seed_entry> const& seeds, base::time_point now, fleet_actions& out);

    /// Records the configuration in force here. A hub pushes it to the members of its zone that are
    /// behind. Precondition: `version` is not lower than that of an earlier call.
    void on_configuration_adopted(base::config_version version, std::string document,
                                  base::time_point now, fleet_actions& out);

    /// Records that an upstream is leaving and reports it to the hubs of the zone or, on a hub, to
    /// the members and to the hubs of the other zones.
    void on_upstream_leaving(base::upstream_id const& id, base::time_point now, fleet_actions& out);

    /// Updates the description of this entry that others receive.
    void set_self(bool draining, base::instance_id witness, base::incarnation witness_incarnation,
                  std::uint32_t generation, std::uint32_t load_permille);

    /// Sends due heartbeats and pulls, and removes lost entries. Call at least four times per
    /// heartbeat period.
    void tick(base::time_point now, fleet_actions& out);

    /// Returns the first hub of this entry's availability zone; empty before the first `tick`.
    base::instance_id first_hub() const
    {
        return hubs_.empty() ? base::instance_id() : hubs_.front();
    }

    /// Returns the hubs of all availability zones that are known, without this entry.
    std::vector<base::instance_id> all_hubs() const;

    /// Returns the time since `id` was last heard from, directly or through a hub; zero for this
    /// entry and for unknown ones.
    base::duration time_since_last_contact(base::instance_id const& id, base::time_point now) const;

    /// Returns this entry followed by the live others.
    std::vector<messages::entry_info> live_entries() const;

    /// Returns the upstreams known to be leaving.
    std::vector<base::upstream_id> leaving_upstreams() const;

    /// Returns up to `count` entries for callers in `zone` of `region`: nearest first, at the same
    /// distance overloaded ones last, otherwise in an order that depends on `salt`. Draining
    /// entries and those without a configuration are left out.
    std::vector<messages::entry_info> look_up(base::region_id const& region,
                                              base::availability_zone_id const& zone,
                                              std::uint64_t salt, std::size_t count) const;

    /// Returns the most suitable witness among the live entries that `usable` accepts, or null when
    /// there is none. Prefers another availability zone of the same region, then the own zone.
    messages::entry_info const*
    best_witness(std::function<bool(messages::entry_info const&)> const& usable) const;

    /// Returns the entry's description as others see it.
    messages::entry_info const& self() const
    {
        return self_;
    }

    /// Returns whether this entry is a hub of its zone.
    bool is_hub() const
    {
        return is_hub_;
    }

    /// Returns the known entry or null; never the entry itself.
    messages::entry_info const* find(base::instance_id const& id) const;

private:
    struct hub_sync
    {
        base::incarnation incarnation;
        std::uint64_t revision = 0;
        std::set<base::instance_id> listed;
    };

    struct zone_entries
    {
        base::region_id region;
        std::vector<messages::entry_info const*> entries;
    };

    struct leaving_entry
    {
        base::time_point until;
        /// Until then digests include the report. Set only for reports that were made here or that
        /// a hub received in a `leaving` message: hubs that included reports from digests would
        /// keep renewing each other's, and these would never expire.
        base::time_point in_digests_until;
    };

    void handle(messages::envelope const& from, messages::heartbeat const& it, base::time_point now,
                fleet_actions& out);
    void handle(messages::envelope const& from, messages::pull const& it, base::time_point now,
                fleet_actions& out);
    void handle(messages::envelope const& from, messages::digest const& it, base::time_point now,
                fleet_actions& out);
    void handle(messages::envelope const& from, messages::config_push const& it,
                base::time_point now, fleet_actions& out);
    void handle(messages::envelope const& from, messages::config_fetch const& it,
                base::time_point now, fleet_actions& out);
    void handle(messages::envelope const& from, messages::leaving const& it, base::time_point now,
                fleet_actions& out);

    void request_view(base::instance_id const& id, std::string const& peer_address,
                      fleet_actions& out);
    void request_description(messages::entry_info const& entry, fleet_actions& out);
    void record_entry(messages::entry_info const& info, base::time_point now, fleet_actions& out);
    void fetch_if_newer(base::instance_id const& from, base::config_version version,
                        base::time_point now, fleet_actions& out);
    bool record_leaving(base::upstream_id const& id, bool include_in_digests, base::time_point now,
                        fleet_actions& out);
    bool expire_leaving(base::time_point now);
    void forward_leaving(base::upstream_id const& id, bool to_hubs, fleet_actions& out);
    void remove_unless_listed(base::instance_id const& id);
    bool is_authoritative(base::availability_zone_id const& sender,
                          base::availability_zone_id const& subject) const;
    void refresh_listed(hub_sync& sync, base::time_point now);
    void update_hubs(base::time_point now, fleet_actions& out);
    std::vector<base::instance_id> hubs_of(base::availability_zone_id const& zone) const;
    void send_heartbeats(fleet_actions& out);
    void pull_from_other_hubs(base::time_point now, fleet_actions& out);
    messages::pull pull_for(base::instance_id const& hub) const;
    void update_zone_index() const;

    fleet_settings settings_;
    messages::entry_info self_;
    std::string document_;
    entry_table table_;
    /// Entries by availability zone for look-ups, rebuilt when the table has a new revision.
    mutable std::map<base::availability_zone_id, zone_entries> zone_index_;
    mutable std::uint64_t zone_index_revision_ = 0;
    std::map<base::instance_id, hub_sync> syncs_;
    std::map<base::upstream_id, leaving_entry> leaving_;
    base::config_version fetching_;
    base::time_point fetch_again_at_;
    std::vector<base::instance_id> hubs_;
    bool is_hub_ = false;
    base::time_point next_heartbeat_;
    base::time_point next_cross_region_digest_;
};

} // namespace fuchsiaproxy::fleet

#endif
