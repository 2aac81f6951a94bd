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
using metadata::store_position;
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
    void close_idle_connections() override
    {
        ++idle_closes;
    }

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

    int idle_closes = 0;
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
    void store_regained(metadata::store_interruption const& it) override
    {
        reachability.push_back(true);
        last_unavailable_at = it.last_unavailable_at;
        longest_silence = it.longest_silence;
    }

    int listings = 0;
    std::vector<key_value> last_listing;
    std::vector<std::string> changes;
    void watch_given_up(store_position, store_position peer_position) override
    {
        abandoned_for = peer_position;
    }
    void store_restored(metadata::store_era era, base::time_point at) override
    {
        restored.push_back(era.value());
        restored_after = at;
    }
    void caught_up(store_position at) override
    {
        position = at;
    }
    std::vector<bool> reachability;
    base::time_point last_unavailable_at{};
    base::duration longest_silence{};
    std::vector<std::uint64_t> restored;
    base::time_point restored_after{};
    store_position position;
    store_position abandoned_for;
};

key_value item(std::string key, std::uint64_t revision)
{
    return {std::move(key), "v", store_revision(revision), false};
}

store_position position(std::uint64_t revision, std::uint64_t era = 0)
{
    return {metadata::store_era(era), store_revision(revision)};
}

metadata::key_value_page page(std::vector<key_value> items, bool more, std::uint64_t current,
                              std::uint64_t era = 0)
{
    return {std::move(items), more, position(current, era)};
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
    void list_at(std::uint64_t revision, std::uint64_t era = 0)
    {
        store.take_list().done(page({item("a", 1)}, false, revision, era));
    }
    void end_call(metadata::call_outcome outcome)
    {
        follower->on_call_ended({timers.now(), outcome});
    }
    void state_era(std::uint64_t era)
    {
        follower->on_call_ended(
            {timers.now(), metadata::call_outcome::answered, false, metadata::store_era(era)});
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

// Guards against a cut watch that is taken for an outage: the store answers all other calls, so no
// record can have expired, and what the next listing lacks was removed.
TEST(store_follower, a_cut_watch_is_an_interruption_as_long_as_no_call_was_answered)
{
    list_at(10);
    for (int n = 0; n < 12; ++n)
    {
        timers.advance(1200ms);
        end_call(metadata::call_outcome::answered);
    }
    timers.advance(300ms);
    store.take_watch().done(base::error{base::error_kind::store_answer_unknown, "reset"});
    timers.advance(settings.max_backoff);
    auto const listed_at = timers.now();
    list_at(12);
    CHECK(events.reachability == std::vector<bool>({false, true}));
    CHECK(events.longest_silence == 1200ms);
    CHECK(events.last_unavailable_at < listed_at);
}

// Guards against an outage that passes for an interruption because a call was answered after it,
// before the next listing, and against one that is counted again later.
TEST(store_follower, an_outage_is_measured_although_other_calls_are_answered_first)
{
    list_at(10);
    auto const lost = timers.now();
    timers.advance(1s);
    end_call(metadata::call_outcome::refused);
    timers.advance(4s);
    store.take_watch().done(unavailable());
    end_call(metadata::call_outcome::answered);
    auto const regained = timers.now();
    timers.advance(settings.max_backoff);
    list_at(12);
    CHECK(events.longest_silence == regained - lost);
    CHECK(events.last_unavailable_at == regained);
    store.take_watch().done(unavailable());
    timers.advance(settings.max_backoff);
    list_at(13);
    CHECK(events.longest_silence == settings.max_backoff);
}

// Guards against a removal that is noticed late because all open connections to the store have
// fallen silent together: a watch sent on one was noticed only 2.7 s later, and where no other
// entry had seen a change only with its wait.
TEST(store_follower, a_watch_beside_an_unanswered_call_is_replaced_once_the_store_answers)
{
    list_at(10);
    auto const suspect = store.take_watch();
    end_call(metadata::call_outcome::answered);
    end_call(metadata::call_outcome::refused);
    end_call(metadata::call_outcome::answered);
    follower->on_call_ended({timers.now(), metadata::call_outcome::unanswered, true});
    end_call(metadata::call_outcome::answered);
    CHECK(store.lists.empty());
    end_call(metadata::call_outcome::unanswered);
    CHECK(store.lists.empty()); // The store may be away.
    end_call(metadata::call_outcome::answered);
    LONGS_EQUAL(1, store.lists.size());
    LONGS_EQUAL(1, follower->counters().suspect_watches);
    suspect.done(metadata::key_value_changes{{item("b", 11)}, position(11)});
    CHECK(events.changes.empty());
    list_at(11);
    end_call(metadata::call_outcome::answered);
    CHECK(store.lists.empty());
    LONGS_EQUAL(1, store.watches.size());
    CHECK(events.longest_silence == 0s);
}

// Guards against live upstreams that are dropped after an outage in which their records expired, as
// a watch that is abandoned only after the return has not failed before; and against a listing on
// another connection that has become unresponsive with that of the watch.
TEST(store_follower, an_outage_during_an_abandoned_watch_is_reported)
{
    for (bool const lags : {true, false})
    {
        list_at(10);
        auto const watch = store.take_watch();
        timers.advance(1s);
        auto const sent_at = timers.now();
        timers.advance(4s);
        follower->on_call_ended({sent_at, metadata::call_outcome::unanswered});
        lags ? follower->on_peer_position(position(11))
             : end_call(metadata::call_outcome::answered);
        timers.advance(lags ? settings.max_watch_lag : 0s);
        LONGS_EQUAL(lags ? 1 : 2, store.idle_closes);
        list_at(12);
        CHECK(events.reachability == std::vector<bool>{true});
        CHECK(events.longest_silence == 5s + (lags ? settings.max_watch_lag : 0s));
        CHECK(events.last_unavailable_at == sent_at);
        events.reachability.clear();
        store.take_watch().done(base::error{base::error_kind::history_lost, "410"});
    }
}

// Guards against upstreams that are dropped because an entry has not heard from the store at all.
TEST(store_follower, a_store_that_has_never_answered_was_away_for_an_unknown_time)
{
    store.take_list().done(unavailable());
    timers.advance(settings.max_backoff);
    list_at(10);
    CHECK(events.longest_silence == base::duration::max());
}

// Guards against one call to the store per change when keys change often.
TEST(store_follower, fetches_changes_in_batches)
{
    list_at(10);
    store.take_watch().done(metadata::key_value_changes{{item("a", 11)}, position(11)});
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
    follower->on_peer_position(position(12));
    timers.advance(settings.max_watch_lag - 1ms);
    CHECK(store.lists.empty());
    timers.advance(1ms);
    list_at(12);
    CHECK(events.position == position(12));
    LONGS_EQUAL(1, follower->counters().lagging_watches);
    CHECK(events.abandoned_for == position(12));
    unresponsive.done(metadata::key_value_changes{{item("late", 11)}, position(11)});
    CHECK(events.changes.empty());
    LONGS_EQUAL(12, store.take_watch().after.value());
}

// Guards against needless listings, which are expensive, while a watch lags only briefly.
TEST(store_follower, keeps_a_watch_that_catches_up)
{
    list_at(10);
    follower->on_peer_position(position(12));
    timers.advance(settings.max_watch_lag / 2);
    store.take_watch().done(metadata::key_value_changes{{item("a", 12)}, position(12)});
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
    CHECK(events.position == position(12));
    LONGS_EQUAL(2, events.reachability.size());
    CHECK(events.last_unavailable_at == sent + settings.watch_wait);
    LONGS_EQUAL(1, follower->counters().unanswered_watches);
    unanswered.done(metadata::key_value_changes{{item("late", 11)}, position(11)});
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
    store.take_watch().done(metadata::key_value_changes{{}, position(10)});
    timers.advance(settings.min_watch_interval);
    CHECK(store.take_watch().wait == 20s);
    timers.advance(19s);
    CHECK(store.lists.empty());
}

// Guards against an entry that follows an older copy of the store with the revisions of the one
// before: until its watch ended, after up to 20 s, it did not see what was written again.
TEST(store_follower, lists_at_once_when_another_call_states_a_later_era)
{
    list_at(10, 3);
    state_era(3);
    auto waiting = store.take_watch();
    timers.advance(5s);
    state_era(4);
    LONGS_EQUAL(1, store.lists.size());
    list_at(7, 4);
    CHECK(events.position == position(7, 4));
    LONGS_EQUAL(7, store.take_watch().after.value());
    waiting.done(metadata::key_value_changes{{item("late", 11)}, position(11, 3)});
    CHECK(events.changes.empty());
    CHECK(events.position == position(7, 4));
    LONGS_EQUAL(1, events.restored.size());
    LONGS_EQUAL(1, follower->counters().restored_stores);
}

// Guards against listings that a store costs at each start of an entry because it states its era
// for the first time.
TEST(store_follower, the_first_era_is_no_return)
{
    state_era(3);
    list_at(10, 3);
    CHECK(store.lists.empty());
    LONGS_EQUAL(1, store.watches.size());
    CHECK(events.restored.empty());
}

// Guards against changes of the new copy, in which revisions are issued again, that are taken for
// those after the last listing of the older one.
TEST(store_follower, a_watch_answered_by_a_later_era_reports_no_changes)
{
    list_at(10, 3);
    store.take_watch().done(metadata::key_value_changes{{item("a", 12)}, position(12, 4)});
    CHECK(events.changes.empty());
    list_at(12, 4);
    CHECK(events.position == position(12, 4));
    LONGS_EQUAL(1, events.restored.size());
}

// Guards against a follower that stays with the first return when the store returns twice in a row,
// and against one that joins pages of two copies.
TEST(store_follower, two_returns_in_a_row_end_with_a_listing_of_the_last)
{
    list_at(10, 3);
    state_era(4);
    auto outdated = store.take_list();
    state_era(5);
    LONGS_EQUAL(1, store.lists.size());
    outdated.done(page({item("old", 2)}, false, 6, 4));
    LONGS_EQUAL(1, events.listings);
    LONGS_EQUAL(0, follower->counters().failed_calls);
    store.take_list().done(page({item("a", 1)}, true, 5, 5));
    store.take_list().done(page({item("b", 1)}, false, 4, 6));
    LONGS_EQUAL(1, events.listings);
    CHECK(store.take_list().after.empty());
    LONGS_EQUAL(3, events.restored.size());
}

// Guards against an answer of the older copy that comes late and replaces what is known of the new
// one.
TEST(store_follower, a_late_answer_of_an_older_era_changes_nothing)
{
    list_at(10, 4);
    auto const before = events.position;
    state_era(3);
    CHECK(store.lists.empty());
    store.take_watch().done(metadata::key_value_changes{{item("a", 90)}, position(90, 3)});
    CHECK(events.changes.empty());
    timers.advance(settings.max_backoff);
    store.take_list().done(page({item("old", 2)}, false, 95, 3));
    LONGS_EQUAL(1, events.listings);
    CHECK(events.position == before);
    LONGS_EQUAL(2, follower->counters().outdated_answers);
    timers.advance(settings.max_backoff);
    list_at(11, 4);
    CHECK(events.position == position(11, 4));
}

// Guards against an entry that was cut off while the store returned, and then watches from a
// revision that has been issued again meanwhile.
TEST(store_follower, a_return_behind_a_cut_is_found_by_the_listing_after_it)
{
    list_at(10, 3);
    store.take_watch().done(unavailable());
    for (int n = 0; n < 3; ++n)
    {
        timers.advance(settings.max_backoff);
        auto pending = store.take_list();
        timers.advance(1500ms);
        pending.done(unavailable());
    }
    timers.advance(settings.max_backoff);
    list_at(25, 4);
    CHECK(events.position == position(25, 4));
    LONGS_EQUAL(1, events.restored.size());
    CHECK(events.restored_after == events.last_unavailable_at);
    LONGS_EQUAL(25, store.take_watch().after.value());
}

// Guards against a grace period that is counted from a time long before the return, as that of the
// last watch, and so is over when the return is noticed.
TEST(store_follower, reports_when_the_store_had_last_not_returned)
{
    list_at(10, 3);
    timers.advance(15s);
    end_call(metadata::call_outcome::unanswered);
    auto const failed = timers.now();
    timers.advance(1s);
    state_era(4);
    CHECK(events.restored_after == failed);
}

// Guards against a peer of the older era whose higher revision makes this entry list again and
// again.
TEST(store_follower, a_higher_revision_of_an_older_era_is_not_later)
{
    list_at(10, 4);
    follower->on_peer_position(position(1000, 3));
    timers.advance(settings.max_watch_lag * 3);
    CHECK(store.lists.empty());
    follower->on_peer_position(position(2, 5));
    timers.advance(settings.max_watch_lag);
    LONGS_EQUAL(1, store.lists.size());
}
