#include "targets.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy::policy_bench;

namespace
{

/// Appends the missed targets whose names start with `prefix`.
void collect_missed(deployment const& where, std::vector<verdict> const& verdicts,
                    std::string const& prefix, std::string& missed)
{
    std::size_t found = 0;
    for (auto const& it : verdicts)
    {
        if (it.target.compare(0, prefix.size(), prefix) == 0)
        {
            ++found;
            missed += it.passed()
                          ? ""
                          : where.name + ", " + it.target + ": " + std::to_string(it.value) +
                                ", target " + std::to_string(it.bound) + "; ";
        }
    }
    CHECK(found > 0);
}

std::vector<verdict> const& verdicts_of(deployment const& where)
{
    static auto const first = evaluate(run_all(varjuvork(), false));
    static auto const second = evaluate(run_all(pamplemousses(), false));
    return where.name == "varjuvork" ? first : second;
}

void check_both(std::string const& prefix)
{
    std::string missed;
    for (auto const& where : {varjuvork(), pamplemousses()})
    {
        collect_missed(where, verdicts_of(where), prefix, missed);
    }
    CHECK_TEXT(missed.empty(), missed.c_str());
}

} // namespace

TEST_GROUP(policy){};

// Guards against an upstream that gets more requests than it has slots, in any scenario.
TEST(policy, uses_no_more_slots_than_there_are)
{
    check_both("slots in use");
}

// Guards against moves that pass a cap, in any scenario.
TEST(policy, moves_no_more_than_the_caps_allow)
{
    check_both("moves over caps");
}

// Guards against extra attempts that feed an overload.
TEST(policy, spends_less_than_five_percent_on_extra_attempts)
{
    check_both("hedges and retries");
}

// Guards against a tail that follows the slowest upstreams.
TEST(policy, halves_the_tail_of_the_best_baseline_with_slowed_upstreams)
{
    check_both("p99 of short work, two slowed");
}

// Guards against work that is lost under overload to requests that end too late.
TEST(policy, serves_what_the_capacity_allows_under_overload)
{
    check_both("weight on time of what the capacity allows");
}

// Guards against short work that waits behind long work.
TEST(policy, keeps_short_work_clear_of_stragglers)
{
    check_both("p99 of short work with stragglers");
}

// Guards against a policy that serves less weight on time than a simple one.
TEST(policy, serves_no_less_weight_than_any_baseline_at_95_and_120_percent)
{
    check_both("weight on time, none, 95 %");
    check_both("weight on time, none, 120 %");
}

// Guards against the same while upstreams are slow.
TEST(policy, serves_no_less_weight_than_any_baseline_with_slowed_upstreams)
{
    check_both("weight on time, two slowed");
}

TEST_GROUP(policy_at_light_load){};

// Guards against a policy that costs weight although there is room for everything.
TEST(policy_at_light_load, serves_no_less_weight_than_any_baseline_at_50_percent)
{
    check_both("weight on time, none, 50 %");
}

// Guards against the same at a usual load.
TEST(policy_at_light_load, serves_no_less_weight_than_any_baseline_at_80_percent)
{
    check_both("weight on time, none, 80 %");
}
