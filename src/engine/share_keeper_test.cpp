#include "fuchsiaproxy/engine/share_keeper.hpp"

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t zone_part = 30;

model::configuration capped_configuration()
{
    model::configuration it;
    it.version = base::config_version(1);
    it.zones = {{base::availability_zone_id("harju-a"), base::region_id("harju")},
                {base::availability_zone_id("tartu-a"), base::region_id("tartu")}};
    model::service service;
    service.id = base::service_id("orders");
    service.classes.resize(1);
    it.services = {service};
    it.places.resize(2);
    it.places[0].id = base::place_id("near");
    it.places[0].service = service.id;
    it.places[0].zone = it.zones[0].id;
    it.places[1].id = base::place_id("far");
    it.places[1].service = service.id;
    it.places[1].zone = it.zones[1].id;
    model::cap cap;
    cap.id = base::cap_id("cap");
    cap.from.place = it.places[0].id;
    cap.to.place = it.places[1].id;
    cap.limit = zone_part;
    cap.split[it.zones[0].id] = zone_part;
    it.caps = {cap};
    return it;
}

// Share keepers of one availability zone with an in-memory store and a simulated clock.
class fake_zone
{
public:
    void add(std::string const& id, std::uint64_t incarnation = 1)
    {
        base::instance_id const instance(id);
        keepers[instance] = std::make_unique<engine::share_keeper>(
            limits::share_owner{instance, base::incarnation(incarnation)},
            base::availability_zone_id("harju-a"));
        incarnations[instance] = base::incarnation(incarnation);
        keepers[instance]->set_hub(base::instance_id("hub"));
        perform(instance, [&](auto& it, auto& out)
                { it.on_configuration(capped_configuration(), now, out); });
    }

    // Tries `tries` moves per 100 ms at every keeper; returns the number of admitted moves.
    std::uint64_t run(base::duration length, int tries)
    {
        std::uint64_t moved = 0;
        for (auto const end = now + length; now < end; now += 100ms)
        {
            for (auto& it : keepers)
            {
                if (frozen.count(it.first) != 0)
                {
                    continue;
                }
                perform(it.first,
                        [&](auto& keeper, auto& out)
                        {
                            keeper.on_instances(listed(), now);
                            keeper.tick(now, out);
                        });
                for (int n = 0; n < tries; ++n)
                {
                    moved += it.second->try_move(base::place_id("near"), base::place_id("far"),
                                                 base::byte_count(100), now);
                }
            }
        }
        return moved;
    }

    std::set<base::instance_id> listed() const
    {
        std::set<base::instance_id> all;
        for (auto const& it : keepers)
        {
            all.insert(it.first);
        }
        return all;
    }

    std::map<base::instance_id, std::unique_ptr<engine::share_keeper>> keepers;
    std::map<base::instance_id, base::incarnation> incarnations;
    std::set<base::instance_id> frozen;
    limits::share_document stored;
    bool store_up = true;
    int writes = 0;
    base::time_point now{1h};

private:
    template <class Call>
    void perform(base::instance_id const& id, Call&& call)
    {
        engine::engine_actions out;
        call(*keepers.at(id), out);
        apply(id, out);
        while (!queue_.empty())
        {
            auto const next = std::move(queue_.front());
            queue_.pop_front();
            if (keepers.count(next.first) != 0 && frozen.count(next.first) == 0)
            {
                engine::engine_actions more;
                keepers.at(next.first)->on_message(next.second, now, more);
                apply(next.first, more);
            }
        }
    }

    void apply(base::instance_id const& id, engine::engine_actions const& actions)
    {
        for (auto const& action : actions)
        {
            if (auto const* const message = std::get_if<engine::send_message>(&action))
            {
                queue_.emplace_back(message->to,
                                    messages::envelope{id, incarnations.at(id), 1, message->body});
            }
            else if (std::holds_alternative<engine::load_shares>(action) && store_up)
            {
                keepers.at(id)->on_loaded(stored, now);
            }
            else if (auto const* const write = std::get_if<engine::store_shares>(&action))
            {
                engine::engine_actions more;
                if (store_up)
                {
                    stored = write->document;
                    ++writes;
                }
                keepers.at(id)->on_stored(store_up, more);
                apply(id, more);
            }
        }
    }

    std::deque<std::pair<base::instance_id, messages::envelope>> queue_;
};

} // namespace

TEST_GROUP(share_keeper)
{
    fake_zone zone;

    void setup() override
    {
        zone.add("hub");
        zone.add("one");
        zone.add("two");
    }
};

// Guards against shares that are not granted, and against more moves than the zone's part.
TEST(share_keeper, the_entries_of_a_zone_use_its_part_and_no_more)
{
    zone.run(10s, 5);
    auto const moved = zone.run(10s, 5);
    CHECK(moved <= 10 * zone_part);
    CHECK(moved >= 8 * zone_part);
}

// Guards against an outage of the store that stops the moves of granted shares, or lets them
// exceed the zone's part.
TEST(share_keeper, an_outage_of_the_store_leaves_the_granted_shares_unchanged)
{
    zone.run(10s, 5);
    zone.store_up = false;
    auto const writes = zone.writes;
    auto const moved = zone.run(20s, 5);
    LONGS_EQUAL(writes, zone.writes);
    CHECK(moved <= 20 * zone_part);
    CHECK(moved >= 16 * zone_part);
}

// Guards against a share that is granted to others while its holder is frozen and may still use
// it.
TEST(share_keeper, the_share_of_a_frozen_entry_is_not_granted_to_others)
{
    zone.run(10s, 5);
    zone.frozen.insert(base::instance_id("two"));
    auto const held = zone.keepers.at(base::instance_id("two"))->held(base::cap_id("cap"));
    CHECK(held > 0);
    auto const moved = zone.run(20s, 5);
    CHECK(moved <= 20 * (zone_part - held));
}

// Guards against a restarted entry that uses the share of its previous process.
TEST(share_keeper, a_restarted_entry_moves_nothing_before_a_grant)
{
    zone.run(10s, 5);
    zone.add("two", 2);
    CHECK(!zone.keepers.at(base::instance_id("two"))
               ->try_move(base::place_id("near"), base::place_id("far"), base::byte_count(100),
                          zone.now));
}
