#include "claim_simulation_test.hpp"

#include <cstdio>
#include <string>
#include <unordered_set>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy::requests;
using namespace fuchsiaproxy::requests::testing;

namespace
{

char const* const step_names[] = {
    "submit",        "deliver",    "deliver_and_keep", "lose", "crash",          "restart",
    "unreachable",   "short_wait", "long_wait",        "tick", "heartbeat",      "caller_gone",
    "send",          "give_up",    "run_and_answer",   "shed", "shed_and_retry", "break_connection",
    "run_unobserved"};

/// Depth-first search over all orders of the events of a scenario.
class exploration
{
public:
    /// Returns the first violation with the events that lead to it, or an empty string.
    std::string run(scenario const& s)
    {
        visit(claim_simulation{s});
        return failure_;
    }

    std::size_t states() const
    {
        return visited_.size();
    }

private:
    void visit(claim_simulation const& from)
    {
        check(from.violation());
        if (!visited_.insert(from.hash()).second)
        {
            return;
        }
        bool is_last = true;
        for (auto const& it : from.steps())
        {
            if (!failure_.empty())
            {
                return;
            }
            is_last = is_last && it.kind == step_kind::tick;
            auto next = from;
            next.apply(it);
            path_.push_back(it);
            visit(next);
            path_.pop_back();
        }
        if (is_last)
        {
            check(from.unanswered());
        }
    }

    void check(std::string const& what)
    {
        if (what.empty() || !failure_.empty())
        {
            return;
        }
        failure_ = what + " after:";
        for (auto const& it : path_)
        {
            failure_ += std::string(" ") + step_names[int(it.kind)] + "(" + std::to_string(it.a) +
                        "," + std::to_string(it.b) + ")";
        }
    }

    std::unordered_set<std::uint64_t> visited_;
    std::vector<step> path_;
    std::string failure_;
};

// Entry 0 is the primary, entry 1 the witness, entry 2 neither.
std::vector<submission> const at_primary_and_other{{0, 0}, {2, 0}};
std::vector<submission> const at_primary_and_witness{{0, 0}, {1, 0}};
std::vector<submission> const twice_at_primary_and_other{{0, 0}, {0, 0}, {2, 0}};

void explore(std::vector<scenario> const& all)
{
    for (auto const& it : all)
    {
        exploration search;
        auto const failure = search.run(it);
        std::printf("\n%-44s %9zu states", it.name.c_str(), search.states());
        if (!failure.empty())
        {
            std::printf("\n%s: %s\n", it.name.c_str(), failure.c_str());
        }
        CHECK_TEXT(failure.empty(), failure.c_str());
    }
    std::printf("\n");
}

scenario make(std::string name, std::vector<submission> submissions)
{
    scenario s;
    s.name = std::move(name);
    s.submissions = std::move(submissions);
    return s;
}

} // namespace

TEST_GROUP(claim_exploration){};

// Guards against an order of deliveries, losses and duplicates in which an id runs twice, or is
// reported as "not run" although it runs.
TEST(claim_exploration, lost_duplicated_and_reordered_messages)
{
    auto a = make("messages, primary and other", at_primary_and_other);
    a.losses = 1;
    a.duplicates = 1;
    a.short_waits = 2;
    a.upstream_faults = true;
    auto b = make("messages, primary and witness", at_primary_and_witness);
    b.losses = 2;
    b.duplicates = 2;
    b.short_waits = 1;
    b.upstream_faults = true;
    auto c = make("messages, twice at primary, and other", twice_at_primary_and_other);
    c.losses = 1;
    c.duplicates = 1;
    c.caller_losses = 1;
    explore({a, b, c});
}

// Guards against a restarted process that grants, runs or resolves ids which name its earlier
// incarnation, although it has no records of them.
TEST(claim_exploration, crashes_and_restarts)
{
    auto a = make("crash, primary and other", at_primary_and_other);
    a.crashes = 2;
    a.short_waits = 1;
    auto b = make("crash, primary and witness", at_primary_and_witness);
    b.crashes = 2;
    b.short_waits = 2;
    b.upstream_faults = true;
    auto c = make("crash, twice at primary, and witness", {{0, 0}, {0, 0}, {1, 0}});
    c.crashes = 1;
    c.duplicates = 1;
    c.short_waits = 1;
    explore({a, b, c});
}

// Guards against wrong answers and grants after records or tombstones were discarded.
TEST(claim_exploration, pauses_past_the_claim_timeout_and_past_retention)
{
    auto a = make("pauses, primary and other", at_primary_and_other);
    a.short_waits = 1;
    a.long_waits = 2;
    auto b = make("pauses, primary and witness", at_primary_and_witness);
    b.short_waits = 1;
    b.long_waits = 2;
    b.duplicates = 1;
    auto c = make("pauses and a crash", at_primary_and_witness);
    c.short_waits = 1;
    c.long_waits = 1;
    c.crashes = 1;
    c.duplicates = 1;
    explore({a, b, c});
}

// Guards against treating an unreachable peer as proof that an id did not run.
TEST(claim_exploration, unreachable_peers)
{
    auto a = make("unreachable, primary and other", at_primary_and_other);
    a.unreachable = 2;
    a.losses = 1;
    auto b = make("unreachable, primary, witness and crash", at_primary_and_witness);
    b.unreachable = 2;
    b.crashes = 1;
    b.short_waits = 1;
    explore({a, b});
}

// Guards against ledgers that are full, or evict a primary, and then grant or run an id that they
// reported as "not run".
TEST(claim_exploration, full_ledgers_and_evicted_primaries)
{
    auto a = make("one record per ledger, two ids", {{0, 0}, {0, 1}, {1, 0}});
    a.ids = {{0, 1}, {0, 1}};
    a.limits.max_claims = 1;
    a.limits.max_witness_records = 1;
    a.duplicates = 1;
    a.long_waits = 1;
    auto b = make("one primary per witness", at_primary_and_witness);
    b.ids = {{0, 1}};
    b.limits.max_primaries = 1;
    b.heartbeats = 1;
    b.long_waits = 2;
    auto c = make("one primary per witness, two primaries", {{0, 0}, {2, 1}, {1, 0}});
    c.ids = {{0, 1}, {2, 1}};
    c.limits.max_primaries = 1;
    c.long_waits = 1;
    c.heartbeats = 1;
    explore({a, b, c});
}

// Guards against an id that runs twice or is reported wrongly, if it has no witness or if two
// entries are each other's witness.
TEST(claim_exploration, no_witness_and_mutual_witnesses)
{
    auto a = make("no witness", twice_at_primary_and_other);
    a.ids = {{0, -1}};
    a.crashes = 1;
    a.losses = 1;
    a.long_waits = 1;
    a.upstream_faults = true;
    auto b = make("mutual witnesses", {{0, 0}, {1, 1}, {1, 0}});
    b.entries = 2;
    b.ids = {{0, 1}, {1, 0}};
    b.crashes = 1;
    b.short_waits = 1;
    explore({a, b});
}
