#include "server_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::callers;
using namespace std::chrono_literals;
using testing::raw_peer;

namespace
{

struct refusal
{
    char const* name;
    std::string text;
    char const* status;
};

std::string many_fields(int count)
{
    std::string out;
    for (int n = 0; n < count; ++n)
    {
        out += "X: a\r\n";
    }
    return out;
}

} // namespace

TEST_GROUP(refused_requests)
{
    served path;
};

// Guards against requests that are smuggled, that exhaust memory, or that reach the handler
// although they were refused. The answer has to arrive although the caller goes on sending.
TEST(refused_requests, get_the_documented_status_and_a_closed_connection)
{
    std::vector<refusal> const cases{
        {"both framings",
         request_text("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "POST /s"), "400"},
        {"two lengths", request_text("Content-Length: 5\r\nContent-Length: 5\r\n"), "400"},
        {"folded", request_text("A: b\r\n c\r\n"), "400"},
        {"bare LF, no end of head", "GET / HTTP/1.1\nHost", "400"},
        {"not HTTP", "\x16\x03\x01\x02", "400"},
        {"connect", request_text("", "CONNECT h:1"), "400"},
        {"target without slash", request_text("", "GET s/a"), "400"},
        {"bad deadline", request_text("Deadline-Ms: soon\r\n"), "400"},
        {"two deadlines", request_text("Deadline-Ms: 1\r\nDeadline-Ms: 2\r\n"), "400"},
        {"two request ids", request_text("Request-Id: a\r\nRequest-Id: b\r\n"), "400"},
        {"two services", request_text("Service: a\r\nService: b\r\n"), "400"},
        {"unknown expectation", request_text("Expect: coffee\r\n"), "400"},
        {"long field", request_text("X: " + std::string(17000, 'a') + "\r\n"), "431"},
        {"endless head", "GET /" + std::string(300000, 'a'), "431"},
        {"field flood", request_text(many_fields(100)), "431"},
        {"large body", request_text("Content-Length: 67108865\r\n", "POST /s"), "413"},
    };
    for (auto const& it : cases)
    {
        auto const answer = path.dialogue(it.text);
        CHECK_TEXT(starts_with(answer, std::string("HTTP/1.1 ") + it.status), it.name);
        CHECK_TEXT(answer.find("Request-Outcome: not-run\r\n") != std::string::npos, it.name);
        CHECK_TEXT(answer.find("Connection: close\r\n") != std::string::npos, it.name);
    }
    LONGS_EQUAL(0, path.handler.exchanges.size());
    LONGS_EQUAL(0, path.buffers.in_use());
}

// Guards against a limit that is off by one.
TEST(refused_requests, one_hundred_fields_are_served)
{
    raw_peer caller(path.io, path.port);
    caller.send(request_text(many_fields(99)));
    CHECK(path.until([&]() { return path.handler.exchanges.size() == 1; }));
}

// Guards against a chunked body that grows past the limit that a counted one is refused for.
TEST(refused_requests, chunked_bodies_are_limited_and_malformed_ones_refused)
{
    server_settings limits;
    limits.max_body_bytes = 1000;
    served small(limits);
    auto const head = request_text("Transfer-Encoding: chunked\r\n", "POST /s");
    CHECK(starts_with(small.dialogue(head + "3e9\r\n" + std::string(1001, 'a')), "HTTP/1.1 413"));
    CHECK(starts_with(small.dialogue(head + "5\r\nhelloworld\r\n"), "HTTP/1.1 400"));
    CHECK(starts_with(small.dialogue(head + std::string(20000, '0')), "HTTP/1.1 400"));
}

// Guards against a caller that gets no answer, or one without an outcome, for lack of memory.
TEST(refused_requests, get_503_while_there_is_no_buffer)
{
    std::vector<http::pooled_buffer> taken;
    while (path.buffers.in_use() < 1000)
    {
        taken.push_back(path.buffers.take());
    }
    auto const answer = path.dialogue(request_text(""));
    CHECK(starts_with(answer, "HTTP/1.1 503"));
    CHECK(answer.find("Request-Outcome: not-run\r\n") != std::string::npos);
}

// Guards against a server that is taken for listening although it is not.
TEST(refused_requests, listening_fails_on_addresses_that_cannot_be_bound)
{
    for (std::string const address : {"", "localhost", "203.0.113.1"})
    {
        server_settings limits;
        limits.at = model::endpoint{address, 0};
        server it(path.io, path.timers, path.buffers, path.handler, limits);
        auto const port = it.listen();
        CHECK_FALSE(port.has_value());
        CHECK(port.error().kind == base::error_kind::invalid_settings);
    }
}

TEST_GROUP(slow_callers)
{
    served path;
};

// Guards against callers that hold connections by sending slowly.
TEST(slow_callers, an_unfinished_head_is_answered_with_408_after_its_limit)
{
    raw_peer caller(path.io, path.port);
    caller.send("GET / HTTP/1.1\r\n");
    CHECK(path.until([&]() { return path.buffers.in_use() == 1; }));
    path.timers.advance(4900ms);
    testing::run_ready(path.io);
    CHECK_EQUAL(std::string(), caller.text());
    path.timers.advance(200ms);
    CHECK(path.until([&]() { return caller.ended(); }));
    CHECK(starts_with(caller.text(), "HTTP/1.1 408"));
    LONGS_EQUAL(1, path.it.counters().request_timeouts);
}

// Guards against a body that never ends, and against a limit that also ends slow but steady ones.
TEST(slow_callers, a_body_without_progress_is_answered_with_408)
{
    raw_peer caller(path.io, path.port);
    caller.send(request_text("Content-Length: 10\r\n", "POST /s"));
    path.request(1);
    for (int n = 1; n <= 3; ++n)
    {
        path.timers.advance(9s);
        caller.send("a");
        CHECK(path.until([&]() { return path.handler.body.size() == std::size_t(n); }));
    }
    path.timers.advance(11s);
    CHECK(path.until([&]() { return caller.ended(); }));
    CHECK(starts_with(caller.text(), "HTTP/1.1 408"));
    CHECK(path.handler.last.error == base::error_kind::request_timeout);
}

// Guards against idle connections that are kept for ever, and against a word to their callers that
// would be taken for the answer to the next request.
TEST(slow_callers, idle_connections_are_closed_silently_and_hold_no_buffer)
{
    raw_peer fresh(path.io, path.port);
    raw_peer used(path.io, path.port);
    used.send(request_text(""));
    path.request(1).answer(200, {}, "done");
    CHECK(path.until([&]() { return used.has("done"); }));
    LONGS_EQUAL(0, path.buffers.in_use());
    used.clear();
    path.timers.advance(61s);
    CHECK(path.until([&]() { return fresh.ended() && used.ended(); }));
    CHECK_EQUAL(std::string(), fresh.text() + used.text());
    LONGS_EQUAL(2, path.it.counters().idle_closed);
}

// Guards against a caller that does not read and holds the answer for ever.
TEST(slow_callers, an_answer_without_progress_is_cut)
{
    raw_peer caller(path.io, path.port);
    caller.pause(true);
    caller.send(request_text(""));
    auto& it = path.request(1);
    std::string const part(1 << 20, 'a');
    it.write_head(answer_head{});
    for (int n = 0; n < 100 && it.write_body(part, false); ++n)
    {
    }
    path.timers.advance(11s);
    CHECK(path.until([&]() { return path.handler.gone.size() == 1; }));
    LONGS_EQUAL(1, path.it.counters().stalled_answers);
    CHECK(it.ended());
}

// Guards against one address, or all together, taking more connections than allowed.
TEST(slow_callers, connections_are_limited_in_all_and_for_each_address)
{
    for (bool const per_address : {false, true})
    {
        server_settings limits;
        (per_address ? limits.max_connections_per_address : limits.max_connections) = 2;
        served small(limits);
        raw_peer first(small.io, small.port);
        raw_peer second(small.io, small.port);
        raw_peer third(small.io, small.port);
        CHECK(small.until([&]() { return third.ended(); }));
        LONGS_EQUAL(2, small.it.connections());
        first.close();
        CHECK(small.until([&]() { return small.it.connections() == 1; }));
        raw_peer fourth(small.io, small.port);
        fourth.send(request_text(""));
        CHECK(small.until([&]() { return small.handler.exchanges.size() == 1; }));
    }
}

TEST_GROUP(exchanges)
{
    served path;
};

// Guards against a typed head that differs from what the caller sent, and against fields that are
// meant for this connection only.
TEST(exchanges, have_typed_heads)
{
    raw_peer caller(path.io, path.port);
    caller.send(request_text("Service: orders\r\nRequest-Id: v1.a\r\nDeadline-Ms: 250\r\n"
                             "Connection: X-Hop, close\r\nX-Hop: 1\r\nTE: trailers\r\nX: y\r\n"
                             "Content-Length: 3\r\n",
                             "PUT /catalog/1?a=b") +
                "abc");
    auto const& head = path.request(1).head();
    CHECK(head.service == base::service_id("orders"));
    CHECK(head.kind == request_kind::forward);
    CHECK_EQUAL(std::string("/catalog/1?a=b"), head.target);
    CHECK_EQUAL(std::string("v1.a"), *head.request_id);
    CHECK(*head.time_left == 250ms);
    CHECK(head.content_length == 3U);
    CHECK_EQUAL(std::string("127.0.0.1"), head.caller_address);
    LONGS_EQUAL(4, head.fields.size()); // Host, Service, Request-Id and X.
    CHECK(head.fields.find("x") == std::string_view("y"));
    CHECK_EQUAL(std::string("abc"), path.handler.body);
}

// Guards against look-ups that are forwarded, and requests that are taken for look-ups.
TEST(exchanges, tell_look_ups_from_requests)
{
    raw_peer caller(path.io, path.port);
    caller.send(request_text("", "GET /lookup?zone=harju%2Da&service=catalog"));
    auto const& look_up = path.request(1).head();
    CHECK(look_up.kind == request_kind::look_up);
    CHECK(look_up.service == base::service_id("catalog"));
    CHECK(look_up.zone == base::availability_zone_id("harju-a"));
    path.request(1).answer(200, {}, "{}");
    caller.send(request_text("", "POST /lookup?service=catalog"));
    CHECK(path.request(2).head().kind == request_kind::forward);
    CHECK(path.request(2).head().service == base::service_id("lookup"));
}

// Guards against an answer that reaches the wrong request: one that comes after an abort or after
// the end of its exchange, and answers to requests that were sent ahead.
TEST(exchanges, answers_reach_their_own_request_only)
{
    raw_peer caller(path.io, path.port);
    caller.send(request_text("", "GET /s/1") + request_text("", "GET /s/2"));
    auto const first = (path.request(1), path.handler.exchanges[0]);
    testing::run_ready(path.io);
    LONGS_EQUAL(1, path.handler.exchanges.size());
    first->answer(200, {}, "one");
    path.request(2);
    CHECK(first->ended());
    first->answer(500, {}, "late");
    first->write_head(answer_head{});
    first->write_body("late", true);
    first->abort();
    path.request(2).answer(200, {}, "two");
    CHECK(path.until([&]() { return caller.has("two"); }));
    CHECK(caller.has("one"));
    CHECK_FALSE(caller.has("late"));
}

// Guards against a broken answer that looks complete, in either framing.
TEST(exchanges, aborted_and_short_answers_are_seen_as_broken)
{
    for (bool const counted : {false, true})
    {
        for (bool const short_end : {false, true})
        {
            raw_peer caller(path.io, path.port);
            caller.send(request_text(""));
            auto& it = path.request(path.handler.exchanges.size() + 1);
            answer_head head;
            head.content_length = counted ? std::optional<std::uint64_t>(10) : std::nullopt;
            it.write_head(head);
            it.write_body("12345", false);
            if (counted && short_end)
            {
                it.write_body("678", true);
            }
            else
            {
                it.abort();
            }
            CHECK(path.until([&]() { return caller.ended(); }));
            CHECK(caller.has("12345"));
            CHECK_FALSE(caller.has("\r\n0\r\n\r\n"));
            CHECK_FALSE(caller.has("678"));
        }
    }
}

// Guards against bodies in answers that must not have one, which the caller would take for the
// head of the next answer.
TEST(exchanges, answers_without_a_body_have_none)
{
    raw_peer caller(path.io, path.port);
    caller.send(request_text("", "HEAD /s/a"));
    path.request(1).answer(200, {}, "hidden");
    caller.send(request_text(""));
    path.request(2).answer(204, {}, {});
    caller.send(request_text(""));
    path.request(3).answer(200, {}, "shown");
    CHECK(path.until([&]() { return caller.has("shown"); }));
    CHECK(caller.has("Content-Length: 6\r\n"));
    CHECK_FALSE(caller.has("hidden"));
    CHECK_FALSE(caller.has("Content-Length: 0\r\n"));
}

// Guards against a caller that waits for the permission to send its body.
TEST(exchanges, expectations_are_met_when_the_body_is_read)
{
    raw_peer caller(path.io, path.port);
    caller.send(request_text("Expect: 100-continue\r\nContent-Length: 3\r\n", "POST /s"));
    CHECK(path.until([&]() { return caller.has("HTTP/1.1 100 Continue\r\n\r\n"); }));
    caller.send("abc");
    CHECK(path.until([&]() { return path.handler.body == "abc"; }));
}

// Guards against work for callers that are gone, and against a report for callers that are not.
TEST(exchanges, callers_that_leave_are_reported_once)
{
    for (auto const leave : {&raw_peer::close, &raw_peer::reset, &raw_peer::half_close})
    {
        for (std::string const body : {"", "Content-Length: 5\r\n"})
        {
            served one;
            raw_peer caller(one.io, one.port);
            caller.send(request_text(body, "POST /s"));
            one.request(1);
            testing::run_ready(one.io);
            LONGS_EQUAL(0, one.handler.gone.size());
            (caller.*leave)();
            CHECK(one.until([&]() { return !one.handler.gone.empty(); }));
            testing::run_ready(one.io);
            LONGS_EQUAL(1, one.handler.gone.size());
            CHECK(one.handler.exchanges[0]->ended());
            LONGS_EQUAL(0, one.it.connections());
        }
    }
}

// Guards against a caller that is refused its answer although the settings allow half-closed
// connections.
TEST(exchanges, half_closed_callers_are_answered_if_the_settings_say_so)
{
    server_settings limits;
    limits.half_close_is_gone = false;
    served tolerant(limits);
    raw_peer caller(tolerant.io, tolerant.port);
    caller.send(request_text(""));
    auto& it = tolerant.request(1);
    caller.half_close();
    testing::run_ready(tolerant.io);
    it.answer(200, {}, "answer");
    CHECK(tolerant.until([&]() { return caller.ended(); }));
    CHECK(caller.has("answer"));
    LONGS_EQUAL(0, tolerant.handler.gone.size());
}

TEST_GROUP(draining)
{
    served path;
    bool done = false;
};

// Guards against a planned stop that cuts a request, and against one that never ends because of
// idle connections.
TEST(draining, closes_idle_connections_and_waits_for_the_last_exchange)
{
    raw_peer idle(path.io, path.port);
    idle.send(request_text(""));
    path.request(1).answer(200, {}, "first");
    raw_peer busy(path.io, path.port);
    busy.send(request_text(""));
    path.request(2);
    raw_peer in_head(path.io, path.port);
    in_head.send("GET /s/a HTTP/1.1\r\n");
    CHECK(path.until([&]() { return path.buffers.in_use() == 1; }));
    path.it.drain([&]() { done = true; });
    CHECK(path.until([&]() { return idle.ended(); }));
    in_head.send("Host: h\r\n\r\n");
    path.request(3).answer(200, {}, "third");
    CHECK(path.until([&]() { return in_head.ended(); }));
    CHECK(in_head.has("third"));
    testing::run_ready(path.io);
    CHECK_FALSE(done);
    path.request(2).write_head(answer_head{});
    path.request(2).write_body("long", true);
    CHECK(path.until([&]() { return busy.ended(); }));
    CHECK(busy.has("Connection: close\r\n"));
    CHECK(busy.has("\r\n0\r\n\r\n"));
    CHECK(path.until([&]() { return done; }));
}

// Guards against requests that are lost because they arrived just before the drain.
TEST(draining, serves_what_had_arrived)
{
    raw_peer kept(path.io, path.port);
    kept.send(request_text(""));
    path.request(1).answer(200, {}, "first");
    CHECK(path.until([&]() { return kept.has("first"); }));
    kept.send(request_text(""));
    raw_peer waiting(path.io, path.port); // Not accepted yet.
    waiting.send(request_text(""));
    path.io.restart();
    path.it.drain([&]() { done = true; });
    CHECK(path.until([&]() { return path.handler.exchanges.size() == 3; }));
    CHECK_FALSE(done);
    path.request(2).answer(200, {}, "second");
    path.request(3).answer(200, {}, "second");
    CHECK(path.until([&]() { return done && kept.ended() && waiting.ended(); }));
    CHECK(kept.has("second"));
    CHECK(waiting.has("second"));
}

// Guards against a drain that waits for a new connection that never sends anything.
TEST(draining, silent_new_connections_do_not_hold_it_up)
{
    raw_peer silent(path.io, path.port);
    CHECK(path.until([&]() { return path.it.connections() == 1; }));
    path.it.drain([&]() { done = true; });
    path.timers.advance(1200ms);
    CHECK(path.until([&]() { return done && silent.ended(); }));
}
