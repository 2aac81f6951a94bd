#include "claim_simulation_test.hpp"

#include <array>
#include <cstdio>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy::requests;
using namespace fuchsiaproxy::requests::testing;

namespace
{

constexpr int primary = 0;
constexpr int witness = 1;
constexpr int other = 2;

/// The steps of one request without faults; a fault is injected after any number of them.
std::vector<step> const fault_free_steps{{step_kind::submit, 0},         {step_kind::deliver, 0},
                                         {step_kind::deliver, 0},        {step_kind::send, 0},
                                         {step_kind::run_and_answer, 0}, {step_kind::deliver, 0}};
// Numbers of steps after which the witness has granted the claim, and has received the status.
constexpr int granted_after = 2;
constexpr int reported_after = 6;

struct fault_case
{
    char const* name;
    std::vector<step> faults;
    /// Entry that takes no further steps, or -1 for none.
    int frozen = -1;
    bool lose_messages = false;
};

/// Runs every entry except `frozen` until all deadlines have passed.
void run_past_deadlines(claim_simulation& w, int frozen)
{
    for (int round = 0; round < 40; ++round)
    {
        for (bool more = true; more;)
        {
            more = false;
            for (auto const& it : w.steps())
            {
                auto const is_delivery =
                    it.kind == step_kind::deliver && w.receiver(it.a) != frozen;
                auto const is_run =
                    (it.kind == step_kind::send || it.kind == step_kind::run_and_answer ||
                     it.kind == step_kind::run_unobserved) &&
                    (w.runner(it.a) != frozen);
                if (is_delivery || is_run)
                {
                    w.apply(it);
                    more = true;
                    break;
                }
            }
        }
        for (int n = 0; n < 3; ++n)
        {
            if (n != frozen && w.is_alive(n))
            {
                w.apply({step_kind::short_wait, n});
                w.apply({step_kind::tick, n});
            }
        }
    }
}

/// Returns the answer to a repetition of the id that is sent to `entry` after the fault.
char answer_after(fault_case const& fault, int steps_before, int entry)
{
    scenario s;
    s.submissions = {{primary, 0}, {entry, 0}};
    s.crashes = 2;
    s.losses = 100;
    s.unreachable = 2;
    s.short_waits = 1'000;
    claim_simulation w{s};
    for (int n = 0; n < steps_before; ++n)
    {
        w.apply(fault_free_steps[n]);
    }
    for (auto const& it : fault.faults)
    {
        w.apply(it);
    }
    while (fault.lose_messages && w.messages_in_transit() > 0)
    {
        w.apply({step_kind::lose, 0});
    }
    w.apply({step_kind::submit, 1});
    run_past_deadlines(w, fault.frozen);
    CHECK_EQUAL(std::string{}, w.violation());
    return w.answer(1);
}

} // namespace

TEST_GROUP(claim_fault_share){};

// Guards against the answer "may have run" where the outcome can be determined. The answer is
// allowed only if the primary is lost between the grant and the report of the status, or if the
// witness is lost too. A claim in transit counts as granted, because it is delivered although its
// sender crashed.
TEST(claim_fault_share, may_have_run_only_between_grant_and_report)
{
    std::array const cases{
        fault_case{"none", {}},
        fault_case{"witness crashes", {{step_kind::crash, witness}}},
        fault_case{"witness crashes and restarts",
                   {{step_kind::crash, witness}, {step_kind::restart, witness}}},
        fault_case{"messages in transit are lost", {}, -1, true},
        fault_case{"primary crashes", {{step_kind::crash, primary}}},
        fault_case{"primary crashes and restarts",
                   {{step_kind::crash, primary}, {step_kind::restart, primary}}},
        fault_case{"primary is frozen", {}, primary},
        fault_case{"primary and witness crash",
                   {{step_kind::crash, primary}, {step_kind::crash, witness}}},
    };
    std::printf("\nanswers to a repetition at another entry and at the witness; the fault occurs "
                "after 0 to 6 steps\n%-32s %8s %8s %8s\n",
                "fault", "not run", "already", "may have");
    for (std::size_t n = 0; n < cases.size(); ++n)
    {
        std::array<int, 128> counts{};
        bool const primary_up = n < 4;
        bool const both_crash = n + 1 == cases.size();
        for (int steps = 0; steps <= reported_after; ++steps)
        {
            for (int const entry : {other, witness})
            {
                if (entry == witness && (both_crash || n == 1))
                {
                    continue;
                }
                auto const answer = answer_after(cases[n], steps, entry);
                ++counts[answer];
                CHECK(answer != 0);
                CHECK_TEXT(answer != 'm' || !primary_up, cases[n].name);
                CHECK_TEXT(answer != 'm' || both_crash ||
                               (steps >= granted_after - 1 && steps < reported_after),
                           cases[n].name);
            }
        }
        std::printf("%-32s %8d %8d %8d\n", cases[n].name, counts['n'], counts['a'], counts['m']);
    }
}
