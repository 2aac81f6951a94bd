#include "fuchsiaproxy/base/error.hpp"

#include <set>
#include <string_view>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy::base;

TEST_GROUP(error_table){};

// Guards against a row that is out of order: `answer_for` uses the kind as an index, so that
// callers would get the answer of another kind.
TEST(error_table, rows_are_in_the_order_of_error_kind)
{
    std::set<std::string_view> names;
    for (int n = 0; n <= static_cast<int>(error_kind::internal); ++n)
    {
        auto const kind = static_cast<error_kind>(n);
        CHECK(answer_for(kind).kind == kind);
        CHECK(names.insert(name_of(kind)).second);
    }
}

// Guards against the outcome "not-run" for an error after which the request may have run.
TEST(error_table, errors_with_unknown_execution_are_reported_as_may_have_run)
{
    for (auto const kind : {error_kind::upstream_failed, error_kind::upstream_timeout,
                            error_kind::may_have_run, error_kind::internal})
    {
        CHECK(answer_for(kind).outcome == request_outcome::may_have_run);
    }
}
