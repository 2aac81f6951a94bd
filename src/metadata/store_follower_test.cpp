#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "../testing/manual_timer_service.hpp"
#include "fuchsiaproxy/metadata/store_follower.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace std::chrono_literals;
using metadata::key_value;
using metadata::store_revision;

namespace
{

/// Store whose calls stay pending until the test answers them.
class scripted_store final : public metadata::key_value_store
{
public:
    struct listing
    {
        std::string after;
        page_handler done;
    };
    struct waiting_watch
    {
        store_revision after;
        base::duration wait;
        changes_handler done;
    };

    void list(std::string, std::string after, page_handler done) override
    {
        lists.push_back({std::move(after), std::move(done)});
    }
    void watch(std::string, store_revision after, base::duration wait,
               changes_handler done) override
    {
        watches.push_back({after, wait, std::move(done)});
    }
    void put(std::string, std::string, metadata::lease_id, done_handler) override {}
    void grant_lease(base::duration, lease_handler) override {}
    void renew_lease(metadata::lease_id, lease_handler) override {}
    void end_lease(metadata::lease_id, done_handler) override {}

    listing take_list()
    {
        CHECK_FALSE(lists.empty());
        auto it = std::move(lists.front());
        lists.pop_front();
        return it;
    }
    waiting_watch take_watch()
    {
        CHECK_FALSE(watches.empty());
        auto it = std::move(watches.front());
        watches.pop_front();
        return it;
    }

    std::deque<listing> lists;
    std::deque<waiting_watch> watches;
};

class recorded_events final : public metadata::follower_events
{
public:
    void listed(std::vector<key_value> const& items) override
    {
        ++listings;
        last_listing = items;
    }
    void changed(key_value const& it) override
    {
        changes.push_back(it.key);
    }
    void store_lost(std::string const&) override
    {
        reachability.push_back(false);
    }
    void store_regained(base::time_point at) override
    {
        reachability.push_back(true);
        last_unavailable_at = at;
    }

    int listings = 0;
    std::vector<key_value> last_listing;
    std::vector<std::string> changes;
    void watch_given_up(store_revision, store_revision peer_revision) override
    {
        abandoned_for = peer_revision;
    }
    void caught_up(store_revision at) override
    {
        revision = at;
    }
    std::vector<bool> reachability;
    base::time_point last_unavailable_at{};
    store_revision revision;
    store_revision abandoned_for;
};

key_value item(std::string key, std::uint64_t revision)
{
    return {std::move(key), "v", store_revision(revision), false};
}

metadata::key_value_page page(std::vector<key_value> items, bool more, std::uint64_t current)
{
    return {std::move(items), more, store_revision(current)};
}

base::error unavailable()
{
    return {base::error_kind::store_unavailable, "down"};
}

} // namespace

TEST_GROUP(store_follower)
{
    scripted_store store;
    testing::manual_timer_service timers;
    recorded_events events;
    metadata::follower_settings settings;
    std::unique_ptr<metadata::store_follower> follower;

    void setup() override
    {
        settings.min_watch_interval = 700ms;
        follower = std::make_unique<metadata::store_follower>(store, timers, events, settings);
        follower->start();
    }
    void teardown() override
    {
        follower.reset();
    }
    void list_at(std::uint64_t revision)
    {
        store.take_list().done(page({item("a", 1)}, false, revision));
    }
};

// Guards against losing a change that is made while the pages of a listing are read.
TEST(store_follower, watches_from_the_revision_of_the_first_page)
{
    store.take_list().done(page({item("a", 1)}, true, 10));
    auto second = store.take_list();
    CHECK(second.after == "a");
    second.done(page({item("b", 2)}, false, 15));
    LONGS_EQUAL(1, events.listings);
    LONGS_EQUAL(2, events.last_listing.size());
    LONGS_EQUAL(10, store.take_watch().after.value());
}

// Guards against watching again after a failed watch. If the store has dropped the history since,
// it accepts the new watch but reports nothing until the next change: an entry used an outdated
// configuration for 5 s.
TEST(store_follower, lists_again_after_a_watch_has_failed)
{
    list_at(10);
    store.take_watch().done(base::error{base::error_kind::store_answer_unknown, "reset"});
    timers.advance(settings.max_backoff);
    CHECK(store.watches.empty());
    LONGS_EQUAL(1, store.lists.size());
    list_at(12);
    LONGS_EQUAL(2, events.listings);
    LONGS_EQUAL(12, store.take_watch().after.value());
}

TEST(store_follower, lists_immediately_when_the_history_is_lost)
{
    list_at(10);
    store.take_watch().done(base::error{base::error_kind::history_lost, "410"});
    LONGS_EQUAL(1, store.lists.size());
}

// Guards against one call to the store per change when keys change often.
TEST(store_follower, fetches_changes_in_batches)
{
    list_at(10);
    store.take_watch().done(metadata::key_value_changes{{item("a", 11)}, store_revision(11)});
    LONGS_EQUAL(1, events.changes.size());
    CHECK(store.watches.empty());
    timers.advance(699ms);
    CHECK(store.watches.empty());
    timers.advance(1ms);
    LONGS_EQUAL(11, store.take_watch().after.value());
}

// Guards against an outage that is reported once per failed call, or not at all.
TEST(store_follower, reports_each_outage_and_recovery_once)
{
    list_at(10);
    store.take_watch().done(unavailable());
    for (int n = 0; n < 3; ++n)
    {
        timers.advance(settings.max_backoff);
        store.take_list().done(unavailable());
    }
    timers.advance(settings.max_backoff);
    list_at(20);
    LONGS_EQUAL(2, events.reachability.size());
    CHECK_FALSE(events.reachability[0]);
    CHECK(events.reachability[1]);
}

// Guards against a grace period that starts when the recovery of the store is detected. After a
// listing that timed out, upstreams that had left earlier were kept beyond the operators' limit.
TEST(store_follower, reports_when_the_store_was_last_unreachable)
{
    list_at(10);
    store.take_watch().done(unavailable());
    while (store.lists.empty())
    {
        timers.advance(1ms);
    }
    auto const asked = timers.now();
    auto pending = store.take_list();
    timers.advance(1500ms);
    pending.done(unavailable());
    timers.advance(settings.max_backoff);
    list_at(20);
    CHECK(events.last_unavailable_at <= asked);
    CHECK(events.last_unavailable_at > asked - 1ms);
}

// Guards against a watch on an unresponsive connection behind a proxy that still answers keep-alive
// probes: an entry used an outdated configuration until the watch reached its own time limit of
// 20 s.
TEST(store_follower, replaces_a_watch_that_lags_behind_another_follower)
{
    list_at(10);
    auto unresponsive = store.take_watch();
    follower->on_peer_revision(store_revision(12));
    timers.advance(settings.max_watch_lag - 1ms);
    CHECK(store.lists.empty());
    timers.advance(1ms);
    list_at(12);
    CHECK(events.revision == store_revision(12));
    LONGS_EQUAL(1, follower->counters().lagging_watches);
    CHECK(events.abandoned_for == store_revision(12));
    unresponsive.done(metadata::key_value_changes{{item("late", 11)}, store_revision(11)});
    CHECK(events.changes.empty());
    LONGS_EQUAL(12, store.take_watch().after.value());
}

// Guards against needless listings, which are expensive, while a watch lags only briefly.
TEST(store_follower, keeps_a_watch_that_catches_up)
{
    list_at(10);
    follower->on_peer_revision(store_revision(12));
    timers.advance(settings.max_watch_lag / 2);
    store.take_watch().done(metadata::key_value_changes{{item("a", 12)}, store_revision(12)});
    timers.advance(settings.min_watch_interval);
    CHECK_FALSE(store.watches.empty());
    timers.advance(settings.max_watch_lag);
    CHECK(store.lists.empty());
}

// Guards against a watch that was sent while the store did not respond, and is never answered: all
// entries kept an outdated configuration until the watch reached its own time limit of 20 s.
TEST(store_follower, replaces_a_watch_that_is_not_answered)
{
    list_at(10);
    auto const sent = timers.now();
    auto unanswered = store.take_watch();
    timers.advance(settings.watch_wait + settings.answer_margin - 1ms);
    CHECK(store.lists.empty());
    timers.advance(1ms + settings.max_backoff);
    LONGS_EQUAL(1, store.lists.size());
    list_at(12);
    CHECK(events.revision == store_revision(12));
    LONGS_EQUAL(2, events.reachability.size());
    CHECK(events.last_unavailable_at == sent + settings.watch_wait);
    LONGS_EQUAL(1, follower->counters().unanswered_watches);
    unanswered.done(metadata::key_value_changes{{item("late", 11)}, store_revision(11)});
    CHECK(events.changes.empty());
}

// Guards against a lost watch that an entry keeps although it has become a sentinel since.
TEST(store_follower, a_shorter_wait_applies_to_the_watch_in_progress)
{
    list_at(10);
    timers.advance(5s);
    follower->set_watch_wait(2s);
    timers.advance(2s + settings.answer_margin + settings.max_backoff);
    LONGS_EQUAL(1, store.lists.size());
}

// Guards against a watch that is given up too soon, and listings that it would cost, when an entry
// is no longer a sentinel.
TEST(store_follower, a_longer_wait_applies_to_the_next_watch)
{
    follower->set_watch_wait(2s);
    list_at(10);
    follower->set_watch_wait(20s);
    store.take_watch().done(metadata::key_value_changes{{}, store_revision(10)});
    timers.advance(settings.min_watch_interval);
    CHECK(store.take_watch().wait == 20s);
    timers.advance(19s);
    CHECK(store.lists.empty());
}
