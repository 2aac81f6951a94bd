#include <sstream>

#include "fuchsiaproxy/telemetry/request_history.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::telemetry;

namespace
{

constexpr char const* log_text = R"(not a line of the log
  31.5 edge-1 {"time_ms":1000,"level":"info","event":"store_lost","why":"read: timed out"}
{"time_ms":1500,"level":"info","event":"attempt_failed","request":"a1","attempt":"7","upstream":"u3","rank":"0","expected_ms":"150","took_ms":"12","result":"broken"}
{"time_ms":1501,"level":"info","event":"request_failed","request":"a1","error":"upstream_failed","status":"502","attempts":"1","configuration":"4"}
{"time_ms":1600,"level":"info","event":"request_failed","request":"a2","error":"overloaded","status":"503","attempts":"0","service_load":"0.97","expected_ms":"915"}
{"time_ms":1700,"level":"info","event":"attempt_failed","request":"a4","attempt":"8","upstream":"u5","rank":"0","expected_ms":"150","took_ms":"2","result":"refused","refusal":"position"}
{"time_ms":1800,"level":"info","event":"body_failed","request":"a5","error":"request_timeout","status":"408","outcome":"may-have-run"}
{"time_ms":2300,"level":"info","event":"upstream_removed","upstream":"u3"}
{"time_ms":2300,"level":"info","event":"upstream_removed","upstream":"u4"}
{"time_ms":90000,"level":"info","event":"store_regained"}
{"time_ms":1550,"level":"info",)";

request_history history_of(std::string const& id)
{
    std::istringstream in(log_text);
    return explain_request(read_log(in, "edge-1"), id);
}

} // namespace

TEST_GROUP(request_history){};

TEST(request_history, broken_attempt_mentions_the_removal_of_its_upstream)
{
    auto const it = history_of("a1");
    LONGS_EQUAL(2, it.request_lines.size());
    LONGS_EQUAL(2, it.causes.size());
    STRCMP_CONTAINS("broken after 12 ms", it.causes[0].c_str());
    STRCMP_CONTAINS("its record was removed 800 ms later", it.causes[0].c_str());
    STRCMP_CONTAINS("may have run", it.causes[1].c_str());
}

// Guards against a request that ran although it was refused, and whose lines do not tell a refusal
// that was its own from one that was assumed to be, or show no answer at all.
TEST(request_history, doubtful_refusals_and_failed_bodies_are_explained)
{
    STRCMP_CONTAINS("a refusal behind other answers", history_of("a4").causes.at(0).c_str());
    auto const cause = history_of("a5").causes.at(0);
    STRCMP_CONTAINS("answered 408", cause.c_str());
    STRCMP_CONTAINS("may-have-run", cause.c_str());
}

// Guards against a context that contains every state change in the log instead of only those within
// a few seconds of the request.
TEST(request_history, only_changes_near_the_request_are_shown)
{
    auto const it = history_of("a1");
    LONGS_EQUAL(2, it.context.size());
    CHECK(it.context[0].event == "store_lost");
    CHECK(it.context[1].at("upstream") == "u3");
}

TEST(request_history, rejection_states_the_load_and_the_expected_time)
{
    auto const it = history_of("a2");
    STRCMP_CONTAINS("0.97 requests per slot", it.causes.at(0).c_str());
    STRCMP_CONTAINS("915 ms", it.causes.at(0).c_str());
}

// Guards against a parse error on a truncated last line, and against empty output for an id that is
// in no log.
TEST(request_history, unknown_id_is_reported_and_truncated_line_is_skipped)
{
    auto const it = history_of("a3");
    CHECK(it.request_lines.empty());
    STRCMP_CONTAINS("No line names a3", to_text(it, "a3").c_str());
    STRCMP_CONTAINS("what happened:", to_text(history_of("a1"), "a1").c_str());
}
