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
    /// An entry that was not heard of for this long is taken as lost.
    base::duration lost_after = std::chrono::seconds(3);
    /// Period of the digests between hubs of different regions.
    base::duration far_digest_period = std::chrono::seconds(2);
    /// How long a leaving upstream stays known after the last report of it.
    base::duration leaving_kept_for = std::chrono::seconds(30);
};

/// An entry that the platform's instance list names, before anything was heard from it.
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

/// This entry became a hub (watch the store, read the instance list) or ceased to be one.
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

/// The incarnation of `id` has ended: a newer one was heard.
struct incarnation_ended
{
    base::instance_id id;
    base::incarnation last;
};

using fleet_action = std::variant<send_message, use_address, hub_role_changed,
                                  offered_configuration, view_changed, incarnation_ended>;
using fleet_actions = std::vector<fleet_action>;

/// What one entry knows of the others, and its part in spreading views and configurations.
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

    /// Takes the entries of the platform's instance list, which may lag. Entries that nothing was
    /// heard from are asked for what they know.
    void on_seeds(std::vector<seed_entry> const& seeds, base::time_point now, fleet_actions& out);

    /// Records the configuration in force here. A hub pushes it to the members of its zone that are
    /// behind. Precondition: `version` is not lower than that of an earlier call.
    void on_adopted(base::config_version version, std::string document, base::time_point now,
                    fleet_actions& out);

    /// Records that an upstream is leaving and tells the hubs and, as a hub, the members.
    void on_upstream_leaving(base::upstream_id const& id, base::time_point now, fleet_actions& out);

    /// Updates what others are told of this entry.
    void set_self(bool draining, base::instance_id witness, base::incarnation witness_incarnation,
                  std::uint32_t generation, std::uint32_t load_permille);

    /// Sends what is due, drops lost entries. Call at least four times per heartbeat period.
    void tick(base::time_point now, fleet_actions& out);

    /// Returns the first hub of this entry's availability zone; empty before the first `tick`.
    base::instance_id first_hub() const
    {
        return hubs_.empty() ? base::instance_id() : hubs_.front();
    }

    /// Returns the hubs of all availability zones that are known, without this entry.
    std::vector<base::instance_id> all_hubs() const;

    /// Returns how long ago the last sign of life of `id` was heard; zero for this entry and for
    /// unknown ones.
    base::duration silent_for(base::instance_id const& id, base::time_point now) const;

    /// Returns this entry followed by the live others.
    std::vector<messages::entry_info> live_entries() const;

    /// Returns the upstreams known to be leaving.
    std::vector<base::upstream_id> leaving_upstreams() const;

    /// Returns up to `count` entries for callers in `zone` of `region`: nearest first, draining
    /// ones left out, loaded ones later, equal ones in an order that depends on `salt`.
    std::vector<messages::entry_info> look_up(base::region_id const& region,
                                              base::availability_zone_id const& zone,
                                              std::uint64_t salt, std::size_t count) const;

    /// Returns the live entry that suits best as witness among those that `usable` accepts: by
    /// preference of the same region and another availability zone; null when there is none.
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
        /// Until then the report is passed on in digests: this entry or a member made it. Reports
        /// from digests are not passed on, or hubs would repeat them to each other for ever.
        base::time_point first_hand_until;
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

    void ask(base::instance_id const& id, std::string const& peer_address, fleet_actions& out);
    void introduce(messages::entry_info const& entry, fleet_actions& out);
    void learn(messages::entry_info const& info, base::time_point now, fleet_actions& out);
    void note_version(base::instance_id const& from, base::config_version version,
                      base::time_point now, fleet_actions& out);
    bool note_leaving(base::upstream_id const& id, bool first_hand, base::time_point now,
                      fleet_actions& out);
    bool expire_leaving(base::time_point now);
    void spread_leaving(base::upstream_id const& id, bool to_hubs, fleet_actions& out);
    void remove_unless_listed(base::instance_id const& id);
    bool trusts(base::availability_zone_id const& sender,
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
    /// Entries by availability zone for look-ups, made anew when the table has a new revision.
    mutable std::map<base::availability_zone_id, zone_entries> zone_index_;
    mutable std::uint64_t zone_index_revision_ = 0;
    std::map<base::instance_id, hub_sync> syncs_;
    std::map<base::upstream_id, leaving_entry> leaving_;
    base::config_version fetching_;
    base::time_point fetch_again_at_;
    std::vector<base::instance_id> hubs_;
    bool is_hub_ = false;
    base::time_point next_heartbeat_;
    base::time_point next_far_digest_;
};

} // namespace fuchsiaproxy::fleet

#endif
