#include "targets.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy::policy_bench;

namespace
{

/// Appends the missed targets whose names start with `prefix`.
void collect_missed(deployment const& setup, std::vector<target_result> const& target_results,
                    std::string const& prefix, std::string& missed)
{
    std::size_t found = 0;
    for (auto const& it : target_results)
    {
        if (it.target.compare(0, prefix.size(), prefix) == 0)
        {
            ++found;
            missed += it.passed()
                          ? ""
                          : setup.name + ", " + it.target + ": " + std::to_string(it.value) +
                                ", target " + std::to_string(it.bound) + "; ";
        }
    }
    CHECK(found > 0);
}

std::vector<target_result> const& target_results_of(deployment const& setup)
{
    static auto const first = evaluate(run_scenarios(varjuvork(), false));
    static auto const second = evaluate(run_scenarios(pamplemousses(), false));
    return setup.name == "varjuvork" ? first : second;
}

void check_both_deployments(std::string const& prefix)
{
    std::string missed;
    for (auto const& setup : {varjuvork(), pamplemousses()})
    {
        collect_missed(setup, target_results_of(setup), prefix, missed);
    }
    CHECK_TEXT(missed.empty(), missed.c_str());
}

} // namespace

TEST_GROUP(policy){};

// Guards against sending an upstream more concurrent requests than it has slots, in any scenario.
TEST(policy, uses_no_more_slots_than_there_are)
{
    check_both_deployments("slots in use");
}

// Guards against moving more requests between two regions than the cap allows, in any scenario.
TEST(policy, moves_no_more_than_the_caps_allow)
{
    check_both_deployments("moves over caps");
}

// Guards against hedges and retries that add to an overload.
TEST(policy, spends_less_than_five_percent_on_extra_attempts)
{
    check_both_deployments("hedges and retries");
}

// Guards against a p99 latency that is determined by the slowest upstreams.
TEST(policy, halves_the_p99_of_the_best_baseline_with_slowed_upstreams)
{
    check_both_deployments("p99 of short work, two slowed");
}

// Guards against spending capacity under overload on requests that miss their deadline.
TEST(policy, serves_what_the_capacity_allows_under_overload)
{
    check_both_deployments("weight on time of what the capacity allows");
}

// Guards against short requests that wait behind long ones.
TEST(policy, stragglers_add_at_most_half_to_the_p99_of_short_requests)
{
    check_both_deployments("p99 of short work with stragglers");
}

// Guards against serving less weight on time than a baseline policy near or above full load.
TEST(policy, serves_no_less_weight_than_any_baseline_at_95_and_120_percent)
{
    check_both_deployments("weight on time, none, 95 %");
    check_both_deployments("weight on time, none, 120 %");
}

// Guards against serving less weight on time than a baseline policy while upstreams are slow.
TEST(policy, serves_no_less_weight_than_any_baseline_with_slowed_upstreams)
{
    check_both_deployments("weight on time, two slowed");
}

TEST_GROUP(policy_at_light_load){};

// Guards against serving less weight on time than a baseline policy although the capacity
// suffices for every request.
TEST(policy_at_light_load, serves_no_less_weight_than_any_baseline_at_50_percent)
{
    check_both_deployments("weight on time, none, 50 %");
}

// Guards against serving less weight on time than a baseline policy at a usual load.
TEST(policy_at_light_load, serves_no_less_weight_than_any_baseline_at_80_percent)
{
    check_both_deployments("weight on time, none, 80 %");
}
