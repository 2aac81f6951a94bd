#include "relay_fixture.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::relay;
using base::attempt_result;
using testing::raw_peer;

namespace
{

std::string post(std::string const& body, std::string const& more = {})
{
    return "POST /orders/1 HTTP/1.1\r\nHost: h\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Waits until connection `n` of `at` has received `text`.
raw_peer& wait_for_peer(data_path& path, testing::raw_listener& at, std::size_t n,
                        std::string const& text)
{
    CHECK(path.until([&]() { return at.peers.size() > n && at.peers[n]->has(text); }));
    return *at.peers.at(n);
}

// The relay's limit for buffered request bodies, as the design states it.
constexpr std::size_t max_buffered_body_bytes_in_test = 65'536;

std::string chunk(std::size_t size)
{
    std::string out;
    http::append_chunk_header(out, size);
    return out + std::string(size, 'a') + "\r\n";
}

/// Exchange whose whole body is available at once and whose writes always complete.
class always_ready_exchange final : public callers::exchange
{
public:
    explicit always_ready_exchange(std::size_t body_size) : left_(body_size)
    {
        head_.id = base::local_request_id(1);
        head_.method = "POST";
        head_.target = "/s/a";
        head_.content_length = body_size;
    }

    callers::request_head const& head() const override
    {
        return head_;
    }
    bool ended() const override
    {
        return ended_;
    }
    callers::body_read read_body(char* to, std::size_t size) override
    {
        auto const n = std::min(size, left_);
        std::fill(to, to + n, 'a');
        left_ -= n;
        moved += n;
        return {n, left_ == 0 ? callers::body_state::end : callers::body_state::open};
    }
    void write_head(callers::answer_head const&) override {}
    bool write_body(std::string_view data, bool end) override
    {
        moved += data.size();
        ended_ = end;
        return true;
    }
    bool flush() override
    {
        return true;
    }
    void answer(base::answer_status, http::fields const&, std::string_view) override {}
    void abort() override {}

    std::size_t moved = 0;

private:
    callers::request_head head_;
    std::size_t left_;
    bool ended_ = false;
};

} // namespace

TEST_GROUP(relay_forwarding)
{
    data_path path;

    void attempt_every_request()
    {
        path.events.on_request = [this](callers::request_head const& head)
        { path.attempt(head.id, path.upstream.at()); };
    }
};

// Guards against modified requests or answers, forwarded hop-by-hop fields, and upstream
// connections that are not reused.
TEST(relay_forwarding, forwards_requests_and_answers_and_reuses_connections)
{
    attempt_every_request();
    raw_peer caller(path.io, path.port);
    for (int n = 0; n < 3; ++n)
    {
        caller.clear();
        caller.send(get("/catalog/item", "Deadline-Ms: 900\r\nX-One: 1\r\nConnection: X-Hop\r\n"
                                         "X-Hop: 2\r\n"));
        CHECK(path.until(
            [&]()
            { return !path.upstream.peers.empty() && path.upstream.peers[0]->has("\r\n\r\n"); }));
        auto& peer = *path.upstream.peers[0];
        CHECK(peer.has("GET /catalog/item HTTP/1.1\r\n"));
        CHECK(peer.has("X-One: 1\r\n"));
        CHECK(peer.has("Deadline-Ms: 2000\r\n"));
        CHECK_FALSE(peer.has("X-Hop"));
        peer.clear();
        peer.send(answer_200("hello"));
        CHECK(path.until([&]() { return caller.has("hello"); }));
        CHECK(caller.has("Request-Outcome: run\r\n"));
        CHECK(path.until([&]() { return path.events.finished.size() == n + 1U; }));
        CHECK(path.events.finished.back().report.result == attempt_result::completed);
    }
    LONGS_EQUAL(1, path.upstream.peers.size());
    LONGS_EQUAL(2, path.client.counters().reused);
    CHECK(path.events.arrived[0].service == base::service_id("catalog"));
    LONGS_EQUAL(0, path.buffers.in_use());
    LONGS_EQUAL(0, path.request_relay.requests());
}

// Guards against a `Request-Outcome` from an upstream that reaches the caller.
TEST(relay_forwarding, an_upstreams_outcome_field_is_replaced)
{
    attempt_every_request();
    raw_peer caller(path.io, path.port);
    caller.send(get("/catalog/a"));
    wait_for_peer(path, path.upstream, 0, "\r\n\r\n")
        .send("HTTP/1.1 500 X\r\nRequest-Outcome: not-run\r\nContent-Length: 1\r\n\r\nx");
    CHECK(path.until([&]() { return caller.has("\r\n\r\nx"); }));
    CHECK(caller.has("HTTP/1.1 500 Internal Server Error\r\n"));
    CHECK(caller.has("Request-Outcome: run\r\n"));
    CHECK_FALSE(caller.has("not-run"));
}

// Guards against error answers without `Request-Outcome`, look-ups that are forwarded, and a second
// answer to a request.
TEST(relay_forwarding, answers_of_the_entry_state_their_outcome)
{
    path.events.on_request = [this](callers::request_head const& head)
    {
        http::fields added;
        added.add("Request-Id", "id-1");
        path.request_relay.answer_error(head.id, base::error_kind::queue_full, added);
        path.request_relay.answer(head.id, 200, {}, "second answer");
    };
    raw_peer caller(path.io, path.port);
    caller.send(get("/lookup?service=catalog") + post("body"));
    CHECK(path.until([&]() { return path.events.arrived.size() == 2 && caller.has("id-1"); }));
    CHECK(path.events.arrived[0].kind == callers::request_kind::look_up);
    CHECK(path.until([&]() { return caller.text().rfind("queue_full") > 250; }));
    CHECK(caller.has("HTTP/1.1 503 "));
    CHECK(caller.has("Request-Outcome: not-run\r\n"));
    CHECK_FALSE(caller.has("second answer"));
    LONGS_EQUAL(0, path.request_relay.requests());
    LONGS_EQUAL(0, path.buffers.in_use());
}

// Guards against a truncated answer that looks complete to the caller.
TEST(relay_forwarding, a_broken_answer_closes_the_callers_connection)
{
    attempt_every_request();
    for (std::string const head :
         {"Content-Length: 10\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"})
    {
        raw_peer caller(path.io, path.port);
        caller.send(get("/catalog/a"));
        auto const n = path.upstream.peers.size();
        auto& peer = wait_for_peer(path, path.upstream, n, "\r\n\r\n");
        peer.send("HTTP/1.1 200 OK\r\n" + head);
        CHECK(path.until([&]() { return caller.has("hello"); }));
        CHECK_FALSE(caller.ended());
        peer.close();
        CHECK(path.until([&]() { return caller.ended(); }));
        CHECK_FALSE(caller.has("\r\n0\r\n\r\n"));
        CHECK(path.events.finished.back().report.result == attempt_result::broken);
        LONGS_EQUAL(0, path.request_relay.requests());
        LONGS_EQUAL(0, path.buffers.in_use());
    }
}

TEST_GROUP(relay_attempts)
{
    data_path path;
    testing::raw_listener other{path.io};
    base::local_request_id request{1};

    /// Sends a request and waits until the relay reports its arrival.
    void send_request(raw_peer & caller, std::string const& text)
    {
        caller.send(text);
        CHECK(path.until([&]() { return path.events.arrived.size() == 1; }));
    }
};

// Guards against a retry that sends a different body or none.
TEST(relay_attempts, a_retry_sends_the_whole_body)
{
    raw_peer caller(path.io, path.port);
    std::string const body(50'000, 'b');
    send_request(caller, post(body));
    path.attempt(request, path.upstream.at(), false);
    wait_for_peer(path, path.upstream, 0, body)
        .send("HTTP/1.1 503 Busy\r\nShed: 1\r\nContent-Length: 0\r\n\r\n");
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    CHECK(path.events.finished[0].report.result == attempt_result::shed);
    CHECK(path.events.heads.empty());
    CHECK(path.request_relay.can_attempt(request));
    path.attempt(request, other.at(), false);
    auto& second = wait_for_peer(path, other, 0, body);
    CHECK(second.has("Content-Length: 50000\r\n"));
    second.send(answer_200("done"));
    CHECK(path.until([&]() { return caller.has("done"); }));
    CHECK_FALSE(caller.has("503"));
}

// Guards against an assigned `Request-Id` that is missing in the answer, without which the caller
// cannot query the outcome, and against one that is added to the caller's own.
TEST(relay_attempts, an_assigned_request_id_reaches_upstream_and_caller)
{
    path.added.add("Request-Id", "given");
    for (bool const own : {false, true})
    {
        raw_peer caller(path.io, path.port);
        caller.send(post("body", own ? "Request-Id: own\r\n" : ""));
        CHECK(path.until([&]() { return path.events.arrived.size() == (own ? 2 : 1); }));
        path.attempt(path.events.arrived.back().id, path.upstream.at(), false);
        auto& peer = wait_for_peer(path, path.upstream, 0, "body");
        CHECK_EQUAL(!own, peer.has("Request-Id: given\r\n"));
        CHECK_EQUAL(own, peer.has("Request-Id: own\r\n"));
        peer.clear();
        peer.send(answer_200("done"));
        CHECK(path.until([&]() { return caller.has("done"); }));
        CHECK_EQUAL(!own, caller.has("Request-Id: given\r\n"));
        CHECK(path.until([&]() { return path.events.finished.size() == (own ? 2 : 1); }));
    }
}

// Guards against two answers to one request, and a hedged attempt that is not cancelled after the
// other one has answered.
TEST(relay_attempts, the_first_answer_wins_and_the_other_attempt_is_cancelled)
{
    raw_peer caller(path.io, path.port);
    send_request(caller, get("/catalog/a"));
    path.attempt(request, path.upstream.at());
    auto const hedge = path.attempt(request, other.at());
    auto& slow = wait_for_peer(path, path.upstream, 0, "\r\n\r\n");
    wait_for_peer(path, other, 0, "\r\n\r\n").send(answer_200("fast"));
    CHECK(path.until([&]() { return caller.has("fast") && slow.ended(); }));
    slow.send(answer_200("slow"));
    CHECK(path.until([&]() { return path.events.finished.size() == 2; }));
    for (auto const& it : path.events.finished)
    {
        CHECK(it.report.result ==
              (it.id == hedge ? attempt_result::completed : attempt_result::cancelled));
    }
    testing::run_ready(path.io);
    CHECK_FALSE(caller.has("slow"));
    LONGS_EQUAL(0, path.request_relay.requests());
}

// Guards against an upstream's answer that is forwarded after the entry's own error answer.
TEST(relay_attempts, answers_after_the_entrys_own_answer_are_discarded)
{
    raw_peer caller(path.io, path.port);
    send_request(caller, get("/catalog/a"));
    path.attempt(request, path.upstream.at());
    auto& peer = wait_for_peer(path, path.upstream, 0, "\r\n\r\n");
    path.request_relay.answer_error(request, base::error_kind::upstream_timeout);
    peer.send(answer_200("late"));
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    CHECK(path.events.finished[0].report.result == attempt_result::completed);
    caller.send(get("/catalog/b"));
    CHECK(path.until([&]() { return path.events.arrived.size() == 2; }));
    CHECK_FALSE(caller.has("late"));
    LONGS_EQUAL(1, path.client.idle_connections());
}

// Guards against forwarding an answer that the decision logic has not accepted, such as one that
// leads to a retry.
TEST(relay_attempts, answers_that_are_not_accepted_are_not_forwarded)
{
    path.events.accept = false;
    raw_peer caller(path.io, path.port);
    send_request(caller, get("/catalog/a"));
    path.attempt(request, path.upstream.at());
    wait_for_peer(path, path.upstream, 0, "\r\n\r\n").send(answer_200("refused"));
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    path.events.accept = true;
    path.attempt(request, other.at());
    wait_for_peer(path, other, 0, "\r\n\r\n").send(answer_200("good"));
    CHECK(path.until([&]() { return caller.has("good"); }));
    CHECK_FALSE(caller.has("refused"));
}

// Guards against answers that are still read after the caller has disconnected, and against
// cancelling an unanswered attempt, whose outcome still has to be recorded at the witness.
TEST(relay_attempts, a_disconnected_caller_cancels_only_answered_attempts)
{
    for (bool const answered : {true, false})
    {
        data_path one;
        raw_peer caller(one.io, one.port);
        caller.send(post("body"));
        CHECK(one.until([&]() { return one.events.arrived.size() == 1; }));
        one.attempt(request, one.upstream.at(), false);
        auto& peer = wait_for_peer(one, one.upstream, 0, "body");
        if (answered)
        {
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello");
            CHECK(one.until([&]() { return caller.has("hello"); }));
        }
        caller.close();
        CHECK(one.until([&]() { return one.events.gone.size() == 1; }));
        if (!answered)
        {
            testing::run_ready(one.io);
            LONGS_EQUAL(0, one.events.finished.size());
            peer.send(answer_200("done"));
        }
        CHECK(one.until([&]() { return one.events.finished.size() == 1; }));
        CHECK(one.events.finished[0].report.result ==
              (answered ? attempt_result::cancelled : attempt_result::completed));
        LONGS_EQUAL(200, one.events.finished[0].report.status);
        LONGS_EQUAL(0, one.request_relay.requests());
        LONGS_EQUAL(0, one.buffers.in_use());
    }
}

// Guards against an attempt at a removed request that is not reported, or that is reported before
// `start_attempt` returns.
TEST(relay_attempts, unknown_requests_are_reported_as_not_sent)
{
    auto const id = path.attempt(base::local_request_id(77), path.upstream.at());
    LONGS_EQUAL(0, path.events.finished.size());
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    CHECK(path.events.finished[0].id == id);
    CHECK(path.events.finished[0].report.result == attempt_result::not_sent);
}

TEST_GROUP(relay_bodies)
{
    data_path path;
    base::local_request_id request{1};
};

// Guards against slow callers that occupy slots of upstreams.
TEST(relay_bodies, requests_are_not_attempted_before_their_body_is_complete)
{
    raw_peer caller(path.io, path.port);
    caller.send("POST /orders HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc");
    CHECK(path.until([&]() { return path.server.exchanges() == 1; }));
    testing::run_ready(path.io);
    LONGS_EQUAL(0, path.events.arrived.size());
    caller.send("\r\n0\r\n\r\n");
    CHECK(path.until([&]() { return path.events.arrived.size() == 1; }));
    path.attempt(request, path.upstream.at());
    CHECK(wait_for_peer(path, path.upstream, 0, "abc").has("Content-Length: 3\r\n"));
}

// Guards against a malformed body that is forwarded, and against the outcome "not run" after part
// of the body has been sent to an upstream.
TEST(relay_bodies, malformed_bodies_fail_the_request)
{
    for (bool const announced : {false, true})
    {
        data_path one;
        raw_peer caller(one.io, one.port);
        auto const size = announced ? max_buffered_body_bytes_in_test : std::size_t(100);
        caller.send("POST /orders HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
                    chunk(size));
        if (announced)
        {
            CHECK(one.until([&]() { return one.events.arrived.size() == 1; }));
            one.attempt(request, one.upstream.at(), false);
            wait_for_peer(one, one.upstream, 0, std::string(1000, 'a'));
        }
        caller.send("nonsense\r\n\r\n");
        CHECK(one.until([&]() { return caller.ended(); }));
        CHECK(caller.has("HTTP/1.1 400 "));
        CHECK(caller.has(announced ? "Request-Outcome: may-have-run" : "Request-Outcome: not-run"));
        CHECK(one.until([&]() { return one.request_relay.requests() == 0; }));
        LONGS_EQUAL(announced ? 1 : 0, one.events.gone.size());
        LONGS_EQUAL(announced ? 1 : 0, one.events.finished.size());
        LONGS_EQUAL(0, one.buffers.in_use());
    }
}

// Guards against memory use that grows with the size of a request, and against a second attempt
// after the beginning of the body has been released.
TEST(relay_bodies, large_requests_are_streamed_in_bounded_memory)
{
    raw_peer caller(path.io, path.port);
    std::string const body(20'000'000, 'a');
    caller.send(post(body));
    CHECK(path.until([&]() { return path.events.arrived.size() == 1; }));
    LONGS_EQUAL(5, path.buffers.peak()); // 64 KiB of body, and the caller's read buffer.
    CHECK(path.request_relay.can_attempt(request));
    path.attempt(request, path.upstream.at(), false);
    auto& peer = wait_for_peer(path, path.upstream, 0, "\r\n\r\n");
    peer.pause(true);
    testing::run_ready(path.io);
    CHECK(caller.sent() < body.size());
    CHECK_FALSE(path.request_relay.can_attempt(request));
    path.attempt(request, path.upstream.at(), false);
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    CHECK(path.events.finished[0].report.result == attempt_result::not_sent);
    peer.pause(false);
    CHECK(path.until([&]() { return peer.text().size() > body.size(); }));
    auto const begin = peer.text().find("\r\n\r\n") + 4;
    CHECK(peer.text().compare(begin, std::string::npos, body) == 0);
    peer.send(answer_200("done"));
    CHECK(path.until([&]() { return caller.has("done"); }));
    // One more: the read buffer for the answer.
    LONGS_EQUAL(6, path.buffers.peak());
    LONGS_EQUAL(0, path.buffers.in_use());
}

// Guards against memory use that grows with the size of an answer when the caller reads slowly.
TEST(relay_bodies, large_answers_are_streamed_in_bounded_memory)
{
    for (bool const chunked : {false, true})
    {
        data_path one;
        raw_peer caller(one.io, one.port);
        caller.pause(true);
        caller.send(get("/catalog/a"));
        CHECK(one.until([&]() { return one.events.arrived.size() == 1; }));
        one.attempt(request, one.upstream.at());
        std::string const body(20'000'000, 'a');
        auto& peer = wait_for_peer(one, one.upstream, 0, "\r\n\r\n");
        peer.send(chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1312d00\r\n" +
                                body + "\r\n0\r\n\r\n"
                          : answer_200(body));
        CHECK(one.until([&]() { return !one.events.heads.empty(); }));
        testing::run_ready(one.io);
        LONGS_EQUAL(0, peer.sent());
        LONGS_EQUAL(0, one.events.finished.size());
        caller.pause(false);
        CHECK(one.until(
            [&]()
            { return one.events.finished.size() == 1 && caller.text().size() > body.size(); }));
        CHECK(one.events.finished[0].report.result == attempt_result::completed);
        LONGS_EQUAL(body.size(), one.events.finished[0].report.bytes_received);
        LONGS_EQUAL(1, one.buffers.peak());
        CHECK(one.until([&]() { return one.request_relay.requests() == 0; }));
        LONGS_EQUAL(0, one.buffers.in_use());
    }
}

// Guards against a large body that blocks the traffic thread for other requests. The limit is the
// 128 KiB of a turn, plus 64 KiB of buffered body and the last 16 KiB buffer of a turn.
TEST(relay_bodies, large_bodies_are_transferred_in_bounded_turns)
{
    constexpr std::size_t most = (128 + 64 + 16) * 1024;
    for (bool const upload : {false, true})
    {
        data_path one;
        auto const caller = std::make_shared<always_ready_exchange>(upload ? 20'000'000 : 0);
        one.request_relay.request_arrived(caller);
        one.attempt(request, one.upstream.at());
        auto& peer = wait_for_peer(one, one.upstream, 0, "\r\n\r\n");
        if (!upload)
        {
            // Each call writes its first 64 KiB at once, so that much of the answer has arrived
            // before the relay first runs.
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n");
            for (int n = 0; n < 40; ++n)
            {
                peer.send(std::string(500'000, 'a'));
            }
        }
        std::size_t largest = 0;
        while (caller->moved < 20'000'000)
        {
            auto const before = caller->moved;
            one.io.restart();
            CHECK(one.io.run_one_for(std::chrono::seconds(20)) == 1);
            largest = std::max(largest, caller->moved - before);
        }
        CHECK(largest > 0 && largest <= most);
    }
}

// Guards against a deadlock of two attempts with a large body: one does not read, and the other
// waits for buffer space that the first one occupies.
TEST(relay_bodies, cancelling_a_stalled_attempt_unblocks_the_other)
{
    testing::raw_listener other(path.io);
    raw_peer caller(path.io, path.port);
    std::string const body(20'000'000, 'a');
    caller.send(post(body));
    CHECK(path.until([&]() { return path.events.arrived.size() == 1; }));
    auto const stalled = path.attempt(request, path.upstream.at());
    path.attempt(request, other.at());
    wait_for_peer(path, path.upstream, 0, "\r\n\r\n").pause(true);
    wait_for_peer(path, other, 0, "\r\n\r\n");
    testing::run_ready(path.io);
    CHECK(other.peers[0]->text().size() < body.size()); // Blocked by the paused attempt.
    path.request_relay.cancel_attempt(stalled);
    CHECK(path.until([&]() { return other.peers[0]->text().size() > body.size(); }));
    other.peers[0]->send(answer_200("done"));
    CHECK(path.until([&]() { return caller.has("done"); }));
}

// Guards against a drain that closes the connection of a running request.
TEST(relay_bodies, a_drain_waits_for_a_long_answer)
{
    raw_peer caller(path.io, path.port);
    caller.send(get("/catalog/a"));
    CHECK(path.until([&]() { return path.events.arrived.size() == 1; }));
    path.attempt(request, path.upstream.at());
    auto& peer = wait_for_peer(path, path.upstream, 0, "\r\n\r\n");
    bool done = false;
    path.server.drain([&]() { done = true; });
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello");
    CHECK(path.until([&]() { return caller.has("hello"); }));
    path.timers.advance(std::chrono::seconds(3)); // After the deadline, within the idle limit.
    testing::run_ready(path.io);
    CHECK_FALSE(done);
    peer.send("world");
    CHECK(path.until([&]() { return done && caller.ended(); }));
    CHECK(caller.has("Connection: close\r\n"));
    CHECK(caller.has("helloworld"));
}

TEST_GROUP(failed_bodies)
{
    data_path path;
    raw_peer caller{path.io, path.port};
    base::local_request_id request{1};

    /// Sends the head and the buffered part of a long body, so that the request can be attempted.
    void begin_upload()
    {
        caller.send("POST /orders HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" +
                    std::string(max_buffered_body_bytes_in_test, 'a'));
        CHECK(path.until([&]() { return path.events.arrived.size() == 1; }));
    }
    /// Sends a little more, and lets the time limit of the body pass.
    void stall_body()
    {
        caller.send("a");
        testing::run_ready(path.io);
        path.timers.advance(callers::server_settings{}.body_idle_limit +
                            std::chrono::milliseconds(1));
        CHECK(path.until([&]() { return caller.ended(); }));
    }
    void check_promises_nothing()
    {
        for (auto const* const it : {" 408 ", " 421 ", " 429 ", " 503 ", "not-run"})
        {
            CHECK_TRUE_TEXT(!caller.has(it), caller.text().c_str());
        }
        CHECK(caller.has("Request-Outcome: may-have-run\r\n"));
    }
};

// Guards against an order that runs and is answered 408: its upstream began at the head, and the
// caller did not send the rest.
TEST(failed_bodies, a_body_that_stalls_after_a_part_was_sent_is_not_answered_as_not_run)
{
    path.events.on_request = [this](callers::request_head const& head)
    {
        attempt_parameters order;
        order.request = head.id;
        order.attempt = base::attempt_id(1);
        order.at = path.upstream.at();
        order.deadline = path.timers.now() + std::chrono::hours(1);
        path.request_relay.start_attempt(order);
    };
    begin_upload();
    wait_for_peer(path, path.upstream, 0, std::string(1000, 'a'));
    stall_body();
    check_promises_nothing();
    CHECK(path.until([&]() { return path.request_relay.requests() == 0; }));
    LONGS_EQUAL(1, path.events.gone.size());
}

// Guards against a request that ran at one upstream and is answered 408 because its body failed
// before the next attempt.
TEST(failed_bodies, an_earlier_attempt_that_may_have_run_is_remembered)
{
    begin_upload();
    path.attempt(request, path.upstream.at());
    wait_for_peer(path, path.upstream, 0, "\r\n\r\n").close();
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    stall_body();
    check_promises_nothing();
}

// Guards against a caller that is not told that it may send its request again.
TEST(failed_bodies, a_body_that_stalls_before_anything_was_sent_is_answered_as_not_run)
{
    caller.send("POST /orders HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\na");
    CHECK(path.until([&]() { return path.server.exchanges() == 1; }));
    stall_body();
    CHECK(caller.has("HTTP/1.1 408 "));
    CHECK(caller.has("Request-Outcome: not-run\r\n"));
}
