#include "fuchsiaproxy/routing/dispatcher.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace std::chrono_literals;
using routing::attempt_result;

namespace
{

struct counting_permit : routing::move_permit
{
    bool try_move(base::place_id const&, base::place_id const&, base::byte_count,
                  base::time_point) override
    {
        calls += 1;
        return calls <= allowed;
    }
    int calls = 0;
    int allowed = 1'000'000;
};

/// Zones h-a and h-b in one region; one place in each; class 0 is idempotent, class 1 is not.
model::configuration two_zones(std::uint32_t upstreams, std::uint32_t slots)
{
    model::configuration it;
    it.delays = {500us, 20ms, 3ms};
    it.services.push_back({base::service_id("catalog"),
                           {},
                           {{"lookup", "", "/", true, base::request_weight(1), 400ms},
                            {"order", "POST", "/", false, base::request_weight(5), 400ms}},
                           {},
                           0.999});
    for (std::string const zone : {"h-a", "h-b"})
    {
        it.zones.push_back({base::availability_zone_id(zone), base::region_id("h")});
        model::place place{base::place_id("catalog@" + zone),
                           base::service_id("catalog"),
                           base::availability_zone_id(zone),
                           {}};
        for (std::uint32_t n = 0; n < upstreams; ++n)
        {
            place.upstreams.push_back({base::upstream_id(zone + "/" + std::to_string(n)),
                                       {"10.0.0.1", 80},
                                       base::slot_count(slots),
                                       400});
        }
        it.places.push_back(std::move(place));
    }
    return it;
}

messages::entry_info entry(std::string const& id, std::string const& zone)
{
    messages::entry_info it;
    it.id = base::instance_id(id);
    it.region = base::region_id("h");
    it.zone = base::availability_zone_id(zone);
    return it;
}

routing::dispatcher make_dispatcher(std::string const& id, std::string const& zone,
                                    routing::move_permit& permit,
                                    routing::dispatcher_settings const& settings = {})
{
    return {{base::instance_id(id), base::region_id("h"), base::availability_zone_id(zone)},
            std::hash<std::string>{}(id),
            permit,
            settings};
}

template <class Action>
std::vector<Action> actions_of(routing::dispatch_actions const& actions)
{
    std::vector<Action> found;
    for (auto const& it : actions)
    {
        if (auto const* const one = std::get_if<Action>(&it))
        {
            found.push_back(*one);
        }
    }
    return found;
}

} // namespace

TEST_GROUP(dispatcher)
{
    counting_permit permit;
    base::time_point now{};
    routing::dispatch_actions actions;
    std::uint64_t next_id = 1;

    base::local_request_id submit(routing::dispatcher & d, std::size_t kind = 0,
                                  base::duration deadline = 400ms)
    {
        base::local_request_id const id(next_id++);
        d.enqueue({id, base::service_id("catalog"), kind, now, now + deadline, {}}, now, actions);
        return id;
    }

    /// Configures `d` with `entries` and lets the takeover of its upstreams time out.
    void settle(routing::dispatcher & d, model::configuration const& configuration,
                std::vector<messages::entry_info> const& entries)
    {
        d.configure(configuration, now);
        d.set_entries(entries, now);
        now += 10s;
        d.tick(now, actions);
        now -= 10s;
        actions.clear(); // the handover messages of the setup
    }

    void advance(routing::dispatcher & d, base::duration by)
    {
        auto const end = now + by;
        while (d.next_wakeup(now) <= end)
        {
            now = std::max(now, d.next_wakeup(now));
            d.tick(now, actions);
        }
        now = end;
    }

    std::vector<routing::start_attempt> take_started()
    {
        auto const it = actions_of<routing::start_attempt>(actions);
        actions.clear();
        return it;
    }
};

// Guards against more attempts at an upstream than it has slots, and against a lost wakeup: the
// waiting request starts when a slot is returned.
TEST(dispatcher, never_uses_more_slots_than_an_upstream_has)
{
    auto d = make_dispatcher("a", "h-a", permit,
                             []
                             {
                                 routing::dispatcher_settings s;
                                 s.switches.warming = false;
                                 return s;
                             }());
    settle(d, two_zones(1, 2), {entry("a", "h-a")});
    for (int n = 0; n < 7; ++n)
    {
        submit(d);
    }
    auto const started = take_started();
    LONGS_EQUAL(4, started.size());
    LONGS_EQUAL(3, d.queued(base::service_id("catalog")));
    now += 20ms;
    d.on_attempt_finished(started[0].attempt, attempt_result::completed, now, actions);
    auto const next = take_started();
    LONGS_EQUAL(1, next.size());
    CHECK(next[0].upstream == started[0].upstream);
}

// Guards against the reuse of a slot on which the upstream may still run an abandoned request.
TEST(dispatcher, keeps_the_slot_of_an_attempt_with_unknown_end_until_its_deadline)
{
    struct row
    {
        attempt_result outcome;
        bool free_at_once;
    };
    for (auto const& it :
         {row{attempt_result::broken, false}, row{attempt_result::cancelled, false},
          row{attempt_result::timed_out, false}, row{attempt_result::stopped, true},
          row{attempt_result::shed, true}, row{attempt_result::completed, true}})
    {
        auto configuration = two_zones(1, 1);
        configuration.places.pop_back();
        auto d = make_dispatcher("a", "h-a", permit);
        settle(d, configuration, {entry("a", "h-a")});
        submit(d, 1);
        auto const first = take_started();
        LONGS_EQUAL(1, first.size());
        now += 10ms;
        d.on_attempt_finished(first[0].attempt, it.outcome, now, actions);
        take_started();
        submit(d, 1);
        LONGS_EQUAL(it.free_at_once ? 1 : 0, take_started().size());
        advance(d, 380ms);
        submit(d, 1, 400ms);
        advance(d, 100ms);
        CHECK(it.free_at_once || take_started().size() == 1);
        actions.clear();
    }
}

// Guards against a second run of an order: only a proof that the first attempt did not run allows
// another one, and there is never a hedge.
TEST(dispatcher, retries_an_order_only_after_a_proof_that_it_did_not_run)
{
    struct row
    {
        attempt_result outcome;
        std::size_t more_attempts;
    };
    for (auto const& it :
         {row{attempt_result::shed, 1}, row{attempt_result::connect_failed, 1},
          row{attempt_result::not_sent, 1}, row{attempt_result::cancelled_before_start, 1},
          row{attempt_result::broken, 0}, row{attempt_result::timed_out, 0},
          row{attempt_result::cancelled, 0}, row{attempt_result::stopped, 0}})
    {
        routing::dispatcher_settings settings;
        settings.retry_permille = 1000; // so that the budget allows the attempt
        auto d = make_dispatcher("a", "h-a", permit, settings);
        settle(d, two_zones(2, 4), {entry("a", "h-a")});
        submit(d, 1);
        auto const first = take_started();
        LONGS_EQUAL(1, first.size());
        advance(d, 300ms);
        LONGS_EQUAL(0, take_started().size());
        d.on_attempt_finished(first[0].attempt, it.outcome, now, actions);
        auto const gave_up = actions_of<routing::fail_request>(actions);
        LONGS_EQUAL(it.more_attempts, take_started().size());
        LONGS_EQUAL(1 - it.more_attempts, gave_up.size());
        for (auto const& end : gave_up)
        {
            CHECK(base::answer_for(end.kind).outcome ==
                  (it.outcome == attempt_result::shed ? base::request_outcome::not_run
                                                      : base::request_outcome::may_have_run));
        }
    }
}

// Guards against a loan that is used after its expiry or whose slot the owner reuses early.
TEST(dispatcher, counts_a_lent_slot_as_used_until_it_is_returned_or_must_be_idle)
{
    auto configuration = two_zones(1, 1);
    configuration.places.pop_back();
    auto const entries = std::vector{entry("a", "h-a"), entry("b", "h-b")};
    routing::dispatcher_settings settings;
    auto owner = make_dispatcher("a", "h-a", permit, settings);
    settle(owner, configuration, entries);
    owner.on_message(base::instance_id("b"),
                     messages::loan_request{7, base::service_id("catalog"), 1}, now, actions);
    auto const sent = actions_of<routing::send_message>(actions);
    LONGS_EQUAL(1, sent.size());
    auto const& loan = std::get<messages::loan_answer>(sent[0].body);
    LONGS_EQUAL(1, loan.slots);
    actions.clear();
    // A duplicate of the request lends nothing more.
    owner.on_message(base::instance_id("b"),
                     messages::loan_request{7, base::service_id("catalog"), 1}, now, actions);
    LONGS_EQUAL(0, actions.size());

    advance(owner, loan.valid_for + 390ms);
    submit(owner);
    LONGS_EQUAL(0, take_started().size());
    advance(owner, 70ms);
    LONGS_EQUAL(1, take_started().size());
    LONGS_EQUAL(1, owner.counters().loans_lapsed);
}

// Guards against a borrower that keeps a slot it does not need, or uses one it did not request.
TEST(dispatcher, borrows_when_its_own_slots_are_taken_and_returns_idle_loans)
{
    auto configuration = two_zones(1, 1);
    configuration.places.pop_back();
    auto const entries = std::vector{entry("a", "h-a"), entry("b", "h-b")};
    auto borrower = make_dispatcher("b", "h-b", permit);
    settle(borrower, configuration, entries);
    submit(borrower);
    auto const sent = actions_of<routing::send_message>(actions);
    LONGS_EQUAL(1, sent.size());
    CHECK(sent[0].to == base::instance_id("a"));
    auto const number = std::get<messages::loan_request>(sent[0].body).number;
    actions.clear();
    messages::loan_answer const loan{number, base::upstream_id("h-a/0"), 1, 500ms};
    borrower.on_message(base::instance_id("a"), loan, now, actions);
    auto const started = take_started();
    LONGS_EQUAL(1, started.size());
    now += 20ms;
    borrower.on_attempt_finished(started[0].attempt, attempt_result::completed, now, actions);
    LONGS_EQUAL(0, actions_of<routing::send_message>(actions).size());
    advance(borrower, 50ms);
    auto const back = actions_of<routing::send_message>(actions);
    LONGS_EQUAL(1, back.size());
    CHECK(std::get<messages::loan_return>(back[0].body).number == number);
    actions.clear();
    // The same answer again is refused with a loan_return.
    borrower.on_message(base::instance_id("a"), loan, now, actions);
    LONGS_EQUAL(1, actions_of<routing::send_message>(actions).size());
    submit(borrower);
    LONGS_EQUAL(0, actions_of<routing::start_attempt>(actions).size());
}

// Guards against two owners that use the same slot while their views of the entries differ.
TEST(dispatcher, hands_out_no_slot_before_the_takeover_has_ended)
{
    auto d = make_dispatcher("a", "h-a", permit);
    d.configure(two_zones(1, 4), now);
    d.set_entries({entry("a", "h-a")}, now);
    advance(d, 3800ms);
    submit(d);
    LONGS_EQUAL(0, take_started().size());
    advance(d, 200ms);
    LONGS_EQUAL(1, take_started().size());
}

// Guards against new work for a leaving upstream, a drained place, or a move that the permit
// refused.
TEST(dispatcher, starts_nothing_on_leaving_upstreams_drained_places_or_refused_moves)
{
    auto configuration = two_zones(1, 4);
    auto const entries = std::vector{entry("a", "h-a")};
    auto d = make_dispatcher("a", "h-a", permit);
    settle(d, configuration, entries);
    permit.allowed = 0;
    d.set_leaving(base::upstream_id("h-a/0"));
    submit(d);
    LONGS_EQUAL(0, take_started().size());
    CHECK(d.counters().moves_refused > 0);
    CHECK(d.explain(base::service_id("catalog"), 0, {}, now).back().reason == "leaving");
    d.clear_leaving(base::upstream_id("h-a/0"));
    configuration.drains.push_back({base::drain_id("d"), {}, base::place_id("catalog@h-a")});
    d.configure(configuration, now);
    advance(d, 10ms);
    LONGS_EQUAL(0, take_started().size());
    permit.allowed = 1'000'000;
    advance(d, 10ms);
    auto const started = take_started();
    LONGS_EQUAL(1, started.size());
    CHECK(started[0].upstream == base::upstream_id("h-b/0"));
}

// Guards against hedges that the budget does not cover, and against a slower attempt that is not
// cancelled.
TEST(dispatcher, hedges_a_slow_lookup_within_its_budget_and_cancels_the_slower_attempt)
{
    routing::dispatcher_settings settings;
    settings.switches.warming = false;
    auto d = make_dispatcher("a", "h-a", permit, settings);
    settle(d, two_zones(2, 4), {entry("a", "h-a")});
    for (int n = 0; n < 100; ++n)
    {
        submit(d);
        auto const one = take_started();
        LONGS_EQUAL(1, one.size());
        advance(d, 10ms);
        d.on_attempt_finished(one[0].attempt, attempt_result::completed, now, actions);
    }
    actions.clear();
    std::vector<routing::start_attempt> slow;
    for (int n = 0; n < 6; ++n)
    {
        submit(d);
        slow.push_back(take_started().at(0));
    }
    advance(d, 15ms);
    auto const hedges = take_started();
    LONGS_EQUAL(3, hedges.size()); // 3 % of 106 requests
    auto const& hedge = hedges[0];
    auto const slower = std::find_if(slow.begin(), slow.end(),
                                     [&](auto const& it) { return it.request == hedge.request; });
    CHECK(slower->upstream != hedge.upstream);
    d.on_attempt_head(hedge.attempt, now, actions);
    auto const cancelled = actions_of<routing::cancel_attempt>(actions);
    LONGS_EQUAL(1, cancelled.size());
    CHECK(cancelled[0].attempt == slower->attempt);
    LONGS_EQUAL(3, d.counters().hedges);
}
