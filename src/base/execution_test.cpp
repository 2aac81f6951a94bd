#include "fuchsiaproxy/base/execution.hpp"

#include <initializer_list>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy::base;

namespace
{

constexpr attempt_result all_results[] = {attempt_result::completed,
                                          attempt_result::shed,
                                          attempt_result::connect_failed,
                                          attempt_result::not_sent,
                                          attempt_result::cancelled_before_start,
                                          attempt_result::broken,
                                          attempt_result::timed_out,
                                          attempt_result::cancelled,
                                          attempt_result::stopped};

execution_record after(std::initializer_list<attempt_result> ends)
{
    execution_record made;
    for (auto const it : ends)
    {
        made.attempt_started();
        made.attempt_ended(it);
    }
    return made;
}

bool promises(error_reply const& it)
{
    return promises_not_run(it.status.value()) || it.outcome == request_outcome::not_run;
}

} // namespace

TEST_GROUP(execution){};

// Guards against a request that is answered as not run after an attempt that may have run it, or
// while one is open.
TEST(execution, only_attempts_that_did_not_run_prove_it)
{
    for (auto const it : all_results)
    {
        bool const proves = it == attempt_result::shed || it == attempt_result::connect_failed ||
                            it == attempt_result::not_sent ||
                            it == attempt_result::cancelled_before_start;
        CHECK(after({it}).proof().has_value() == proves);
        CHECK(after({it, attempt_result::shed}).proof().has_value() == proves);
        CHECK(after({attempt_result::shed, it}).proof().has_value() == proves);
    }
    CHECK(execution_record().proof().has_value());
    execution_record open;
    open.attempt_started();
    CHECK_FALSE(open.proof().has_value());
}

// Guards against a status or an outcome that promises "not run" without a proof, for any kind of
// error.
TEST(execution, no_kind_of_error_promises_without_a_proof)
{
    int promised = 0;
    for (int n = 0; n <= static_cast<int>(error_kind::internal); ++n)
    {
        auto const kind = static_cast<error_kind>(n);
        CHECK_FALSE(promises(reply_for(kind, {})));
        auto const proven = reply_for(kind, execution_record::never_sent());
        LONGS_EQUAL(answer_for(kind).http_status, proven.status.value());
        CHECK(proven.outcome == answer_for(kind).outcome);
        promised += promises_not_run(proven.status.value()) ? 1 : 0;
    }
    CHECK(promised > 0);
}

// Guards against a status that is lost although it promises nothing: the caller of a request that
// was too large or malformed would be told that the time was up.
TEST(execution, a_status_that_promises_nothing_is_kept)
{
    LONGS_EQUAL(413, reply_for(error_kind::request_too_large, {}).status.value());
    LONGS_EQUAL(400, reply_for(error_kind::bad_request, {}).status.value());
    LONGS_EQUAL(504, reply_for(error_kind::request_timeout, {}).status.value());
    LONGS_EQUAL(504, reply_for(error_kind::overloaded, {}).status.value());
}

TEST(execution, a_plain_status_cannot_promise)
{
    for (unsigned status = 100; status < 600; ++status)
    {
        CHECK(answer_status(status).value() == (promises_not_run(status) ? 504U : status));
        LONGS_EQUAL(status, answer_status(status, execution_record::never_sent()).value());
    }
}
