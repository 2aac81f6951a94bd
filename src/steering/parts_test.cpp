#include <map>
#include <set>
#include <string>

#include "fuchsiaproxy/steering/sentinels.hpp"
#include "object_order.hpp"
#include "peer_loads.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::steering;
using namespace std::chrono_literals;

namespace
{

base::region_id const north("north");
base::region_id const south("south");

std::vector<upstream_ptr> upstreams(int of_north, int of_south)
{
    std::vector<upstream_ptr> made;
    for (int n = 0; n < of_north + of_south; ++n)
    {
        upstream_record record;
        record.id = base::upstream_id("u" + std::to_string(n));
        record.slots = 4;
        made.push_back(std::make_shared<upstream_state>(record, n < of_north ? north : south));
    }
    return made;
}

} // namespace

TEST_GROUP(region_shares_of){};

TEST(region_shares_of, requests_beyond_the_home_capacity_are_served_by_regions_with_spare_capacity)
{
    std::map<base::region_id, double> const callers{{north, 1}, {south, 1}};
    std::map<base::region_id, double> const capacity{{north, 30}, {south, 10}};
    auto const of_north = shares_of(north, callers, capacity);
    DOUBLES_EQUAL(1, of_north.at(north), 1e-9);
    auto const of_south = shares_of(south, callers, capacity);
    DOUBLES_EQUAL(0.5, of_south.at(south), 1e-9);
    DOUBLES_EQUAL(0.5, of_south.at(north), 1e-9);
}

TEST(region_shares_of, callers_of_a_region_without_capacity_are_served_by_others)
{
    auto const made = shares_of(south, {{north, 1}, {south, 1}}, {{north, 10}});
    DOUBLES_EQUAL(1, made.at(north), 1e-9);
    DOUBLES_EQUAL(0, made.at(south), 1e-9);
}

TEST_GROUP(object_order)
{
    object_order order;
};

// Guards against reassigning all objects when one upstream is removed, which would make every
// object cold.
TEST(object_order, only_the_objects_of_a_removed_upstream_move)
{
    auto const all = upstreams(10, 0);
    region_shares const shares{{north, 1}};
    std::map<int, std::size_t> before;
    auto const first_of = [&](int object)
    {
        auto const& ranks =
            order.rank(all, hash_of(std::to_string(object)), order_weights(all, shares));
        for (std::size_t n = 0; n < ranks.size(); ++n)
        {
            if (ranks[n] == 0)
            {
                return n;
            }
        }
        return ranks.size();
    };
    for (int object = 0; object < 200; ++object)
    {
        before[object] = first_of(object);
    }
    all[3]->evacuated = true;
    for (int object = 0; object < 200; ++object)
    {
        auto const now = first_of(object);
        CHECK(now != 3);
        CHECK(now == before[object] || before[object] == 3);
    }
}

TEST(object_order, upstreams_rank_first_in_proportion_to_their_regions_shares)
{
    auto const all = upstreams(5, 15);
    region_shares const shares{{north, 0.8}, {south, 0.2}};
    int at_north = 0;
    constexpr int objects = 2000;
    for (int object = 0; object < objects; ++object)
    {
        auto const& ranks =
            order.rank(all, hash_of(std::to_string(object)), order_weights(all, shares));
        for (std::size_t n = 0; n < 5; ++n)
        {
            at_north += ranks[n] == 0 ? 1 : 0;
        }
    }
    DOUBLES_EQUAL(0.8, static_cast<double>(at_north) / objects, 0.03);
}

TEST_GROUP(peer_loads)
{
    peer_loads loads;
    base::time_point now{1h};
};

// Guards against datagrams that arrive out of order and restore an outdated load.
TEST(peer_loads, later_messages_replace_earlier_ones)
{
    base::instance_id const from("e1");
    loads.apply({from, 2, {{7, 3, 0}}}, now);
    loads.apply({from, 1, {{7, 9, 0}}}, now);
    LONGS_EQUAL(3, loads.in_flight_at(7));
    loads.apply({from, 3, {{8, 1, 0}}}, now);
    LONGS_EQUAL(0, loads.in_flight_at(7));
    LONGS_EQUAL(1, loads.in_flight_at(8));
}

// Guards against counting the load of a terminated entry indefinitely.
TEST(peer_loads, the_load_of_an_unresponsive_entry_expires)
{
    loads.apply({base::instance_id("e1"), 1, {{7, 3, 0}}}, now);
    loads.apply({base::instance_id("e2"), 1, {{7, 2, 0}}}, now + 900ms);
    loads.tick(now + 1500ms, 1s);
    LONGS_EQUAL(2, loads.in_flight_at(7));
    loads.remove_entry(base::instance_id("e2"));
    LONGS_EQUAL(0, loads.in_flight_at(7));
    LONGS_EQUAL(0, loads.entry_count());
}

// Guards against ignoring the loads of a restarted entry, whose sequence numbers start from the
// beginning, until they exceed the earlier ones.
TEST(peer_loads, loads_of_a_restarted_entry_are_accepted)
{
    base::instance_id const from("e1");
    loads.apply({from, 50, {{7, 3, 0}}}, now);
    loads.remove_entry(from);
    loads.apply({from, 1, {{7, 1, 0}}}, now);
    LONGS_EQUAL(1, loads.in_flight_at(7));
}

TEST_GROUP(sentinels)
{
    entry_zones live;

    void add(std::string const& id, std::string const& zone)
    {
        live.emplace(base::instance_id(id), base::availability_zone_id(zone));
    }
    bool is(std::string const& id)
    {
        auto const self = base::instance_id(id);
        return is_sentinel(self, live.at(self), live);
    }
};

// Guards against a fleet whose sentinels are all lost with one zone, and against as many calls to
// the store as there are entries.
TEST(sentinels, the_first_entry_of_each_zone_is_one)
{
    for (int n = 0; n < 90; ++n)
    {
        auto const zone = std::string(1, static_cast<char>('a' + n % 9));
        add("e" + zone + std::to_string(100 + n), zone);
    }
    std::map<base::availability_zone_id, int> count;
    int total = 0;
    for (auto const& it : live)
    {
        auto const chosen = is(it.first.value());
        count[it.second] += chosen ? 1 : 0;
        total += chosen ? 1 : 0;
    }
    for (auto const& it : count)
    {
        CHECK(it.second >= 1);
    }
    CHECK(total < 9 + min_sentinels);
}

// Guards against a fleet in one zone that depends on a single entry, and against an entry that asks
// rarely because it does not know of any other yet.
TEST(sentinels, a_small_fleet_has_several)
{
    CHECK(is_sentinel(base::instance_id("alone"), base::availability_zone_id("a"), {}));
    for (auto const* id : {"e1", "e2", "e3", "e4", "e5"})
    {
        add(id, "a");
    }
    CHECK(is("e1") && is("e2") && is("e3"));
    CHECK_FALSE(is("e4"));
    live.erase(base::instance_id("e1"));
    CHECK(is("e4"));
}
