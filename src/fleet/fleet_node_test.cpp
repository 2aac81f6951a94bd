#include "fuchsiaproxy/fleet/fleet_node.hpp"

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace std::chrono_literals;

namespace
{

// Entries in one process that exchange messages without delay, with a simulated clock.
class fake_fleet
{
public:
    void add(std::string const& id, std::string const& region, std::string const& zone,
             std::uint64_t incarnation = 1)
    {
        messages::entry_info self;
        self.id = base::instance_id(id);
        self.incarnation = base::incarnation(incarnation);
        self.region = base::region_id(region);
        self.zone = base::availability_zone_id(zone);
        self.peer_address = id + ":1";
        auto node = std::make_unique<fleet::fleet_node>(fleet::fleet_settings{}, self, now);
        nodes[self.id] = std::move(node);
        seeds.push_back({self.id, self.peer_address});
        perform(self.id, [&](auto& n, auto& out) { n.on_seeds(seeds, now, out); });
    }

    void run_for(base::duration length)
    {
        for (auto const end = now + length; now < end; now += 250ms)
        {
            for (auto const& id : ids())
            {
                perform(id, [&](auto& n, auto& out) { n.tick(now, out); });
                read_instance_list(id);
            }
        }
    }

    // Only hubs read the platform's list regularly; it still names entries that have failed.
    void read_instance_list(base::instance_id const& id)
    {
        if (nodes.at(id)->is_hub() && now.time_since_epoch() % 1s == 0s)
        {
            perform(id, [&](auto& n, auto& out) { n.on_seeds(seeds, now, out); });
        }
    }

    void adopt(std::string const& id, std::uint64_t version)
    {
        perform(base::instance_id(id), [&](auto& n, auto& out)
                { n.on_configuration_adopted(base::config_version(version), "{}", now, out); });
    }

    template <class Call>
    void perform(base::instance_id const& id, Call&& call)
    {
        fleet::fleet_actions out;
        call(*nodes.at(id), out);
        apply(id, out);
        deliver();
    }

    std::vector<base::instance_id> ids() const
    {
        std::vector<base::instance_id> all;
        for (auto const& it : nodes)
        {
            all.push_back(it.first);
        }
        return all;
    }

    std::vector<std::string> hubs(std::string const& zone) const
    {
        std::vector<std::string> all;
        for (auto const& it : nodes)
        {
            if (it.second->is_hub() && it.second->self().zone.value() == zone)
            {
                all.push_back(it.first.value());
            }
        }
        return all;
    }

    bool has_in_view(std::string const& viewer, std::string const& subject) const
    {
        return nodes.at(base::instance_id(viewer))->find(base::instance_id(subject)) != nullptr;
    }

    std::uint64_t version(std::string const& id) const
    {
        return nodes.at(base::instance_id(id))->self().version.value();
    }

    std::map<base::instance_id, std::unique_ptr<fleet::fleet_node>> nodes;
    std::vector<fleet::seed_entry> seeds;
    std::set<base::instance_id> cut_off;
    base::time_point now{1h};
    std::size_t messages_sent = 0;
    /// Descriptions of entries in all digests.
    std::size_t entries_sent = 0;

private:
    struct packet
    {
        base::instance_id to;
        messages::envelope it;
    };

    void apply(base::instance_id const& id, fleet::fleet_actions const& actions)
    {
        for (auto const& action : actions)
        {
            if (auto const* const send = std::get_if<messages::send_message>(&action))
            {
                ++messages_sent;
                if (auto const* const digest = std::get_if<messages::digest>(&send->body))
                {
                    entries_sent += digest->entries.size();
                }
                messages::envelope const it{id, nodes.at(id)->self().incarnation, ++sequence_,
                                            send->body};
                queue_.push_back({send->to, it});
            }
            if (auto const* const offer = std::get_if<fleet::offered_configuration>(&action))
            {
                fleet::fleet_actions out;
                nodes.at(id)->on_configuration_adopted(offer->version, offer->document, now, out);
                apply(id, out);
            }
        }
    }

    void deliver()
    {
        while (!queue_.empty())
        {
            auto const next = queue_.front();
            queue_.pop_front();
            bool const lost = cut_off.count(next.to) != 0 || cut_off.count(next.it.from) != 0;
            if (lost || nodes.count(next.to) == 0)
            {
                continue;
            }
            fleet::fleet_actions out;
            nodes.at(next.to)->on_message(next.it, now, out);
            apply(next.to, out);
        }
    }

    std::deque<packet> queue_;
    std::uint64_t sequence_ = 0;
};

std::vector<std::string> const zones{"harju-a", "harju-b", "tartu-a", "tartu-b"};

std::string region_of(std::string const& zone)
{
    return zone.substr(0, zone.find('-'));
}

// Adds `n` entries to each of four zones: harju-a-0, harju-a-1, ...
void add_entries(fake_fleet& fleet, int n)
{
    for (int i = 0; i < n; ++i)
    {
        for (auto const& zone : zones)
        {
            fleet.add(zone + "-" + std::to_string(i), region_of(zone), zone);
        }
    }
}

} // namespace

TEST_GROUP(fleet_node)
{
    fake_fleet fleet;

    void setup() override
    {
        add_entries(fleet, 3);
        fleet.run_for(6s);
    }
};

// Guards against entries that are missing from a view, and against zones with a wrong number of
// hubs.
TEST(fleet_node, every_view_lists_all_entries_and_each_zone_has_two_hubs)
{
    for (auto const& it : fleet.nodes)
    {
        LONGS_EQUAL(fleet.nodes.size(), it.second->live_entries().size());
    }
    for (auto const& zone : zones)
    {
        LONGS_EQUAL(2, fleet.hubs(zone).size());
    }
}

// Guards against a failed entry that never expires because hubs refresh it from each other's
// digests.
TEST(fleet_node, a_failed_entry_is_removed_from_every_view)
{
    fleet.nodes.erase(base::instance_id("harju-a-1"));
    fleet.run_for(10s);
    for (auto const& it : fleet.nodes)
    {
        CHECK(it.second->find(base::instance_id("harju-a-1")) == nullptr);
    }
}

// Guards against a failed entry that still receives callers or owns slots in its own zone. Hubs
// remove it 3 s after its last heartbeat and members with their next pull; either may be up to one
// period of 1 s later.
TEST(fleet_node, a_failed_entry_is_removed_in_its_zone_within_five_seconds)
{
    auto const hubs = fleet.hubs("tartu-b");
    fleet.nodes.erase(base::instance_id(hubs.front()));
    fleet.run_for(5s);
    for (auto const& id : fleet.ids())
    {
        if (fleet.nodes.at(id)->self().zone.value() == "tartu-b")
        {
            CHECK(!fleet.has_in_view(id.value(), hubs.front()));
        }
    }
}

// Guards against a zone without hubs after both were lost.
TEST(fleet_node, the_next_entry_becomes_hub_when_both_hubs_are_lost)
{
    for (auto const& id : fleet.hubs("harju-b"))
    {
        fleet.nodes.erase(base::instance_id(id));
    }
    fleet.run_for(5s);
    LONGS_EQUAL(1, fleet.hubs("harju-b").size());
}

// Guards against a configuration that is distributed only by the next pull: hubs push it at once.
TEST(fleet_node, a_configuration_adopted_by_the_hubs_reaches_their_members_at_once)
{
    for (auto const& zone : zones)
    {
        fleet.adopt(fleet.hubs(zone).front(), 7);
    }
    for (auto const& id : fleet.ids())
    {
        LONGS_EQUAL(7, fleet.version(id.value()));
    }
}

// Guards against an outdated configuration in the fleet when only one entry could read the store.
TEST(fleet_node, a_configuration_adopted_by_one_entry_reaches_all_within_four_seconds)
{
    fleet.adopt("tartu-a-2", 8);
    fleet.run_for(4s);
    for (auto const& id : fleet.ids())
    {
        LONGS_EQUAL(8, fleet.version(id.value()));
    }
}

// Guards against an entry that cannot start during an outage of the store.
TEST(fleet_node, an_entry_that_starts_without_state_fetches_the_configuration_from_its_peers)
{
    fleet.adopt("harju-a-0", 9);
    fleet.run_for(4s);
    fleet.add("harju-a-0", "harju", "harju-a", 2);
    fleet.run_for(2s);
    LONGS_EQUAL(9, fleet.version("harju-a-0"));
}

// Guards against a version that decreases: a late push of an older version must not be adopted.
TEST(fleet_node, an_older_configuration_is_never_offered)
{
    fleet.adopt("harju-a-0", 9);
    fleet.run_for(4s);
    fleet::fleet_actions out;
    messages::envelope const late{base::instance_id("harju-b-0"), base::incarnation(1), 1,
                                  messages::config_push{base::config_version(8), "{}"}};
    fleet.nodes.at(base::instance_id("harju-a-1"))->on_message(late, fleet.now, out);
    CHECK(out.empty());
}

// Guards against requests to a leaving upstream because the report of it does not reach all
// entries.
TEST(fleet_node, a_leaving_upstream_is_in_every_view_within_three_seconds)
{
    base::upstream_id const id("orders-3");
    fleet.perform(base::instance_id("tartu-b-1"),
                  [&](auto& node, auto& out) { node.on_upstream_leaving(id, fleet.now, out); });
    fleet.run_for(3s);
    for (auto const& it : fleet.nodes)
    {
        LONGS_EQUAL(1, it.second->leaving_upstreams().size());
    }
}

// Guards against a report of a leaving upstream that never expires because entries forward it to
// each other.
TEST(fleet_node, a_leaving_upstream_is_removed_after_the_reports_end)
{
    base::upstream_id const id("orders-3");
    fleet.perform(base::instance_id("tartu-b-1"),
                  [&](auto& node, auto& out) { node.on_upstream_leaving(id, fleet.now, out); });
    fleet.run_for(60s);
    for (auto const& it : fleet.nodes)
    {
        LONGS_EQUAL(0, it.second->leaving_upstreams().size());
    }
}

// Guards against state of an ended process being taken for that of its successor.
TEST(fleet_node, a_newer_incarnation_ends_the_older_one_and_is_not_undone_by_a_late_heartbeat)
{
    auto& node = *fleet.nodes.at(base::instance_id("harju-a-1"));
    auto info = fleet.nodes.at(base::instance_id("harju-b-0"))->self();
    info.incarnation = base::incarnation(5);
    fleet::fleet_actions out;
    node.on_message({info.id, info.incarnation, 1, messages::heartbeat{info}}, fleet.now, out);
    bool ended = false;
    for (auto const& it : out)
    {
        ended = ended || std::holds_alternative<fleet::incarnation_ended>(it);
    }
    CHECK(ended);
    info.incarnation = base::incarnation(1);
    out.clear();
    node.on_message({info.id, info.incarnation, 2, messages::heartbeat{info}}, fleet.now, out);
    LONGS_EQUAL(5, node.find(info.id)->incarnation.value());
}

// Guards against control traffic that grows with the whole table: without changes an entry that is
// no hub sends two heartbeats, two pulls and one heartbeat for its witness in a period.
TEST(fleet_node, a_member_without_changes_sends_a_constant_number_of_messages)
{
    for (auto const& it : fleet.nodes)
    {
        if (it.second->is_hub())
        {
            continue;
        }
        fleet::fleet_actions out;
        it.second->tick(fleet.now + 1s, out);
        std::size_t sent = 0;
        for (auto const& action : out)
        {
            sent += std::holds_alternative<messages::send_message>(action);
        }
        CHECK(sent <= 5);
    }
}

TEST_GROUP(large_fleet)
{
    fake_fleet fleet;
};

// Guards against excessive traffic when a whole fleet starts: an entry fetches the view of at most
// three seeds and two hubs, and hubs fetch the zones of others, so ten views for each entry are
// enough.
TEST(large_fleet, a_cold_start_costs_at_most_ten_views_for_each_entry)
{
    add_entries(fleet, 24);
    fleet.run_for(10s);
    auto const entries = fleet.nodes.size();
    for (auto const& it : fleet.nodes)
    {
        LONGS_EQUAL(entries, it.second->live_entries().size());
    }
    CHECK(fleet.entries_sent <= 10 * entries * entries);
}

// Guards against full views that are sent although nothing changes: an answer then holds only the
// sender's own description.
TEST(large_fleet, a_steady_fleet_sends_no_views)
{
    add_entries(fleet, 24);
    fleet.run_for(20s);
    fleet.entries_sent = 0;
    auto const messages = fleet.messages_sent;
    fleet.run_for(10s);
    CHECK(fleet.entries_sent <= fleet.messages_sent - messages);
}

TEST_GROUP(look_up)
{
    fake_fleet fleet;

    void setup() override
    {
        add_entries(fleet, 3);
        fleet.run_for(6s);
        fleet.adopt("harju-a-0", 1);
        fleet.run_for(5s);
    }

    std::vector<messages::entry_info> ask(std::uint64_t salt)
    {
        return fleet.nodes.at(base::instance_id("tartu-b-0"))
            ->look_up(base::region_id("harju"), base::availability_zone_id("harju-a"), salt, 3);
    }
};

// Guards against callers being sent to distant entries while near ones are available.
TEST(look_up, the_nearest_entries_come_first)
{
    for (auto const& it : ask(1))
    {
        CHECK_EQUAL(std::string("harju-a"), it.zone.value());
    }
}

// Guards against new callers being sent to an entry that is about to stop.
TEST(look_up, a_draining_entry_is_not_listed)
{
    fleet.nodes.at(base::instance_id("harju-a-1"))->set_self(true, {}, {}, 0, 0);
    fleet.run_for(3s);
    for (auto const& it : ask(1))
    {
        CHECK(it.id.value() != "harju-a-1");
    }
}

// Guards against all callers of a zone being sent to one entry.
TEST(look_up, callers_are_spread_over_equal_entries)
{
    std::map<std::string, int> first;
    for (std::uint64_t salt = 0; salt < 300; ++salt)
    {
        ++first[ask(salt).front().id.value()];
    }
    LONGS_EQUAL(3, first.size());
    for (auto const& it : first)
    {
        CHECK(it.second > 50);
    }
}

// Guards against callers being sent to an entry that has no configuration and refuses them.
TEST(look_up, an_entry_without_a_configuration_is_not_listed)
{
    fake_fleet empty;
    empty.add("harju-a-0", "harju", "harju-a");
    CHECK(
        empty.nodes.begin()
            ->second->look_up(base::region_id("harju"), base::availability_zone_id("harju-a"), 1, 3)
            .empty());
}
