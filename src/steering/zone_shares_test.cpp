#include "zone_shares.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include "entry_view.hpp"
#include "round_trip_times.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::steering;

namespace
{

using zone = base::availability_zone_id;

zone const east_a("east-a");
zone const east_b("east-b");
zone const south_a("south-a");
zone const south_b("south-b");
zone const west_a("west-a");
zone const west_b("west-b");

zone_regions const regions{{east_a, base::region_id("east")},   {east_b, base::region_id("east")},
                           {south_a, base::region_id("south")}, {south_b, base::region_id("south")},
                           {west_a, base::region_id("west")},   {west_b, base::region_id("west")}};

std::map<zone, double> const equal_callers{{east_a, 1},  {east_b, 1}, {south_a, 1},
                                           {south_b, 1}, {west_a, 1}, {west_b, 1}};

/// One region has a fifth of the upstreams of another.
std::map<zone, double> const uneven_capacity{{east_a, 720},  {east_b, 720}, {south_a, 144},
                                             {south_b, 144}, {west_a, 603}, {west_b, 603}};

zone_shares of_zone(zone const& home, double utilization,
                    std::map<zone, double> const& capacity = uneven_capacity)
{
    return shares_of_zone(home, regions, equal_callers, capacity, utilization);
}

/// Load per slot in each zone if all zones ask for `utilization` of the whole capacity together.
std::map<zone, double> utilization_by_zone(double utilization)
{
    double total = 0;
    for (auto const& it : uneven_capacity)
    {
        total += it.second;
    }
    std::map<zone, double> made;
    for (auto const& home : equal_callers)
    {
        for (auto const& it : of_zone(home.first, utilization))
        {
            made[it.first] += it.second * total * utilization / 6 / uneven_capacity.at(it.first);
        }
    }
    return made;
}

director_identity identity_in(zone const& it)
{
    director_identity made;
    made.id = base::instance_id("e-self");
    made.zone = it;
    made.region = regions.at(it);
    made.zones = regions;
    return made;
}

entry_record entry_in(zone const& it, int number)
{
    entry_record made;
    made.id = base::instance_id(it.value() + std::to_string(number));
    made.zone = it;
    made.region = regions.at(it);
    made.address = made.id.value();
    made.peer_endpoint = {made.id.value(), 1};
    return made;
}

} // namespace

TEST_GROUP(zone_shares){};

// Guards against requests that leave a zone whose upstreams could serve them: each would pay a
// round trip between zones and find its object cold there.
TEST(zone_shares, requests_stay_in_a_zone_with_enough_capacity)
{
    DOUBLES_EQUAL(1, of_zone(east_a, 0.7).at(east_a), 1e-9);
    DOUBLES_EQUAL(1, of_zone(west_b, 0.7).at(west_b), 1e-9);
}

// Load pattern: equal callers in every zone, one region with a fifth of the upstreams. Guards
// against a poor zone that is overloaded while others have room, and one that serves less than it
// could.
TEST(zone_shares, no_zone_is_asked_for_more_than_it_has)
{
    for (auto const utilization : {0.4, 0.7, 0.95})
    {
        for (auto const& it : utilization_by_zone(utilization))
        {
            CHECK(it.second <= 1 + 1e-9);
        }
    }
    DOUBLES_EQUAL(1, utilization_by_zone(0.7).at(south_a), 1e-9);
}

// Guards against requests that cross regions while another zone of their own region has room.
TEST(zone_shares, the_other_zone_of_the_region_comes_before_other_regions)
{
    auto capacity = uneven_capacity;
    capacity[east_a] = 0;
    auto const made = of_zone(east_a, 0.3, capacity);
    CHECK(made.at(east_b) > 0.99);
    CHECK(made.at(west_a) < 0.01);
}

// Guards against requests without a place: the shares of a zone have to add up to 1, also where a
// zone has no upstreams or a region is evacuated.
TEST(zone_shares, shares_add_up_to_one)
{
    auto evacuated = uneven_capacity;
    evacuated[east_a] = evacuated[east_b] = 0;
    for (auto const& capacity : {uneven_capacity, evacuated})
    {
        for (auto const& home : equal_callers)
        {
            double sum = 0;
            for (auto const& it : of_zone(home.first, 0.7, capacity))
            {
                sum += it.second;
            }
            DOUBLES_EQUAL(1, sum, 1e-9);
        }
    }
}

TEST_GROUP(zone_distance){};

// Guards against an order of large answers that changes with the queueing of connections, or that
// makes a copy in each zone where zones are near each other.
TEST(zone_distance, the_shortest_connection_time_counts)
{
    director_settings const settings;
    director_identity const self = identity_in(east_a);
    round_trip_times times(settings, self);
    CHECK(times.to_nearest_other_zone() < settings.zone_order_round_trip);
    times.add_sample(east_b, std::chrono::milliseconds(30));
    times.add_sample(south_a, std::chrono::milliseconds(1));
    CHECK(times.to_nearest_other_zone() == std::chrono::milliseconds(30));
    times.add_sample(east_b, std::chrono::milliseconds(2));
    times.add_sample(east_b, std::chrono::milliseconds(30));
    CHECK(times.to_nearest_other_zone() == std::chrono::milliseconds(2));
}

TEST_GROUP(entries_by_zone)
{
    removal_grace_period grace{std::chrono::seconds(2), std::chrono::seconds(3),
                               std::chrono::seconds(2)};
    director_identity self = identity_in(east_a);
    entry_view view{self, grace};

    void add(zone const& it, int count)
    {
        for (int n = 0; n < count; ++n)
        {
            view.upsert(entry_in(it, n));
        }
    }
};

// Guards against load messages that miss an entry, or reach one twice.
TEST(entries_by_zone, each_entry_has_one_distance)
{
    add(east_a, 3);
    add(east_b, 2);
    add(west_a, 4);
    LONGS_EQUAL(3, view.peers(peer_distance::same_zone).size());
    LONGS_EQUAL(2, view.peers(peer_distance::same_region).size());
    LONGS_EQUAL(4, view.peers(peer_distance::other_region).size());
}
