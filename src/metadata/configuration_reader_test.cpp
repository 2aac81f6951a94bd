#include "fuchsiaproxy/metadata/configuration_reader.hpp"

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaproxy/model/manifest.hpp"

#include "../testing/manual_timer_service.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace std::chrono_literals;

namespace
{

// In-memory store whose calls stay pending until the test answers them.
class scripted_store final : public metadata::store
{
public:
    void get(std::string key, value_handler done) override
    {
        ++gets;
        pending.emplace_back(std::move(key), std::move(done));
    }

    void watch(std::string key, metadata::key_revision, base::duration, value_handler done) override
    {
        ++watches;
        pending.emplace_back(std::move(key), std::move(done));
    }

    void compare_and_swap(std::string, metadata::key_revision, std::string,
                          revision_handler) override
    {
    }
    void acquire_lease(std::string, std::string, base::duration, lease_handler) override {}
    void release_lease(std::string, std::string, release_handler) override {}

    // Answers up to `limit` pending calls, including those that the answers trigger.
    void answer_all(int limit = 20)
    {
        while (!pending.empty() && limit-- > 0)
        {
            auto const next = std::move(pending.front());
            pending.pop_front();
            auto const found = values.find(next.first);
            next.second(found == values.end() ? metadata::stored_value{} : found->second);
        }
    }

    void fail_all()
    {
        while (!pending.empty())
        {
            auto const next = std::move(pending.front());
            pending.pop_front();
            next.second(base::make_error(base::error_kind::store_unavailable, "down"));
        }
    }

    // Stores a configuration with one service, in the layout that the operator commands write.
    void put(std::uint64_t version, std::uint64_t revision)
    {
        model::configuration it;
        it.version = base::config_version(version);
        model::service service;
        service.id = base::service_id("s" + std::to_string(version));
        service.organisation = base::organisation_id("o");
        service.classes.resize(1);
        service.classes[0].name = "all";
        service.classes[0].deadline = 1s;
        it.services = {service};
        model::manifest head;
        head.version = it.version;
        for (auto const& segment : model::split_into_segments(it))
        {
            head.segments.push_back({segment.name, segment.hash});
            values[metadata::configuration_segment_key(segment.hash)] = {segment.document,
                                                                         metadata::key_revision(1)};
        }
        values[metadata::configuration_head_key] = {model::to_json(head),
                                                    metadata::key_revision(revision)};
    }

    std::map<std::string, metadata::stored_value> values;
    std::deque<std::pair<std::string, value_handler>> pending;
    int gets = 0;
    int watches = 0;
};

} // namespace

TEST_GROUP(configuration_reader)
{
    scripted_store store;
    fuchsiaproxy::testing::manual_timer_service timers;
    std::vector<std::uint64_t> versions;
    metadata::configuration_reader reader{
        store, timers, [this](auto const& it) { versions.push_back(it.value->version.value()); }};
};

// Guards against an entry that starts during a store outage and never retries the read.
TEST(configuration_reader, a_failed_read_is_retried_until_it_succeeds)
{
    reader.read_once();
    store.fail_all();
    timers.advance(250ms);
    store.put(1, 10);
    store.answer_all();
    LONGS_EQUAL(1, versions.size());
    LONGS_EQUAL(1, versions[0]);
}

// Guards against missed changes, and against reading segments that have not changed.
TEST(configuration_reader, a_watch_delivers_each_new_version_once)
{
    store.put(1, 10);
    reader.start_watching();
    store.answer_all();
    auto const gets = store.gets;
    store.put(2, 11);
    timers.advance(2s);
    store.answer_all();
    CHECK(versions == (std::vector<std::uint64_t>{1, 2}));
    // Only the segment of the new service has changed.
    LONGS_EQUAL(1, store.gets - gets);
}

// Guards against a return to an older configuration because of a stale answer from the store.
TEST(configuration_reader, an_answer_with_an_older_revision_is_ignored)
{
    store.put(2, 11);
    reader.start_watching();
    store.answer_all();
    store.put(1, 10);
    timers.advance(1s);
    store.answer_all();
    LONGS_EQUAL(1, versions.size());
    CHECK(reader.counters().stale_answers > 0);
}

// Guards against a busy loop if the store returns the unchanged value immediately.
TEST(configuration_reader, immediate_unchanged_answers_delay_the_next_watch)
{
    store.put(1, 10);
    reader.start_watching();
    for (int n = 0; n < 40; ++n)
    {
        timers.advance(25ms);
        store.answer_all();
    }
    CHECK(store.watches <= 6);
}

// Guards against further watches by a member that is no longer a hub.
TEST(configuration_reader, no_call_is_made_after_watching_has_stopped)
{
    store.put(1, 10);
    reader.start_watching();
    store.answer_all();
    reader.stop_watching();
    timers.advance(5s);
    store.answer_all();
    auto const watches = store.watches;
    timers.advance(5s);
    store.answer_all();
    LONGS_EQUAL(watches, store.watches);
}

// Guards against a configuration that mixes segments of two versions.
TEST(configuration_reader, a_segment_that_does_not_match_its_hash_is_not_used)
{
    store.put(1, 10);
    for (auto& it : store.values)
    {
        if (it.first.rfind("config/segment/", 0) == 0)
        {
            it.second.value = "{}";
        }
    }
    reader.read_once();
    store.answer_all();
    LONGS_EQUAL(0, versions.size());
    CHECK(reader.counters().invalid_manifests > 0);
}
