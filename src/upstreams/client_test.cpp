#include <string>
#include <vector>

#include "client_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::upstreams;
using namespace std::chrono_literals;
using base::attempt_result;
using testing::raw_peer;

namespace
{

struct answer_case
{
    char const* name;
    std::string text;
    /// The upstream closes after the text.
    bool closes;
    attempt_result result;
    bool reused;
};

} // namespace

TEST_GROUP(upstream_answers){};

// Guards against answers that are accepted as complete although they were truncated or had
// ambiguous framing, and against connections that are reused in an unknown state.
TEST(upstream_answers, only_whole_unambiguous_answers_are_complete)
{
    auto const completed = attempt_result::completed;
    auto const broken = attempt_result::broken;
    std::vector<answer_case> const cases{
        {"counted", hello, false, completed, true},
        {"empty", answer_text("Content-Length: 0\r\n"), false, completed, true},
        {"no content", answer_text("", "", "204 No Content"), false, completed, true},
        {"chunked", answer_text("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n"), false,
         completed, true},
        {"after 100", answer_text("", "", "100 Continue") + hello, false, completed, true},
        {"connection close", answer_text("Connection: close\r\nContent-Length: 5\r\n", "hello"),
         false, completed, false},
        {"bytes behind the answer", hello + "x", false, completed, false},
        {"two answers", hello + hello, false, completed, false},
        {"no answer", "", true, broken, false},
        {"half a head", "HTTP/1.1 200 OK\r\nContent-Le", true, broken, false},
        {"head only", answer_text("Content-Length: 5\r\n"), true, broken, false},
        {"short body", answer_text("Content-Length: 5\r\n", "hell"), true, broken, false},
        {"no final chunk", answer_text("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n"), true,
         broken, false},
        {"cut final chunk", answer_text("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n"),
         true, broken, false},
        {"empty body, cut final chunk", answer_text("Transfer-Encoding: chunked\r\n", "0\r\n"),
         true, broken, false},
        {"bad chunk", answer_text("Transfer-Encoding: chunked\r\n", "5\r\nhelloworld\r\n"), false,
         broken, false},
        {"until close", answer_text("", "hello"), true, broken, false},
        {"both framings",
         answer_text("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), false,
         broken, false},
        {"two lengths", answer_text("Content-Length: 5\r\nContent-Length: 4\r\n", "hello"), false,
         broken, false},
        {"switching protocols", answer_text("", "", "101 Switching Protocols"), false, broken,
         false},
        {"not HTTP", "hello\r\n\r\n", false, broken, false},
        {"endless head", "HTTP/1.1 200 OK\r\nX: " + std::string(20000, 'a'), false, broken, false},
        {"shed", answer_text("Shed: 1\r\nContent-Length: 1\r\n", "x", "503 Busy"), false,
         attempt_result::shed, true},
        {"shed with a cut body", answer_text("Shed: 1\r\nContent-Length: 1\r\n", "", "503 Busy"),
         true, attempt_result::shed, false},
        {"declared status without the field", answer_text("Content-Length: 0\r\n", "", "503 Busy"),
         false, completed, true},
        {"field without a declared status",
         answer_text("Shed: 1\r\nContent-Length: 0\r\n", "", "500 Error"), false, completed, true},
    };
    for (auto const& it : cases)
    {
        client_fixture path;
        auto const id = path.start("POST");
        auto& peer = path.peer(0);
        peer.send(it.text);
        if (it.closes)
        {
            CHECK(path.until([&]() { return peer.sent() == it.text.size(); }));
            peer.close();
        }
        CHECK_TEXT(path.report(id).result == it.result, it.name);
        testing::run_ready(path.io);
        LONGS_EQUAL_TEXT(it.reused ? 1 : 0, path.it->idle_connections(), it.name);
        LONGS_EQUAL_TEXT(it.reused ? 1 : 0, path.it->connections(), it.name);
        LONGS_EQUAL_TEXT(0, path.buffers.in_use(), it.name);
        if (it.result == completed && path.heads[id].content_length == 5U)
        {
            CHECK_EQUAL_TEXT(std::string("hello"), path.texts[id], it.name);
        }
    }
}

// Guards against an upstream that ends the process: an empty chunked answer that stops within its
// last chunk was parsed twice without new input, which failed an assertion of the parser.
TEST(upstream_answers, an_empty_answer_that_stops_within_its_last_chunk_is_broken)
{
    client_fixture path;
    auto const id = path.start("POST");
    auto& peer = path.peer(0);
    peer.send(answer_text("Transfer-Encoding: chunked\r\n", "0\r\n"));
    CHECK(path.until([&]() { return path.heads.count(id) == 1; }));
    peer.close();
    CHECK(path.report(id).result == attempt_result::broken);
    LONGS_EQUAL(0, path.buffers.in_use());
}

// Guards against waiting for a body after an answer to HEAD, or reading the next answer as one.
TEST(upstream_answers, to_head_have_no_body)
{
    client_fixture path;
    auto const id = path.start("HEAD");
    path.peer(0).send(answer_text("Content-Length: 5\r\n"));
    CHECK(path.report(id).result == attempt_result::completed);
    CHECK(path.heads[id].content_length == 5U);
    LONGS_EQUAL(1, path.it->idle_connections());
}

// Guards against further requests to an upstream that has stated that it is leaving.
TEST(upstream_answers, report_that_the_upstream_is_leaving)
{
    for (std::string const fields : {"Connection: close\r\n", "Shed: 1\r\nDraining: 1\r\n", ""})
    {
        client_fixture path;
        auto const id = path.start();
        path.peer(0).send(answer_text(fields + "Content-Length: 0\r\n", "", "503 Busy"));
        CHECK_EQUAL(!fields.empty(), path.report(id).upstream_leaving);
    }
}

TEST_GROUP(attempt_ends)
{
    client_fixture path;
};

// Guards against a refused connection that is not reported as a connect failure with no bytes sent.
TEST(attempt_ends, refused_connections_are_connect_failures)
{
    path.upstream.close();
    auto const id = path.start("POST");
    CHECK(path.report(id).result == attempt_result::connect_failed);
    LONGS_EQUAL(0, path.report(id).bytes_sent);
    LONGS_EQUAL(0, path.it->connections());
}

// Guards against a request that is sent after its deadline because the process was suspended.
TEST(attempt_ends, nothing_is_sent_after_the_deadline)
{
    for (bool const pooled : {false, true})
    {
        if (pooled)
        {
            path.complete_one(1);
        }
        auto const id = path.start("POST");
        if (!pooled)
        {
            path.timers.freeze(3s);
            CHECK(path.report(id).result == attempt_result::not_sent);
            CHECK(path.until([&]() { return path.upstream.peers.size() == 1; }));
            CHECK_EQUAL(std::string(), path.upstream.peers[0]->text());
            LONGS_EQUAL(1, path.it->counters().late);
        }
    }
    attempt_request late;
    late.id = base::attempt_id(100);
    late.at = path.upstream.at();
    late.deadline = path.timers.now();
    path.attempts[late.id] = path.it->start(late, path);
    CHECK(path.report(late.id).result == attempt_result::not_sent);
    LONGS_EQUAL(0, path.report(late.id).bytes_sent);
}

// Guards against a request that waits past its deadline for an upstream that does not answer, and
// against the reuse of other connections to it, which may be stalled too.
TEST(attempt_ends, unresponsive_upstreams_time_out_and_their_connections_are_closed)
{
    auto const first = path.start();
    auto const second = path.start("POST");
    path.peer(1);
    path.peer(0).send(hello);
    CHECK(path.report(first).result == attempt_result::completed);
    LONGS_EQUAL(1, path.it->idle_connections());
    path.timers.advance(1999ms);
    testing::run_ready(path.io);
    LONGS_EQUAL(0, path.reports.count(second));
    path.timers.advance(1ms);
    CHECK(path.report(second).result == attempt_result::timed_out);
    CHECK(path.report(second).bytes_sent > 0);
    LONGS_EQUAL(0, path.it->connections());
    LONGS_EQUAL(1, path.it->counters().closed_after_failure);
}

// Guards against an attempt that never ends because the upstream stalls within the body, where the
// deadline no longer applies.
TEST(attempt_ends, an_answer_that_stalls_in_its_body_is_broken_after_the_idle_limit)
{
    auto const id = path.start();
    path.peer(0).send(answer_text("Content-Length: 10\r\n", "hello"));
    CHECK(path.until([&]() { return path.texts[id] == "hello"; }));
    path.timers.advance(4s);
    testing::run_ready(path.io);
    LONGS_EQUAL(0, path.reports.count(id));
    path.timers.advance(2s);
    CHECK(path.report(id).result == attempt_result::broken);
}

// Guards against an answer that comes after a cancel or a time-out and reaches the next request.
TEST(attempt_ends, late_answers_never_reach_the_next_request)
{
    for (bool const cancels : {true, false})
    {
        client_fixture one;
        auto const lost = one.start();
        auto& old = one.peer(0);
        if (cancels)
        {
            one.attempts[lost]->cancel();
        }
        one.timers.advance(cancels ? 0s : 2s);
        CHECK(one.report(lost).result ==
              (cancels ? attempt_result::cancelled : attempt_result::timed_out));
        auto const next = one.start();
        old.send(answer_text("Content-Length: 4\r\n", "late"));
        one.peer(1).send(hello);
        CHECK(one.report(next).result == attempt_result::completed);
        CHECK_EQUAL(std::string("hello"), one.texts[next]);
        CHECK(one.texts[lost].empty());
        CHECK(one.until([&]() { return old.ended(); }));
    }
}

// Guards against a cancelled attempt that is reported as possibly run although nothing was sent.
TEST(attempt_ends, cancelling_before_the_connection_is_established_sends_nothing)
{
    auto const id = path.start("POST");
    path.attempts[id]->cancel();
    LONGS_EQUAL(0, path.reports.size()); // Reported later, never from within the call.
    CHECK(path.report(id).result == attempt_result::not_sent);
    CHECK(path.until(
        [&]() { return path.upstream.peers.size() == 1 && path.upstream.peers[0]->ended(); }));
    CHECK_EQUAL(std::string(), path.upstream.peers[0]->text());
}

// Guards against a request that is sent although its answer could not be read.
TEST(attempt_ends, nothing_is_sent_without_a_buffer_for_the_answer)
{
    std::vector<http::pooled_buffer> taken;
    while (path.buffers.in_use() < 100)
    {
        taken.push_back(path.buffers.take());
    }
    auto const id = path.start("POST");
    CHECK(path.report(id).result == attempt_result::not_sent);
    CHECK(path.until([&]()
                     { return !path.upstream.peers.empty() && path.upstream.peers[0]->ended(); }));
    CHECK_EQUAL(std::string(), path.upstream.peers[0]->text());
}

TEST_GROUP(upstream_pools)
{
    client_fixture path;
};

// Guards against requests that are sent on a connection which the upstream has closed or on which
// an unsolicited answer has arrived.
TEST(upstream_pools, stale_connections_are_not_used)
{
    for (bool const closes : {true, false})
    {
        for (bool const seen : {true, false})
        {
            client_fixture one;
            one.complete_one();
            auto& old = *one.upstream.peers[0];
            closes ? old.close() : old.send(answer_text("Content-Length: 5\r\n", "wrong"));
            if (seen)
            {
                CHECK(one.until([&]() { return one.it->connections() == 0; }));
            }
            else if (!closes)
            {
                // Lets the bytes arrive before the client handles them.
                CHECK(one.until([&]() { return old.sent() > 0; }));
            }
            auto const id = one.start("POST");
            one.peer(1).send(hello);
            CHECK(one.report(id).result == attempt_result::completed);
            CHECK_EQUAL(std::string("hello"), one.texts[id]);
            LONGS_EQUAL(1, one.it->counters().stale);
        }
    }
}

// Guards against the result "not sent" for a request that was sent on a connection which then
// closed.
TEST(upstream_pools, a_connection_that_closes_after_the_request_was_sent_is_broken)
{
    path.complete_one();
    auto const id = path.start("POST");
    path.peer(0).reset();
    CHECK(path.report(id).result == attempt_result::broken);
    CHECK(path.report(id).bytes_sent > 0);
    LONGS_EQUAL(1, path.upstream.peers.size());
}

// Guards against a non-idempotent request on a connection that the upstream may be about to close.
TEST(upstream_pools, non_idempotent_requests_use_recent_connections_only)
{
    path.complete_one();
    path.timers.advance(900ms);
    auto const recent = path.start("POST");
    path.peer(0).send(hello);
    path.report(recent);
    path.upstream.peers[0]->clear();
    path.timers.advance(1100ms);
    auto const order = path.start("POST");
    path.peer(1).send(hello);
    path.report(order);
    LONGS_EQUAL(2, path.it->idle_connections());
    path.timers.advance(1100ms);
    path.start("GET");
    LONGS_EQUAL(2, path.it->counters().connects);
    LONGS_EQUAL(2, path.it->counters().reused);
}

// Guards against pools that exceed their connection limit or never close idle connections.
TEST(upstream_pools, are_bounded_and_close_idle_connections)
{
    client_settings limits;
    limits.max_connections = 2;
    client_fixture small(limits);
    auto const first = small.start();
    auto const second = small.start();
    auto const third = small.start();
    CHECK(small.report(third).result == attempt_result::not_sent);
    LONGS_EQUAL(1, small.it->counters().pool_full);
    small.peer(0).send(hello);
    small.peer(1).send(hello);
    small.report(first);
    small.report(second);
    LONGS_EQUAL(2, small.it->idle_connections());
    small.timers.advance(2s);
    auto const fresh = small.start("POST"); // Replaces an idle connection.
    small.peer(2).send(hello);
    small.report(fresh);
    LONGS_EQUAL(2, small.it->connections());
    small.timers.advance(31s);
    LONGS_EQUAL(0, small.it->connections());
}

// Guards against bodies that are truncated, duplicated or framed wrongly when sent to the upstream.
TEST(upstream_pools, bodies_are_streamed_in_either_framing)
{
    for (bool const counted : {true, false})
    {
        scripted_body body;
        body.length = counted ? std::optional<std::uint64_t>(10) : std::nullopt;
        body.text = "hello";
        body.ended = false;
        client_fixture one;
        auto const id = one.start("POST", &body);
        auto& peer = one.peer(0);
        CHECK(one.until([&]() { return peer.has("hello"); }));
        body.text += "world";
        body.ended = true;
        one.attempts[id]->body_ready();
        auto const expected =
            counted ? "\r\n\r\nhelloworld" : "\r\n\r\n5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n";
        CHECK(one.until([&]() { return peer.has(expected); }));
        CHECK_EQUAL(counted, peer.has("Content-Length: 10\r\n"));
        peer.send(hello);
        CHECK(one.report(id).result == attempt_result::completed);
        LONGS_EQUAL(1, one.it->idle_connections());
    }
}

// Guards against a connection that is reused although the upstream still waits for a body.
TEST(upstream_pools, early_answers_are_passed_on_and_their_connection_closed)
{
    scripted_body body;
    body.ended = false;
    body.text = "part";
    auto const id = path.start("POST", &body);
    path.peer(0).send(answer_text("Content-Length: 5\r\n", "hello", "413 Too Large"));
    CHECK(path.report(id).result == attempt_result::completed);
    LONGS_EQUAL(413, path.report(id).status);
    LONGS_EQUAL(0, path.it->connections());
}
