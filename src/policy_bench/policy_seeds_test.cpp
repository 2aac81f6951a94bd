#include "targets.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy::policy_bench;

namespace
{

// The settings of the policy were chosen with seeds 1 to 3 in view; a seed of the bench is no
// excuse.
constexpr std::uint64_t other_seed = 2;

std::string missed_targets(deployment const& where)
{
    std::string missed;
    for (auto const& it : evaluate(run_all(where, false, other_seed)))
    {
        if (!it.passed())
        {
            missed += it.target + ": " + std::to_string(it.value) + ", target " +
                      std::to_string(it.bound) + "; ";
        }
    }
    return missed;
}

} // namespace

TEST_GROUP(policy_on_another_seed){};

// Guards against a policy that meets its targets on the arrivals of one seed only.
TEST(policy_on_another_seed, meets_every_target_on_varjuvork)
{
    STRCMP_EQUAL("", missed_targets(varjuvork()).c_str());
}

TEST(policy_on_another_seed, meets_every_target_on_pamplemousses)
{
    STRCMP_EQUAL("", missed_targets(pamplemousses()).c_str());
}
