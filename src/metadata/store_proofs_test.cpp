#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../testing/manual_suspension_clock.hpp"
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
class pending_store final : public metadata::key_value_store
{
public:
    void list(std::string, std::string, page_handler done) override
    {
        lists.push_back(std::move(done));
    }
    void watch(std::string, store_revision, base::duration wait, changes_handler done) override
    {
        waits.push_back(wait);
        watches.push_back(std::move(done));
    }
    void put(std::string, std::string, metadata::lease_id, done_handler) override {}
    void grant_lease(base::duration, lease_handler) override {}
    void renew_lease(metadata::lease_id, lease_handler) override {}
    void end_lease(metadata::lease_id, done_handler) override {}

    std::deque<page_handler> lists;
    std::deque<changes_handler> watches;
    std::vector<base::duration> waits;
};

/// Records proofs, and how many changes had been reported before each.
class recorded_proofs final : public metadata::follower_events
{
public:
    void listed(std::vector<key_value> const&) override
    {
        ++listings;
    }
    void changed(key_value const&) override
    {
        ++changes;
    }
    void store_lost(std::string const&) override {}
    void store_regained(metadata::store_interruption const&) override {}
    void watch_given_up(metadata::store_position, metadata::store_position) override {}
    void store_restored(metadata::store_era, base::time_point) override {}
    void caught_up(metadata::store_position) override {}
    void proven(base::suspension_time_point as_of) override
    {
        proofs.push_back(as_of);
        changes_before = changes;
        listings_before = listings;
    }

    int listings = 0;
    int changes = 0;
    std::vector<base::suspension_time_point> proofs;
    int listings_before = 0;
    int changes_before = 0;
};

} // namespace

TEST_GROUP(store_proofs)
{
    pending_store store;
    testing::manual_timer_service timers;
    testing::manual_suspension_clock suspension{timers};
    recorded_proofs events;
    metadata::follower_settings settings;
    metadata::store_era era{1};
    std::unique_ptr<metadata::store_follower> follower;

    void start(base::duration max_proof_age = {})
    {
        settings.watch_wait = 2500ms;
        settings.suspension = &suspension;
        settings.max_proof_age = max_proof_age;
        follower = std::make_unique<metadata::store_follower>(store, timers, events, settings);
        follower->start();
    }
    metadata::store_position at(std::uint64_t revision) const
    {
        return {era, store_revision(revision)};
    }
    void answer_list(bool has_more = false)
    {
        auto const done = std::move(store.lists.front());
        store.lists.pop_front();
        done(metadata::key_value_page{
            {key_value{"a", "v", store_revision(1), false}}, has_more, at(10)});
    }
    void answer_watch(std::uint64_t revision, int changes)
    {
        auto const done = std::move(store.watches.front());
        store.watches.pop_front();
        std::vector<key_value> const all(static_cast<std::size_t>(changes),
                                         key_value{"a", "v", store_revision(revision), false});
        done(metadata::key_value_changes{all, at(revision)});
    }
    void teardown() override
    {
        follower.reset();
    }
};

// Guards against a proof that covers the time after the first page was read: a key withdrawn while
// later pages are read is not in the listing.
TEST(store_proofs, a_listing_proves_the_start_of_its_first_call)
{
    auto const begin = suspension.now();
    start();
    timers.advance(300ms);
    answer_list(true);
    timers.advance(300ms);
    CHECK(events.proofs.empty());
    answer_list();
    LONGS_EQUAL(1, events.proofs.size());
    CHECK(events.proofs.back() == begin);
    LONGS_EQUAL(1, events.listings_before);
}

// Guards against a proof of a later time than the store answered for, and against one that is
// reported before the changes that it covers.
TEST(store_proofs, a_watch_with_changes_proves_its_start)
{
    start();
    answer_list();
    auto const sent = suspension.now();
    timers.advance(2600ms); // The change came last, or the answer was slow.
    answer_watch(11, 2);
    CHECK(events.proofs.back() == sent);
    LONGS_EQUAL(2, events.changes_before);
}

TEST(store_proofs, a_watch_that_ends_early_proves_its_start)
{
    start();
    answer_list();
    auto const sent = suspension.now();
    timers.advance(2499ms);
    answer_watch(10, 0);
    CHECK(events.proofs.back() == sent);
}

// Guards against refusals while the store confirms that nothing has changed.
TEST(store_proofs, a_watch_without_changes_proves_its_whole_wait)
{
    start();
    answer_list();
    auto const sent = suspension.now();
    timers.advance(2600ms);
    answer_watch(10, 0);
    CHECK(events.proofs.back() == sent + 2500ms);
}

// Guards against a proof of time that was spent suspended: the answer may have been sent early.
TEST(store_proofs, the_time_of_a_suspension_is_no_wait)
{
    start();
    answer_list();
    auto const sent = suspension.now();
    timers.advance(1s);
    suspension.suspend(10s);
    answer_watch(10, 0);
    CHECK(events.proofs.back() == sent);
}

// Guards against a proof by a call that failed or was given up.
TEST(store_proofs, a_failed_call_proves_nothing)
{
    start();
    answer_list();
    auto const done = std::move(store.watches.front());
    store.watches.pop_front();
    timers.advance(1s);
    done(base::error{base::error_kind::store_unavailable, "down"});
    LONGS_EQUAL(1, events.proofs.size());
    timers.advance(settings.max_backoff);
    auto const begin = suspension.now();
    auto const failing = std::move(store.lists.front());
    store.lists.pop_front();
    failing(base::error{base::error_kind::store_unavailable, "down"});
    LONGS_EQUAL(1, events.proofs.size());
    timers.advance(settings.max_backoff);
    answer_list();
    LONGS_EQUAL(2, events.proofs.size());
    CHECK(events.proofs.back() >= begin);
}

// Guards against a proof that reaches 5 s although the store answers: a change arrives at the end
// of a watch, which then proves only its start, and the next watch waits for its whole time.
TEST(store_proofs, the_watch_after_a_late_change_is_shorter)
{
    start(3200ms);
    answer_list();
    CHECK(store.waits.back() == 2500ms);
    timers.advance(2400ms + 300us);
    answer_watch(11, 1);
    CHECK(store.waits.back() == 799ms);
    timers.advance(799ms);
    answer_watch(11, 0);
    CHECK(store.waits.back() == 2500ms);
}

// Guards against refusals for a whole wait after a suspension.
TEST(store_proofs, the_watch_after_a_suspension_is_short)
{
    start(3200ms);
    answer_list();
    suspension.suspend(10s);
    timers.advance(700ms);
    answer_watch(10, 0);
    CHECK(store.waits.back() == settings.min_watch_wait);
    follower->set_max_proof_age({});
    timers.advance(settings.min_watch_wait);
    answer_watch(10, 0);
    timers.advance(settings.min_watch_interval);
    CHECK(store.waits.back() == 2500ms);
}

// Guards against changes that stay lost because the receiver could not take them, and against a
// listing at once, again and again, while it can't.
TEST(store_proofs, lists_again_on_demand)
{
    start();
    answer_list();
    follower->list_again();
    timers.advance(settings.min_watch_interval - 1ms);
    CHECK(store.lists.empty());
    timers.advance(1ms);
    LONGS_EQUAL(1, store.lists.size());
    answer_list();
    LONGS_EQUAL(2, events.listings);
    LONGS_EQUAL(2, store.watches.size());
    store.watches.pop_front();
    answer_watch(11, 1);
    LONGS_EQUAL(1, events.changes);
}

// Guards against a proof while the store may lack a withdrawal that it has confirmed: after a
// return from an older copy the withdrawn key would be served as if the entry followed the store.
TEST(store_proofs, nothing_is_proven_until_the_lost_changes_are_written_again)
{
    start();
    answer_list();
    LONGS_EQUAL(1, events.proofs.size());
    era = metadata::store_era(2);
    answer_watch(5, 0);
    answer_list();
    LONGS_EQUAL(1, events.proofs.size());
    timers.advance(settings.restore_settle_time);
    answer_watch(6, 1);
    LONGS_EQUAL(2, events.proofs.size());
}
