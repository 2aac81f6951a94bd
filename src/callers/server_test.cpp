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
    server_fixture fixture;
};

// Guards against request smuggling, exhausted memory, and refused requests that reach the handler.
// The answer has to arrive even if the caller keeps sending.
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
        auto const answer = fixture.send_and_receive(it.text);
        CHECK_TEXT(starts_with(answer, std::string("HTTP/1.1 ") + it.status), it.name);
        CHECK_TEXT(answer.find("Request-Outcome: not-run\r\n") != std::string::npos, it.name);
        CHECK_TEXT(answer.find("Connection: close\r\n") != std::string::npos, it.name);
    }
    LONGS_EQUAL(0, fixture.handler.exchanges.size());
    LONGS_EQUAL(0, fixture.buffers.in_use());
}

// Guards against a limit that is off by one.
TEST(refused_requests, one_hundred_fields_are_served)
{
    raw_peer caller(fixture.io, fixture.port);
    caller.send(request_text(many_fields(99)));
    CHECK(fixture.until([&]() { return fixture.handler.exchanges.size() == 1; }));
}

// Guards against chunked bodies that exceed the size limit of bodies with a `Content-Length`.
TEST(refused_requests, chunked_bodies_are_limited_and_malformed_ones_refused)
{
    server_settings limits;
    limits.max_body_bytes = 1000;
    server_fixture small(limits);
    auto const head = request_text("Transfer-Encoding: chunked\r\n", "POST /s");
    CHECK(starts_with(small.send_and_receive(head + "3e9\r\n" + std::string(1001, 'a')),
                      "HTTP/1.1 413"));
    CHECK(starts_with(small.send_and_receive(head + "5\r\nhelloworld\r\n"), "HTTP/1.1 400"));
    CHECK(starts_with(small.send_and_receive(head + std::string(20000, '0')), "HTTP/1.1 400"));
}

// Guards against a caller that ends the process with an empty chunked body that arrives in pieces.
TEST(refused_requests, an_empty_chunked_body_in_pieces_is_read)
{
    raw_peer caller(fixture.io, fixture.port);
    caller.send(request_text("Transfer-Encoding: chunked\r\n", "POST /s"));
    CHECK(fixture.until([&]() { return fixture.handler.exchanges.size() == 1; }));
    std::size_t sent = caller.sent();
    for (std::string const piece : {"0\r\n", "\r", "\n"})
    {
        CHECK(fixture.handler.last_read.state == body_state::pending);
        caller.send(piece);
        sent += piece.size();
        CHECK(fixture.until([&]() { return caller.sent() == sent; }));
        testing::run_ready(fixture.io);
    }
    CHECK(fixture.until([&]() { return fixture.handler.last_read.state == body_state::end; }));
    CHECK_EQUAL(std::string(), fixture.handler.body);
}

// Guards against a missing answer, or one without an outcome, when the buffer pool is exhausted.
TEST(refused_requests, get_503_while_there_is_no_buffer)
{
    std::vector<http::pooled_buffer> taken;
    while (fixture.buffers.in_use() < 1000)
    {
        taken.push_back(fixture.buffers.take());
    }
    auto const answer = fixture.send_and_receive(request_text(""));
    CHECK(starts_with(answer, "HTTP/1.1 503"));
    CHECK(answer.find("Request-Outcome: not-run\r\n") != std::string::npos);
}

// Guards against `listen` reporting success for an address that cannot be bound.
TEST(refused_requests, listening_fails_on_addresses_that_cannot_be_bound)
{
    for (std::string const address : {"", "localhost", "203.0.113.1"})
    {
        server_settings limits;
        limits.at = model::endpoint{address, 0};
        server it(fixture.io, fixture.timers, fixture.buffers, fixture.handler, limits);
        auto const port = it.listen();
        CHECK_FALSE(port.has_value());
        CHECK(port.error().kind == base::error_kind::invalid_settings);
    }
}

TEST_GROUP(slow_callers)
{
    server_fixture fixture;
};

// Guards against callers that hold connections by sending slowly.
TEST(slow_callers, an_unfinished_head_is_answered_with_408_after_its_limit)
{
    raw_peer caller(fixture.io, fixture.port);
    caller.send("GET / HTTP/1.1\r\n");
    CHECK(fixture.until([&]() { return fixture.buffers.in_use() == 1; }));
    fixture.timers.advance(4900ms);
    testing::run_ready(fixture.io);
    CHECK_EQUAL(std::string(), caller.text());
    fixture.timers.advance(200ms);
    CHECK(fixture.until([&]() { return caller.ended(); }));
    CHECK(starts_with(caller.text(), "HTTP/1.1 408"));
    LONGS_EQUAL(1, fixture.subject.counters().request_timeouts);
}

// Guards against a body that never ends, and against a limit that also ends slow but steady ones.
TEST(slow_callers, a_body_without_progress_is_answered_with_408)
{
    raw_peer caller(fixture.io, fixture.port);
    caller.send(request_text("Content-Length: 10\r\n", "POST /s"));
    fixture.request(1);
    for (int n = 1; n <= 3; ++n)
    {
        fixture.timers.advance(9s);
        caller.send("a");
        CHECK(fixture.until([&]() { return fixture.handler.body.size() == std::size_t(n); }));
    }
    fixture.timers.advance(11s);
    CHECK(fixture.until([&]() { return caller.ended(); }));
    CHECK(starts_with(caller.text(), "HTTP/1.1 408"));
    CHECK(fixture.handler.last_read.error == base::error_kind::request_timeout);
}

// Guards against idle connections that are never closed, and against an answer sent on closing,
// which the caller would read as the answer to its next request.
TEST(slow_callers, idle_connections_are_closed_without_an_answer_and_use_no_buffer)
{
    raw_peer fresh(fixture.io, fixture.port);
    raw_peer used(fixture.io, fixture.port);
    used.send(request_text(""));
    fixture.request(1).answer(200, {}, "done");
    CHECK(fixture.until([&]() { return used.has("done"); }));
    LONGS_EQUAL(0, fixture.buffers.in_use());
    used.clear();
    fixture.timers.advance(61s);
    CHECK(fixture.until([&]() { return fresh.ended() && used.ended(); }));
    CHECK_EQUAL(std::string(), fresh.text() + used.text());
    LONGS_EQUAL(2, fixture.subject.counters().idle_closed);
}

// Guards against exchanges that never end because the caller has stopped reading.
TEST(slow_callers, connections_whose_answer_makes_no_progress_are_closed)
{
    raw_peer caller(fixture.io, fixture.port);
    caller.pause(true);
    caller.send(request_text(""));
    auto& it = fixture.request(1);
    std::string const part(1 << 20, 'a');
    it.write_head(answer_head{});
    for (int n = 0; n < 100 && it.write_body(part, false); ++n)
    {
    }
    fixture.timers.advance(11s);
    CHECK(fixture.until([&]() { return fixture.handler.gone_requests.size() == 1; }));
    LONGS_EQUAL(1, fixture.subject.counters().stalled_answers);
    CHECK(it.ended());
}

// Guards against more connections than allowed, from one address or in total.
TEST(slow_callers, connections_are_limited_in_all_and_for_each_address)
{
    for (bool const per_address : {false, true})
    {
        server_settings limits;
        (per_address ? limits.max_connections_per_address : limits.max_connections) = 2;
        server_fixture small(limits);
        raw_peer first(small.io, small.port);
        raw_peer second(small.io, small.port);
        raw_peer third(small.io, small.port);
        CHECK(small.until([&]() { return third.ended(); }));
        LONGS_EQUAL(2, small.subject.connections());
        first.close();
        CHECK(small.until([&]() { return small.subject.connections() == 1; }));
        raw_peer fourth(small.io, small.port);
        fourth.send(request_text(""));
        CHECK(small.until([&]() { return small.handler.exchanges.size() == 1; }));
    }
}

TEST_GROUP(exchanges)
{
    server_fixture fixture;
};

// Guards against a parsed head that differs from what the caller sent, and against hop-by-hop
// fields in it.
TEST(exchanges, have_request_heads_with_parsed_fields)
{
    raw_peer caller(fixture.io, fixture.port);
    caller.send(request_text("Service: orders\r\nRequest-Id: v1.a\r\nDeadline-Ms: 250\r\n"
                             "Connection: X-Hop, close\r\nX-Hop: 1\r\nTE: trailers\r\nX: y\r\n"
                             "Content-Length: 3\r\n",
                             "PUT /catalog/1?a=b") +
                "abc");
    auto const& head = fixture.request(1).head();
    CHECK(head.service == base::service_id("orders"));
    CHECK(head.kind == request_kind::forward);
    CHECK_EQUAL(std::string("/catalog/1?a=b"), head.target);
    CHECK_EQUAL(std::string("v1.a"), *head.request_id);
    CHECK(*head.time_left == 250ms);
    CHECK(head.content_length == 3U);
    CHECK_EQUAL(std::string("127.0.0.1"), head.caller_address);
    LONGS_EQUAL(4, head.fields.size()); // Host, Service, Request-Id and X.
    CHECK(head.fields.find("x") == std::string_view("y"));
    CHECK_EQUAL(std::string("abc"), fixture.handler.body);
}

// Guards against look-ups that are forwarded, and requests that are treated as look-ups.
TEST(exchanges, look_ups_are_distinguished_from_forwarded_requests)
{
    raw_peer caller(fixture.io, fixture.port);
    caller.send(request_text("", "GET /lookup?zone=harju%2Da&service=catalog"));
    auto const& look_up = fixture.request(1).head();
    CHECK(look_up.kind == request_kind::look_up);
    CHECK(look_up.service == base::service_id("catalog"));
    CHECK(look_up.zone == base::availability_zone_id("harju-a"));
    fixture.request(1).answer(200, {}, "{}");
    caller.send(request_text("", "POST /lookup?service=catalog"));
    CHECK(fixture.request(2).head().kind == request_kind::forward);
    CHECK(fixture.request(2).head().service == base::service_id("lookup"));
}

// Guards against an answer that is sent for the wrong request: one that is written after an abort
// or after the end of its exchange, and answers to pipelined requests.
TEST(exchanges, answers_reach_their_own_request_only)
{
    raw_peer caller(fixture.io, fixture.port);
    caller.send(request_text("", "GET /s/1") + request_text("", "GET /s/2"));
    auto const first = (fixture.request(1), fixture.handler.exchanges[0]);
    testing::run_ready(fixture.io);
    LONGS_EQUAL(1, fixture.handler.exchanges.size());
    first->answer(200, {}, "one");
    fixture.request(2);
    CHECK(first->ended());
    first->answer(500, {}, "late");
    first->write_head(answer_head{});
    first->write_body("late", true);
    first->abort();
    fixture.request(2).answer(200, {}, "two");
    CHECK(fixture.until([&]() { return caller.has("two"); }));
    CHECK(caller.has("one"));
    CHECK_FALSE(caller.has("late"));
}

// Guards against an incomplete answer that looks complete, in either framing.
TEST(exchanges, aborted_and_short_answers_are_recognisably_incomplete)
{
    for (bool const counted : {false, true})
    {
        for (bool const short_end : {false, true})
        {
            raw_peer caller(fixture.io, fixture.port);
            caller.send(request_text(""));
            auto& it = fixture.request(fixture.handler.exchanges.size() + 1);
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
            CHECK(fixture.until([&]() { return caller.ended(); }));
            CHECK(caller.has("12345"));
            CHECK_FALSE(caller.has("\r\n0\r\n\r\n"));
            CHECK_FALSE(caller.has("678"));
        }
    }
}

// Guards against bodies in answers that must not have one, which the caller would read as the
// head of the next answer.
TEST(exchanges, answers_without_a_body_have_none)
{
    raw_peer caller(fixture.io, fixture.port);
    caller.send(request_text("", "HEAD /s/a"));
    fixture.request(1).answer(200, {}, "hidden");
    caller.send(request_text(""));
    fixture.request(2).answer(204, {}, {});
    caller.send(request_text(""));
    fixture.request(3).answer(200, {}, "shown");
    CHECK(fixture.until([&]() { return caller.has("shown"); }));
    CHECK(caller.has("Content-Length: 6\r\n"));
    CHECK_FALSE(caller.has("hidden"));
    CHECK_FALSE(caller.has("Content-Length: 0\r\n"));
}

// Guards against a missing `100 Continue`, which the caller waits for before it sends the body.
TEST(exchanges, continue_is_sent_when_the_body_is_read)
{
    raw_peer caller(fixture.io, fixture.port);
    caller.send(request_text("Expect: 100-continue\r\nContent-Length: 3\r\n", "POST /s"));
    CHECK(fixture.until([&]() { return caller.has("HTTP/1.1 100 Continue\r\n\r\n"); }));
    caller.send("abc");
    CHECK(fixture.until([&]() { return fixture.handler.body == "abc"; }));
}

// Guards against input that overwrites a part of the body that has not been read yet. An upstream
// got a changed body when the body was read on behalf of an attempt while the connection still
// waited for more of it.
TEST(exchanges, unread_parts_of_a_body_are_not_overwritten_by_later_input)
{
    std::string const first(6000, 'a');
    std::string const rest(14000, 'b');
    fixture.handler.read_bodies = false;
    raw_peer caller(fixture.io, fixture.port);
    caller.send(request_text("Content-Length: 20000\r\n", "POST /s/a"));
    auto& it = fixture.request(1);
    std::string bytes(1000, ' ');
    CHECK(it.read_body(bytes.data(), bytes.size()).state == body_state::pending);
    caller.send(first);
    LONGS_EQUAL(bytes.size(), it.read_body(bytes.data(), bytes.size()).size);
    fixture.handler.body = bytes;
    caller.send(rest);
    raw_peer other(fixture.io, fixture.port);
    other.send(request_text(""));
    fixture.request(2); // The input of the first connection has been seen as well.
    fixture.io.poll();
    std::swap(fixture.handler.exchanges[0],
              fixture.handler.exchanges[1]); // `body_ready` reads the last one.
    CHECK(fixture.until(
        [&]()
        {
            fixture.handler.read(it);
            return fixture.handler.last_read.state == body_state::end;
        }));
    CHECK(fixture.handler.body == first + rest);
}

// Guards against work for callers that have disconnected, and against reports of a disconnect for
// callers that have not.
TEST(exchanges, disconnected_callers_are_reported_once)
{
    for (auto const leave : {&raw_peer::close, &raw_peer::reset, &raw_peer::half_close})
    {
        for (std::string const body : {"", "Content-Length: 5\r\n"})
        {
            server_fixture one;
            raw_peer caller(one.io, one.port);
            caller.send(request_text(body, "POST /s"));
            one.request(1);
            testing::run_ready(one.io);
            LONGS_EQUAL(0, one.handler.gone_requests.size());
            (caller.*leave)();
            CHECK(one.until([&]() { return !one.handler.gone_requests.empty(); }));
            testing::run_ready(one.io);
            LONGS_EQUAL(1, one.handler.gone_requests.size());
            CHECK(one.handler.exchanges[0]->ended());
            LONGS_EQUAL(0, one.subject.connections());
        }
    }
}

// Guards against a missing answer on a half-closed connection although the settings allow it.
TEST(exchanges, half_closed_callers_are_answered_if_the_settings_say_so)
{
    server_settings limits;
    limits.half_close_is_disconnect = false;
    server_fixture tolerant(limits);
    raw_peer caller(tolerant.io, tolerant.port);
    caller.send(request_text(""));
    auto& it = tolerant.request(1);
    caller.half_close();
    testing::run_ready(tolerant.io);
    it.answer(200, {}, "answer");
    CHECK(tolerant.until([&]() { return caller.ended(); }));
    CHECK(caller.has("answer"));
    LONGS_EQUAL(0, tolerant.handler.gone_requests.size());
}

TEST_GROUP(draining)
{
    server_fixture fixture;
    bool done = false;
};

// Guards against a drain that interrupts a request, and against one that never ends because of idle
// connections.
TEST(draining, closes_idle_connections_and_waits_for_the_last_exchange)
{
    raw_peer idle(fixture.io, fixture.port);
    idle.send(request_text(""));
    fixture.request(1).answer(200, {}, "first");
    raw_peer busy(fixture.io, fixture.port);
    busy.send(request_text(""));
    fixture.request(2);
    raw_peer in_head(fixture.io, fixture.port);
    in_head.send("GET /s/a HTTP/1.1\r\n");
    CHECK(fixture.until([&]() { return fixture.buffers.in_use() == 1; }));
    fixture.subject.drain([&]() { done = true; });
    CHECK(fixture.until([&]() { return idle.ended(); }));
    in_head.send("Host: h\r\n\r\n");
    fixture.request(3).answer(200, {}, "third");
    CHECK(fixture.until([&]() { return in_head.ended(); }));
    CHECK(in_head.has("third"));
    testing::run_ready(fixture.io);
    CHECK_FALSE(done);
    fixture.request(2).write_head(answer_head{});
    fixture.request(2).write_body("long", true);
    CHECK(fixture.until([&]() { return busy.ended(); }));
    CHECK(busy.has("Connection: close\r\n"));
    CHECK(busy.has("\r\n0\r\n\r\n"));
    CHECK(fixture.until([&]() { return done; }));
}

// Guards against lost requests that arrived just before the drain, on an open connection or on one
// that has not been accepted yet.
TEST(draining, serves_requests_that_arrived_before_it)
{
    raw_peer kept(fixture.io, fixture.port);
    kept.send(request_text(""));
    fixture.request(1).answer(200, {}, "first");
    CHECK(fixture.until([&]() { return kept.has("first"); }));
    kept.send(request_text(""));
    raw_peer waiting(fixture.io, fixture.port); // Not accepted yet.
    waiting.send(request_text(""));
    fixture.io.restart();
    fixture.subject.drain([&]() { done = true; });
    CHECK(fixture.until([&]() { return fixture.handler.exchanges.size() == 3; }));
    CHECK_FALSE(done);
    fixture.request(2).answer(200, {}, "second");
    fixture.request(3).answer(200, {}, "second");
    CHECK(fixture.until([&]() { return done && kept.ended() && waiting.ended(); }));
    CHECK(kept.has("second"));
    CHECK(waiting.has("second"));
}

// Guards against a drain that waits for a new connection that never sends anything.
TEST(draining, new_connections_without_a_request_do_not_delay_it)
{
    raw_peer silent(fixture.io, fixture.port);
    CHECK(fixture.until([&]() { return fixture.subject.connections() == 1; }));
    fixture.subject.drain([&]() { done = true; });
    fixture.timers.advance(1200ms);
    CHECK(fixture.until([&]() { return done && silent.ended(); }));
}
