#include "claim_world_test.hpp"

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

/// The undisturbed course of one request; a fault strikes after any number of these steps.
std::vector<step> const course{{step_kind::submit, 0},         {step_kind::deliver, 0},
                               {step_kind::deliver, 0},        {step_kind::send, 0},
                               {step_kind::run_and_answer, 0}, {step_kind::deliver, 0}};
/// Steps after which the witness has granted, and after which it knows the status.
constexpr int granted = 2;
constexpr int reported = 6;

struct fault_case
{
    char const* name;
    std::vector<step> faults;
    /// Entry that takes no further step, or -1.
    int frozen = -1;
    bool lose_messages = false;
};

/// Lets every entry but `frozen` work until the deadlines have passed.
void settle(world& w, int frozen)
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

/// Answer of a caller that repeats the id at `entry` after the fault.
char answer_after(fault_case const& fault, int steps_before, int entry)
{
    scenario s;
    s.submissions = {{primary, 0}, {entry, 0}};
    s.crashes = 2;
    s.losses = 100;
    s.unreachable = 2;
    s.short_waits = 1'000;
    world w{s};
    for (int n = 0; n < steps_before; ++n)
    {
        w.apply(course[n]);
    }
    for (auto const& it : fault.faults)
    {
        w.apply(it);
    }
    while (fault.lose_messages && w.in_flight() > 0)
    {
        w.apply({step_kind::lose, 0});
    }
    w.apply({step_kind::submit, 1});
    settle(w, fault.frozen);
    CHECK_EQUAL(std::string{}, w.violation());
    return w.answer(1);
}

} // namespace

TEST_GROUP(claim_fault_share){};

// Guards against "may have run" where the protocol can know: with a live primary never, and with a
// lost one only between the grant and the report of the status. A claim on its way counts as
// granted, because it is delivered after its sender's death.
TEST(claim_fault_share, may_have_run_only_between_grant_and_report)
{
    std::array const cases{
        fault_case{"none", {}},
        fault_case{"witness dies", {{step_kind::crash, witness}}},
        fault_case{"witness dies and is replaced",
                   {{step_kind::crash, witness}, {step_kind::restart, witness}}},
        fault_case{"messages on the way are lost", {}, -1, true},
        fault_case{"primary dies", {{step_kind::crash, primary}}},
        fault_case{"primary dies and is replaced",
                   {{step_kind::crash, primary}, {step_kind::restart, primary}}},
        fault_case{"primary freezes", {}, primary},
        fault_case{"primary and witness die",
                   {{step_kind::crash, primary}, {step_kind::crash, witness}}},
    };
    std::printf("\nanswers to a repetition at another entry and at the witness; the fault strikes "
                "after 0 to 6 steps\n%-32s %8s %8s %8s\n",
                "fault", "not run", "already", "may have");
    for (std::size_t n = 0; n < cases.size(); ++n)
    {
        std::array<int, 128> counts{};
        bool const primary_lives = n < 4;
        bool const both_die = n + 1 == cases.size();
        for (int steps = 0; steps <= reported; ++steps)
        {
            for (int const entry : {other, witness})
            {
                if (entry == witness && (both_die || n == 1))
                {
                    continue;
                }
                auto const answer = answer_after(cases[n], steps, entry);
                ++counts[answer];
                CHECK(answer != 0);
                CHECK_TEXT(answer != 'm' || !primary_lives, cases[n].name);
                CHECK_TEXT(answer != 'm' || both_die || (steps >= granted - 1 && steps < reported),
                           cases[n].name);
            }
        }
        std::printf("%-32s %8d %8d %8d\n", cases[n].name, counts['n'], counts['a'], counts['m']);
    }
}
