#include "fuchsiaproxy/fleet/fleet_node.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <limits>
#include <utility>

#include "fuchsiaproxy/fleet/rendezvous.hpp"

namespace fuchsiaproxy::fleet
{
namespace
{

// Two hubs for each availability zone: the loss of one does not delay a new configuration.
constexpr std::size_t hubs_per_zone = 2;

// Seeds contacted per round; limited so that a restart of many entries does not overload one seed.
constexpr std::size_t seeds_per_round = 3;

} // namespace

fleet_node::fleet_node(fleet_settings settings, messages::entry_info self, base::time_point now)
    : settings_(settings), self_(std::move(self)), next_heartbeat_(now),
      next_cross_region_digest_(now)
{
}

void fleet_node::on_message(messages::envelope const& it, base::time_point now, fleet_actions& out)
{
    if (it.from == self_.id)
    {
        return;
    }
    auto const revision = table_.revision();
    std::visit(
        [&](auto const& body)
        {
            using type = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<type, messages::heartbeat> ||
                          std::is_same_v<type, messages::pull> ||
                          std::is_same_v<type, messages::digest> ||
                          std::is_same_v<type, messages::config_push> ||
                          std::is_same_v<type, messages::config_fetch> ||
                          std::is_same_v<type, messages::leaving>)
            {
                handle(it, body, now, out);
            }
        },
        it.body);
    if (table_.revision() != revision)
    {
        update_hubs(now, out);
        out.emplace_back(view_changed{});
    }
}

void fleet_node::handle(messages::envelope const& from, messages::heartbeat const& it,
                        base::time_point now, fleet_actions& out)
{
    if (it.self.id != from.from || it.self.incarnation != from.incarnation)
    {
        return;
    }
    record_entry(it.self, now, out);
    fetch_if_newer(from.from, it.self.version, now, out);
}

void fleet_node::handle(messages::envelope const& from, messages::pull const& it,
                        base::time_point now, fleet_actions& out)
{
    auto const* const peer = table_.find(from.from);
    bool const same_zone = peer == nullptr || peer->info.zone == self_.zone;
    std::uint64_t const known = it.known_hub == self_.incarnation ? it.known_revision : 0;
    messages::digest answer;
    answer.version = self_.version;
    table_.changes_since(
        known,
        [&](messages::entry_info const& entry)
        { return entry.id != from.from && (same_zone || entry.zone == self_.zone); },
        answer);
    answer.entries.push_back(self_);
    for (auto const& leaving : leaving_)
    {
        if (now < leaving.second.in_digests_until)
        {
            answer.leaving.push_back(leaving.first);
        }
    }
    out.emplace_back(send_message{from.from, std::move(answer)});
    fetch_if_newer(from.from, it.version, now, out);
}

void fleet_node::handle(messages::envelope const& from, messages::digest const& it,
                        base::time_point now, fleet_actions& out)
{
    auto& sync = syncs_[from.from];
    if (it.full || sync.incarnation != from.incarnation)
    {
        sync.listed.clear();
    }
    // An incremental digest can only be applied to the revision that it is relative to.
    bool const has_base = it.full || (sync.incarnation == from.incarnation && sync.revision != 0);
    sync.incarnation = from.incarnation;
    sync.revision = has_base ? it.revision : 0;
    auto const* const sender = table_.find(from.from);
    auto const sender_zone = sender == nullptr ? self_.zone : sender->info.zone;
    for (auto const& entry : it.entries)
    {
        if (entry.id == self_.id)
        {
            continue;
        }
        bool const trusted = is_authoritative(sender_zone, entry.zone) || entry.id == from.from;
        if (trusted)
        {
            sync.listed.insert(entry.id);
        }
        if (trusted)
        {
            record_entry(entry, now, out);
        }
        else if (table_.find(entry.id) == nullptr)
        {
            request_description(entry, out);
        }
    }
    for (auto const& id : it.removed)
    {
        sync.listed.erase(id);
        remove_unless_listed(id);
    }
    refresh_listed(sync, now);
    table_.refresh(from.from, now);
    for (auto const& id : it.leaving)
    {
        record_leaving(id, false, now, out);
    }
    fetch_if_newer(from.from, it.version, now, out);
}

void fleet_node::handle(messages::envelope const&, messages::config_push const& it,
                        base::time_point, fleet_actions& out)
{
    if (it.version > self_.version)
    {
        out.emplace_back(offered_configuration{it.version, it.document});
    }
}

void fleet_node::handle(messages::envelope const& from, messages::config_fetch const& it,
                        base::time_point, fleet_actions& out)
{
    if (self_.version > it.version)
    {
        out.emplace_back(send_message{from.from, messages::config_push{self_.version, document_}});
    }
}

void fleet_node::handle(messages::envelope const& from, messages::leaving const& it,
                        base::time_point now, fleet_actions& out)
{
    if (!record_leaving(it.upstream, is_hub_, now, out) || !is_hub_)
    {
        return;
    }
    auto const* const peer = table_.find(from.from);
    bool const from_member = peer != nullptr && peer->info.zone == self_.zone;
    forward_leaving(it.upstream, from_member, out);
}

void fleet_node::on_seeds(std::vector<seed_entry> const& seeds, base::time_point now,
                          fleet_actions& out)
{
    std::vector<seed_entry> unknown;
    std::copy_if(seeds.begin(), seeds.end(), std::back_inserter(unknown),
                 [this](seed_entry const& it)
                 { return it.id != self_.id && table_.find(it.id) == nullptr; });
    // Each entry sorts by a hash of its own id, which spreads the requests evenly over the seeds.
    std::sort(unknown.begin(), unknown.end(),
              [this](seed_entry const& a, seed_entry const& b)
              {
                  return rendezvous_weight(self_.id.value(), a.id.value()) >
                         rendezvous_weight(self_.id.value(), b.id.value());
              });
    unknown.resize(std::min(unknown.size(), seeds_per_round));
    for (auto const& it : unknown)
    {
        request_view(it.id, it.peer_address, out);
    }
    update_hubs(now, out);
}

void fleet_node::request_view(base::instance_id const& id, std::string const& peer_address,
                              fleet_actions& out)
{
    out.emplace_back(use_address{id, peer_address});
    out.emplace_back(send_message{id, messages::heartbeat{self_}});
    out.emplace_back(send_message{id, messages::pull{self_.version, {}, 0}});
}

void fleet_node::request_description(messages::entry_info const& entry, fleet_actions& out)
{
    out.emplace_back(use_address{entry.id, entry.peer_address});
    out.emplace_back(send_message{entry.id, messages::heartbeat{self_}});
    // The highest revision excludes all changes, so the answer holds only the receiver's own
    // description. With full views, the start of a fleet would send a number of views that grows
    // with the square of its size.
    messages::pull own_description;
    own_description.version = self_.version;
    own_description.known_hub = entry.incarnation;
    own_description.known_revision = std::numeric_limits<std::uint64_t>::max();
    out.emplace_back(send_message{entry.id, own_description});
}

void fleet_node::on_configuration_adopted(base::config_version version, std::string document,
                                          base::time_point, fleet_actions& out)
{
    if (version <= self_.version)
    {
        return;
    }
    self_.version = version;
    document_ = std::move(document);
    if (!is_hub_)
    {
        return;
    }
    for (auto const& it : table_.entries())
    {
        if (it.second.info.zone == self_.zone && it.second.info.version < version)
        {
            out.emplace_back(send_message{it.first, messages::config_push{version, document_}});
        }
    }
}

void fleet_node::on_upstream_leaving(base::upstream_id const& id, base::time_point now,
                                     fleet_actions& out)
{
    if (!record_leaving(id, true, now, out))
    {
        return;
    }
    if (is_hub_)
    {
        forward_leaving(id, true, out);
        return;
    }
    for (auto const& hub : hubs_)
    {
        out.emplace_back(send_message{hub, messages::leaving{id}});
    }
}

void fleet_node::set_self(bool draining, base::instance_id witness,
                          base::incarnation witness_incarnation, std::uint32_t generation,
                          std::uint32_t load_permille)
{
    self_.draining = draining;
    self_.witness = std::move(witness);
    self_.witness_incarnation = witness_incarnation;
    self_.generation = generation;
    self_.load_permille = load_permille;
}

void fleet_node::tick(base::time_point now, fleet_actions& out)
{
    auto const revision = table_.revision();
    table_.expire(now - settings_.lost_after);
    bool const leaving_changed = expire_leaving(now);
    if (table_.revision() != revision || leaving_changed)
    {
        out.emplace_back(view_changed{});
    }
    update_hubs(now, out);
    if (now < next_heartbeat_)
    {
        return;
    }
    next_heartbeat_ = now + settings_.heartbeat_period;
    send_heartbeats(out);
    if (is_hub_)
    {
        pull_from_other_hubs(now, out);
    }
}

void fleet_node::send_heartbeats(fleet_actions& out)
{
    for (auto const& hub : hubs_)
    {
        if (hub == self_.id)
        {
            continue;
        }
        out.emplace_back(send_message{hub, messages::heartbeat{self_}});
        out.emplace_back(send_message{hub, pull_for(hub)});
    }
    bool const witness_is_hub = std::find(hubs_.begin(), hubs_.end(), self_.witness) != hubs_.end();
    if (!self_.witness.value().empty() && !witness_is_hub)
    {
        out.emplace_back(send_message{self_.witness, messages::heartbeat{self_}});
    }
}

void fleet_node::pull_from_other_hubs(base::time_point now, fleet_actions& out)
{
    bool const cross_region_due = now >= next_cross_region_digest_;
    if (cross_region_due)
    {
        next_cross_region_digest_ = now + settings_.cross_region_digest_period;
    }
    std::map<base::availability_zone_id, base::region_id> zones;
    for (auto const& it : table_.entries())
    {
        zones.emplace(it.second.info.zone, it.second.info.region);
    }
    for (auto const& zone : zones)
    {
        bool const same_region = zone.second == self_.region;
        if (zone.first == self_.zone || (!same_region && !cross_region_due))
        {
            continue;
        }
        for (auto const& hub : hubs_of(zone.first))
        {
            out.emplace_back(send_message{hub, messages::heartbeat{self_}});
            out.emplace_back(send_message{hub, pull_for(hub)});
        }
    }
}

messages::pull fleet_node::pull_for(base::instance_id const& hub) const
{
    messages::pull it;
    it.version = self_.version;
    auto const found = syncs_.find(hub);
    if (found != syncs_.end())
    {
        it.known_hub = found->second.incarnation;
        it.known_revision = found->second.revision;
    }
    return it;
}

void fleet_node::record_entry(messages::entry_info const& info, base::time_point now,
                              fleet_actions& out)
{
    if (info.id == self_.id)
    {
        return;
    }
    auto const* const known = table_.find(info.id);
    bool const is_new = known == nullptr;
    if (!is_new && known->info.incarnation < info.incarnation)
    {
        out.emplace_back(incarnation_ended{info.id, known->info.incarnation});
    }
    bool const moved = is_new || known->info.peer_address != info.peer_address;
    if (table_.record(info, now) && moved)
    {
        out.emplace_back(use_address{info.id, info.peer_address});
    }
}

void fleet_node::fetch_if_newer(base::instance_id const& from, base::config_version version,
                                base::time_point now, fleet_actions& out)
{
    bool const already_asked = version <= fetching_ && now < fetch_again_at_;
    if (version <= self_.version || already_asked)
    {
        return;
    }
    fetching_ = version;
    fetch_again_at_ = now + settings_.heartbeat_period;
    out.emplace_back(send_message{from, messages::config_fetch{self_.version}});
}

bool fleet_node::record_leaving(base::upstream_id const& id, bool include_in_digests,
                                base::time_point now, fleet_actions& out)
{
    auto const inserted = leaving_.emplace(id, leaving_entry{now, {}});
    auto& entry = inserted.first->second;
    bool const is_new_report =
        inserted.second || (include_in_digests && entry.in_digests_until <= now);
    if (include_in_digests)
    {
        entry.in_digests_until = now + settings_.leaving_retention;
    }
    entry.until = std::max(now + settings_.lost_after, entry.in_digests_until);
    if (inserted.second)
    {
        out.emplace_back(view_changed{});
    }
    return is_new_report;
}

bool fleet_node::expire_leaving(base::time_point now)
{
    bool changed = false;
    for (auto it = leaving_.begin(); it != leaving_.end();)
    {
        bool const expired = it->second.until < now;
        changed = changed || expired;
        it = expired ? leaving_.erase(it) : std::next(it);
    }
    return changed;
}

void fleet_node::forward_leaving(base::upstream_id const& id, bool to_hubs, fleet_actions& out)
{
    std::set<base::instance_id> receivers;
    std::set<base::availability_zone_id> zones;
    for (auto const& it : table_.entries())
    {
        if (it.second.info.zone == self_.zone)
        {
            receivers.insert(it.first);
        }
        else if (to_hubs)
        {
            zones.insert(it.second.info.zone);
        }
    }
    for (auto const& zone : zones)
    {
        for (auto const& hub : hubs_of(zone))
        {
            receivers.insert(hub);
        }
    }
    for (auto const& it : receivers)
    {
        out.emplace_back(send_message{it, messages::leaving{id}});
    }
}

void fleet_node::remove_unless_listed(base::instance_id const& id)
{
    auto const* const known = table_.find(id);
    if (known == nullptr || (is_hub_ && known->info.zone == self_.zone))
    {
        return;
    }
    for (auto const& it : syncs_)
    {
        if (it.first != id && it.second.listed.count(id) != 0 && table_.find(it.first) != nullptr)
        {
            return;
        }
    }
    table_.remove(id, known->info.incarnation);
}

bool fleet_node::is_authoritative(base::availability_zone_id const& sender,
                                  base::availability_zone_id const& subject) const
{
    // A member accepts every description from its hubs. A hub accepts descriptions of another zone
    // only from that zone, and those of its own zone only from heartbeats. Hubs that accepted
    // second-hand descriptions would keep refreshing each other's, and a failed entry would never
    // expire.
    return !is_hub_ || (sender == subject && subject != self_.zone);
}

void fleet_node::refresh_listed(hub_sync& sync, base::time_point now)
{
    for (auto const& id : sync.listed)
    {
        table_.refresh(id, now);
        if (table_.find(id) == nullptr)
        {
            // Expired here in the meantime: the next pull requests the full view.
            sync.revision = 0;
        }
    }
}

void fleet_node::update_hubs(base::time_point now, fleet_actions& out)
{
    hubs_ = hubs_of(self_.zone);
    bool const is_hub = std::find(hubs_.begin(), hubs_.end(), self_.id) != hubs_.end();
    for (auto it = syncs_.begin(); it != syncs_.end();)
    {
        it = table_.find(it->first) == nullptr ? syncs_.erase(it) : std::next(it);
    }
    if (is_hub == is_hub_)
    {
        return;
    }
    is_hub_ = is_hub;
    // The role decides which descriptions are accepted, so the next pulls request full views.
    syncs_.clear();
    if (is_hub_)
    {
        // The members have sent no heartbeats to this entry so far: they get the full `lost_after`.
        for (auto const& it : table_.entries())
        {
            table_.refresh(it.first, now);
        }
    }
    out.emplace_back(hub_role_changed{is_hub_});
}

std::vector<base::instance_id> fleet_node::hubs_of(base::availability_zone_id const& zone) const
{
    using ranked = std::pair<std::uint64_t, base::instance_id>;
    std::vector<ranked> candidates;
    auto const add_if_eligible = [&](messages::entry_info const& info)
    {
        if (info.zone == zone && !info.draining)
        {
            candidates.emplace_back(rendezvous_weight(zone.value(), info.id.value()), info.id);
        }
    };
    add_if_eligible(self_);
    for (auto const& it : table_.entries())
    {
        add_if_eligible(it.second.info);
    }
    std::sort(candidates.begin(), candidates.end(),
              [](ranked const& a, ranked const& b) { return b < a; });
    std::vector<base::instance_id> hubs;
    for (auto const& it : candidates)
    {
        if (hubs.size() == hubs_per_zone)
        {
            break;
        }
        hubs.push_back(it.second);
    }
    return hubs;
}

std::vector<base::instance_id> fleet_node::all_hubs() const
{
    std::set<base::availability_zone_id> zones{self_.zone};
    for (auto const& it : table_.entries())
    {
        zones.insert(it.second.info.zone);
    }
    std::vector<base::instance_id> hubs;
    for (auto const& zone : zones)
    {
        for (auto& hub : hubs_of(zone))
        {
            if (hub != self_.id)
            {
                hubs.push_back(std::move(hub));
            }
        }
    }
    return hubs;
}

base::duration fleet_node::time_since_last_contact(base::instance_id const& id,
                                                   base::time_point now) const
{
    auto const* const known = table_.find(id);
    return known == nullptr ? base::duration::zero() : now - known->last_heard;
}

std::vector<messages::entry_info> fleet_node::live_entries() const
{
    std::vector<messages::entry_info> live;
    live.reserve(table_.entries().size() + 1);
    live.push_back(self_);
    for (auto const& it : table_.entries())
    {
        live.push_back(it.second.info);
    }
    return live;
}

std::vector<base::upstream_id> fleet_node::leaving_upstreams() const
{
    std::vector<base::upstream_id> ids;
    for (auto const& it : leaving_)
    {
        ids.push_back(it.first);
    }
    return ids;
}

messages::entry_info const* fleet_node::find(base::instance_id const& id) const
{
    auto const* const known = table_.find(id);
    return known == nullptr ? nullptr : &known->info;
}

} // namespace fuchsiaproxy::fleet
