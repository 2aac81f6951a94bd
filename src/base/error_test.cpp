#include "fuchsiaproxy/base/error.hpp"

#include <set>
#include <string_view>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy::base;

TEST_GROUP(error_table){};

// Guards against a row that is out of order, which would give callers another kind's answer.
TEST(error_table, every_row_stands_at_its_kind)
{
    std::set<std::string_view> names;
    for (int n = 0; n <= static_cast<int>(error_kind::internal); ++n)
    {
        auto const kind = static_cast<error_kind>(n);
        CHECK(answer_for(kind).kind == kind);
        CHECK(names.insert(name_of(kind)).second);
    }
}

// Guards against the claim "not run" for an error that leaves the execution unknown.
TEST(error_table, unknown_executions_are_never_reported_as_not_run)
{
    for (auto const kind : {error_kind::upstream_failed, error_kind::upstream_timeout,
                            error_kind::may_have_run, error_kind::internal})
    {
        CHECK(answer_for(kind).outcome == request_outcome::may_have_run);
    }
}
