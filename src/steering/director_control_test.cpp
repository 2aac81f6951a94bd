// Events of the control plane and of other entries in the director.
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "director_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::steering;
using namespace std::chrono_literals;

TEST_GROUP_BASE(director_control, director_fixture){};

// Guards against requests to an upstream that is draining, was removed, or whose address is now
// used by a different upstream.
TEST(director_control, draining_and_replaced_upstreams_get_no_new_requests)
{
    configure();
    list_upstreams({"u1"});
    auto leaving = upstream("u1");
    leaving.draining = true;
    send_event(upstream_changed{leaving});
    CHECK(action<upstream_retired>() != nullptr);
    request("/read/a");
    CHECK(refused() == error_kind::no_upstream);

    list_upstreams({"u2"});
    request("/order/a");
    auto wrong = ended(attempt_result::shed, 421);
    wrong.wrong_upstream = true;
    finish(started(), wrong);
    CHECK(refused() == error_kind::no_upstream);
    request("/read/a");
    CHECK(refused() == error_kind::no_upstream);
}

TEST(director_control, a_restart_under_the_same_id_is_a_new_upstream)
{
    configure();
    list_upstreams({"u1"});
    auto leaving = upstream("u1");
    leaving.draining = true;
    send_event(upstream_changed{leaving});
    auto again = upstream("u1");
    again.started_at_ms = 5;
    send_event(upstream_changed{again});
    request("/read/a");
    CHECK(started().upstream == base::upstream_id("u1"));
}

// Guards against requests to a zone that operators have evacuated.
TEST(director_control, evacuated_zones_get_no_requests_and_are_cold_afterwards)
{
    configure();
    list_upstreams({"u1"});
    send_event(zones_evacuated{{base::availability_zone_id("north-a")}});
    request("/read/a");
    CHECK(refused() == error_kind::no_upstream);
    send_event(zones_evacuated{{}});
    int sent = 0;
    for (int n = 0; n < 20; ++n)
    {
        request("/read/a", std::to_string(n));
        sent += action<start_attempt>() != nullptr ? 1 : 0;
    }
    LONGS_EQUAL(1, sent);
}

// Guards against dropping upstreams whose records expired only because the store was unreachable.
TEST(director_control, records_that_expire_in_a_store_outage_are_kept_for_a_grace_period)
{
    configure();
    list_upstreams({"u1"});
    interrupt_store();
    send_event(upstreams_listed{});
    request("/read/a");
    CHECK(action<start_attempt>() != nullptr);
    now += settings.expiry_grace_period;
    CHECK(it.next_wakeup() <= now);
    it.tick(now, out);
    request("/read/a");
    CHECK(refused() == error_kind::no_upstream);
}

// Guards against an entry that detects the store's recovery late and keeps sending to removed
// upstreams: an entry disconnected from the store sent to an upstream 12 s after its removal.
TEST(director_control, detecting_the_stores_recovery_late_does_not_extend_the_grace_period)
{
    configure();
    list_upstreams({"u1"});
    send_event(store_lost{});
    auto const last_unavailable_at = now;
    now += 1200ms;
    send_event(store_regained{last_unavailable_at});
    send_event(upstreams_listed{});
    now = last_unavailable_at + settings.expiry_grace_limit;
    it.tick(now, out);
    request("/read/a");
    CHECK(refused() == error_kind::no_upstream);
}

// Guards against requests to a removed upstream because a watch was cut as it was removed: it got
// orders until 2.3 s later, and they were cut when it exited.
TEST(director_control, records_missing_after_a_short_interruption_are_removed_at_once)
{
    configure();
    list_upstreams({"u1"});
    send_event(store_lost{});
    now += 100ms;
    send_event(store_regained{now, 1300ms});
    send_event(upstreams_listed{});
    request("/read/a");
    CHECK(refused() == error_kind::no_upstream);
}

// Guards against a removed upstream that stays in use for as long as watches are cut in series.
TEST(director_control, short_interruptions_do_not_extend_the_grace_period)
{
    configure();
    list_upstreams({"u1"});
    interrupt_store();
    auto const regained_at = now;
    send_event(upstreams_listed{});
    request("/read/a");
    CHECK(action<start_attempt>() != nullptr);
    while (now < regained_at + settings.expiry_grace_period)
    {
        now += 500ms;
        send_event(store_lost{});
        it.tick(now, out);
        send_event(store_regained{now, 1200ms});
        send_event(upstreams_listed{});
    }
    request("/read/a");
    CHECK(refused() == error_kind::no_upstream);
}

TEST(director_control, records_that_reappear_after_an_outage_are_kept)
{
    configure();
    list_upstreams({"u1"});
    interrupt_store();
    send_event(upstreams_listed{});
    send_event(upstream_changed{upstream("u1")});
    now += settings.expiry_grace_period * 2;
    it.tick(now, out);
    request("/read/a");
    CHECK(action<start_attempt>() != nullptr);
}

// Guards against replacing a configuration by an older one.
TEST(director_control, an_older_configuration_is_ignored)
{
    configure(configuration_of(7));
    auto older = configuration_of(6);
    older.routes.clear();
    configure(std::move(older));
    LONGS_EQUAL(7, it.version().value());
    LONGS_EQUAL(1, it.counters().stale_configurations);
}

TEST(director_control, look_ups_return_the_entries_of_the_callers_region)
{
    send_event(entries_listed{{{base::instance_id("e1"), base::availability_zone_id("north-a"),
                                base::region_id("north"), "10.0.0.1:1", ""},
                               {base::instance_id("e2"), base::availability_zone_id("south-a"),
                                base::region_id("south"), "10.0.0.2:1", ""}}});
    auto const south = it.look_up(base::availability_zone_id("south-a"), now);
    LONGS_EQUAL(1, south.size());
    CHECK(south[0] == "10.0.0.2:1");
    send_event(entry_removed{base::instance_id("e2")});
    auto const left = it.look_up(base::availability_zone_id("south-a"), now);
    CHECK(left.at(0) == "10.0.0.1:1");
}

// Guards against an entry that does not notice that it no longer receives control-plane changes.
TEST(director_control, an_entry_with_a_later_revision_is_reported_once)
{
    send_event(caught_up{at_revision(10)});
    peer_load load{base::instance_id("e2"), 1, {}, {}, at_revision(10)};
    it.on_peer_load(load, now, out);
    CHECK(action<newer_position_seen>() == nullptr);
    load = {base::instance_id("e2"), 2, {}, {}, at_revision(12)};
    it.on_peer_load(load, now, out);
    CHECK(action<newer_position_seen>()->peer_position == at_revision(12));
    out.clear();
    load.sequence = 3;
    it.on_peer_load(load, now, out);
    CHECK(action<newer_position_seen>() == nullptr);
    CHECK(it.load(now).position == at_revision(10));
}

// Guards against entries that get no callers: with more entries than a look-up may return, all
// look-ups returned the same ones.
TEST(director_control, every_entry_is_in_some_look_ups_and_each_entrys_answer_is_stable)
{
    constexpr int entries = 200;
    entries_listed listed;
    for (int n = 0; n < entries; ++n)
    {
        auto const name = "e" + std::to_string(n);
        listed.all.push_back({base::instance_id(name),
                              base::availability_zone_id("north-a"),
                              base::region_id("north"),
                              name,
                              {}});
    }
    auto const home = base::availability_zone_id("north-a");
    std::set<std::string> named;
    for (int n = 0; n < entries; ++n)
    {
        auto self = identity();
        self.id = base::instance_id("e" + std::to_string(n));
        director asked(settings, self, 1);
        asked.on_control(listed, now, out);
        auto const answer = asked.look_up(home, now);
        LONGS_EQUAL(settings.look_up_entries, answer.size());
        CHECK(answer == asked.look_up(home, now));
        named.insert(answer.begin(), answer.end());
    }
    LONGS_EQUAL(entries, named.size());
}
