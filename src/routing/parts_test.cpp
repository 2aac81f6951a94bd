#include <string>
#include <unordered_map>
#include <vector>

#include "fuchsiaproxy/limits/extra_attempt_budget.hpp"
#include "index_map.hpp"
#include "latency_estimator.hpp"
#include "ownership.hpp"
#include "request_queue.hpp"
#include "slot_ledger.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::routing;
using namespace std::chrono_literals;

TEST_GROUP(routing_parts){};

// Guards against keys that are lost when an erase shifts the cells that follow.
TEST(routing_parts, index_map_agrees_with_a_reference_under_random_use)
{
    index_map map;
    std::unordered_map<std::uint64_t, std::uint32_t> reference;
    std::uint64_t random = 7;
    for (std::uint32_t n = 0; n < 50000; ++n)
    {
        random = mix(random + n);
        auto const key = random % 6000;
        if ((random >> 32U) % 3 != 0)
        {
            map.insert(key, n);
            reference[key] = n;
        }
        else
        {
            map.erase(key);
            reference.erase(key);
        }
    }
    for (std::uint64_t key = 0; key < 6000; ++key)
    {
        auto const it = reference.find(key);
        LONGS_EQUAL(it == reference.end() ? no_index : it->second, map.find(key));
    }
}

// Guards against an owner in another zone while the zone has a live entry, and against owners that
// change for more upstreams than those of the entry that left.
TEST(routing_parts, owners_are_in_the_zone_and_change_only_with_their_entry)
{
    std::vector<owner_candidate> entries;
    for (std::uint32_t n = 0; n < 4; ++n)
    {
        entries.push_back({stable_hash("e" + std::to_string(n)), n, n / 2, 0, false});
    }
    auto without = entries;
    without.erase(without.begin());
    for (int n = 0; n < 200; ++n)
    {
        auto const hash = stable_hash("u" + std::to_string(n));
        auto const before = owner_of(hash, 0, 0, entries);
        auto const after = owner_of(hash, 0, 0, without);
        CHECK(before == 0 || before == 1);
        LONGS_EQUAL(1, after);
        CHECK(owner_of(hash, 1, 0, entries) == owner_of(hash, 1, 0, without));
        CHECK(owner_of(hash, 5, 0, entries) != no_index);
        LONGS_EQUAL(no_index, owner_of(hash, 5, 1, entries));
    }
}

// Guards against a slot that is lent twice or returned twice.
TEST(routing_parts, ledger_counts_each_loan_once)
{
    slot_ledger ledger;
    ledger.resize(1);
    ledger.set_slots(0, 2);
    ledger.take(0);
    ledger.add_loan({1, 4, 0});
    LONGS_EQUAL(0, ledger.free(0));
    LONGS_EQUAL(no_index, ledger.end_loan(5, 1));
    LONGS_EQUAL(0, ledger.end_loan(4, 1));
    LONGS_EQUAL(no_index, ledger.end_loan(4, 1));
    LONGS_EQUAL(1, ledger.free(0));
    ledger.set_slots(0, 0); // fewer slots than are in use
    LONGS_EQUAL(0, ledger.free(0));
}

// Guards against the refusal of a request of high rank while one of lower rank is ahead in the
// queue.
TEST(routing_parts, queue_finds_the_lowest_rank_ahead_of_a_request)
{
    request_queue queue(8);
    base::time_point const start{};
    queue.insert({0, 5, 1, start + 10ms, 1ms});
    queue.insert({0, 2, 2, start + 20ms, 1ms});
    queue.insert({0, 2, 3, start + 30ms, 1ms});
    queue.insert({0, 1, 4, start + 90ms, 1ms});
    queue_entry const heavy{0, 5, 5, start + 50ms, 1ms};
    LONGS_EQUAL(3, queue.at(queue.lowest_rank_before(heavy)).request);
    CHECK(queue.work_before(heavy) == 3ms);
    queue_entry const light{0, 1, 6, start + 95ms, 1ms};
    LONGS_EQUAL(queue.size(), queue.lowest_rank_before(light));
}

// Guards against a budget that allows more than its share or accumulates more than its burst.
TEST(routing_parts, budget_allows_its_share_only)
{
    limits::extra_attempt_budget budget(20, 2, 0);
    int spent = 0;
    for (int n = 0; n < 1000; ++n)
    {
        budget.on_first_attempt();
        spent += budget.try_take() ? 1 : 0;
    }
    CHECK(spent >= 19 && spent <= 20);
    for (int n = 0; n < 1000; ++n)
    {
        budget.on_first_attempt();
    }
    CHECK(budget.try_take() && budget.try_take() && !budget.try_take());
}

// Guards against an upstream that is rated as slow because of a single straggler.
TEST(routing_parts, slowness_ignores_single_stragglers_and_shows_lasting_slowness)
{
    slowness_window window;
    for (float const ratio : {1.0F, 1.2F, 15.0F, 0.8F, 1.1F, 15.0F, 0.9F, 1.0F})
    {
        window.add(ratio);
    }
    CHECK(window.established() && window.median() < 1.5F);
    for (int n = 0; n < 5; ++n)
    {
        window.add(10.0F);
    }
    CHECK(window.median() > 5.0F);
}
