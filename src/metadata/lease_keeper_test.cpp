#include <deque>
#include <string>
#include <utility>

#include "../testing/manual_timer_service.hpp"
#include "fuchsiaproxy/metadata/lease_keeper.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using metadata::lease_id;

namespace
{

/// Store whose calls stay pending until the test completes them.
class scripted_store final : public metadata::key_value_store
{
public:
    void list(std::string, std::string, page_handler) override {}
    void watch(std::string, metadata::store_revision, base::duration, changes_handler) override {}
    void put(std::string key, std::string, lease_id lease, done_handler done) override
    {
        ++puts;
        last_key = std::move(key);
        last_lease = lease;
        put_done = std::move(done);
    }
    void grant_lease(base::duration, lease_handler done) override
    {
        ++grants;
        grant_done = std::move(done);
    }
    void renew_lease(lease_id, lease_handler done) override
    {
        ++renewals;
        renew_done = std::move(done);
    }
    void end_lease(lease_id lease, done_handler) override
    {
        ended = lease;
    }

    int grants = 0;
    int puts = 0;
    int renewals = 0;
    std::string last_key;
    lease_id last_lease;
    lease_id ended;
    lease_handler grant_done;
    done_handler put_done;
    lease_handler renew_done;
};

base::error error_of(base::error_kind kind)
{
    return {kind, "scripted"};
}

} // namespace

TEST_GROUP(lease_keeper)
{
    scripted_store store;
    testing::manual_timer_service timers;
    metadata::lease_settings settings;
    std::unique_ptr<metadata::lease_keeper> keeper;

    void setup() override
    {
        keeper =
            std::make_unique<metadata::lease_keeper>(store, timers, "entries/e1", "v", settings);
        keeper->start();
    }
    void teardown() override
    {
        keeper.reset();
    }
    void publish(std::uint64_t lease)
    {
        store.grant_done(metadata::granted_lease{lease_id(lease), settings.ttl});
        store.put_done(boost::outcome_v2::success());
    }
};

TEST(lease_keeper, publishes_the_key_and_renews_its_lease)
{
    publish(5);
    CHECK(store.last_key == "entries/e1");
    LONGS_EQUAL(5, store.last_lease.value());
    timers.advance(settings.renewal_period);
    LONGS_EQUAL(1, store.renewals);
    store.renew_done(metadata::granted_lease{lease_id(5), settings.ttl});
    timers.advance(settings.renewal_period);
    LONGS_EQUAL(2, store.renewals);
}

// Guards against an entry that stays unpublished after its lease expired during a store outage.
TEST(lease_keeper, replaces_a_lease_that_has_ended)
{
    publish(5);
    timers.advance(settings.renewal_period);
    store.renew_done(error_of(base::error_kind::lease_lost));
    publish(6);
    LONGS_EQUAL(2, store.puts);
    LONGS_EQUAL(6, store.last_lease.value());
}

// Guards against an expired lease because a failed renewal was not retried.
TEST(lease_keeper, retries_failed_calls)
{
    publish(5);
    timers.advance(settings.renewal_period);
    store.renew_done(error_of(base::error_kind::store_unavailable));
    timers.advance(settings.min_backoff);
    LONGS_EQUAL(2, store.renewals);
    store.renew_done(error_of(base::error_kind::store_answer_unknown));
    timers.advance(settings.renewal_period);
    LONGS_EQUAL(3, store.renewals);
    LONGS_EQUAL(1, store.grants);
}

// Guards against look-up answers that still contain an entry that is stopping.
TEST(lease_keeper, withdraws_by_revoking_the_lease)
{
    publish(5);
    keeper->withdraw();
    LONGS_EQUAL(5, store.ended.value());
    timers.advance(settings.renewal_period * 3);
    LONGS_EQUAL(0, store.renewals);
}
