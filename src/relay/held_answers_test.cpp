#include <iterator>
#include <memory>
#include <string>

#include "relay_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::relay;
using base::attempt_result;
using testing::raw_peer;

namespace
{

constexpr std::size_t buffer_limit = 64;

/// Upstreams that repeat the request's `Id` in the answer and may delimit a body by closing.
class id_echo_dialect final : public upstreams::dialect
{
public:
    std::string_view deadline_field() const override
    {
        return "Left-Ms";
    }
    bool is_refusal(unsigned, http::fields const& answer,
                    std::vector<unsigned> const&) const override
    {
        return answer.find("Not-Run").has_value();
    }
    bool is_answer_to(http::fields const& answer, http::fields const& request) const override
    {
        auto const id = answer.find("Id");
        return id ? id == request.find("Id") : answer.find("Not-Run").has_value();
    }
    bool is_ambiguous(http::fields const& answer) const override
    {
        return !answer.find("Id");
    }
    bool body_may_end_with_connection() const override
    {
        return true;
    }
    bool is_leaving(http::fields const&) const override
    {
        return false;
    }
    upstreams::upstream_notice notice(unsigned, http::fields const& answer) const override
    {
        upstreams::upstream_notice made;
        made.leaving = answer.find("Leaving").has_value();
        return made;
    }
    std::optional<base::load_report> load(http::fields const&) const override
    {
        return base::load_report{3, 1, 4, 250};
    }
};

upstreams::client_settings id_echo_settings()
{
    upstreams::client_settings made;
    made.upstream_dialect = std::make_shared<id_echo_dialect>();
    return made;
}

std::string answer_to(std::string const& id, std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// A caller and an upstream that repeats ids, with a relay between them that buffers answers.
struct id_echo_path : Utest
{
    data_path path{id_echo_settings(), {}, buffer_limit};
    raw_peer caller{path.io, path.port};
    bool idempotent = true;

    /// Sends a request with an id and waits until the upstream has received it.
    raw_peer& request(std::string const& id)
    {
        path.events.on_request = [this](callers::request_head const& head)
        { path.attempt(head.id, path.upstream.at(), idempotent); };
        caller.send(get("/a", "Id: " + id + "\r\n"));
        CHECK(path.until(
            [&]() {
                return !path.upstream.peers.empty() &&
                       path.upstream.peers.back()->has("Id: " + id + "\r\n");
            }));
        return *path.upstream.peers.back();
    }
};

} // namespace

TEST_GROUP_BASE(held_answers, id_echo_path){};

// Guards against a truncated answer whose beginning has been forwarded, so that the request cannot
// be attempted again.
TEST(held_answers, a_truncated_short_answer_is_not_forwarded)
{
    auto& peer = request("1");
    peer.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhello");
    peer.close();
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    CHECK(path.events.finished[0].report.result == attempt_result::broken);
    CHECK(path.events.heads.empty());
    CHECK(caller.text().empty());
    CHECK(path.request_relay.can_attempt(base::local_request_id(1)));
}

// Guards against an answer that is never forwarded because it exceeds the buffer limit.
TEST(held_answers, an_answer_longer_than_the_buffer_is_streamed)
{
    auto& peer = request("1");
    peer.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1000\r\n\r\n" + std::string(500, 'x'));
    CHECK(path.until([&]() { return caller.has(std::string(500, 'x')); }));
    peer.send(std::string(500, 'y'));
    CHECK(path.until([&]() { return caller.has(std::string(500, 'y')); }));
    CHECK(caller.has("Content-Length: 1000\r\n"));
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    CHECK(path.events.finished[0].report.result == attempt_result::completed);
}

TEST(held_answers, the_load_in_the_answer_is_reported)
{
    request("1").send(answer_to("1", "hello"));
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    auto const load = path.events.finished[0].report.load;
    CHECK(load.has_value());
    LONGS_EQUAL(250, load->service_time_percent);
}

// Guards against a duplicate answer to an earlier request that is forwarded as the answer to this
// one.
TEST(held_answers, an_answer_to_another_request_is_skipped)
{
    auto& peer = request("2");
    peer.send(answer_to("1", "stale") + answer_to("2", "fresh"));
    CHECK(path.until([&]() { return caller.has("fresh"); }));
    CHECK_FALSE(caller.has("stale"));
    LONGS_EQUAL(1, path.client.counters().foreign_answers);
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    LONGS_EQUAL(0, path.client.idle_connections());
}

TEST(held_answers, an_answer_to_another_request_is_skipped_across_reads)
{
    auto& peer = request("2");
    peer.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nstale");
    CHECK(path.until([&]() { return path.client.counters().foreign_answers == 1; }));
    peer.send("stale" + answer_to("2", "fresh"));
    CHECK(path.until([&]() { return caller.has("fresh"); }));
    CHECK_FALSE(caller.has("stale"));
}

// Guards against a complete answer without Content-Length that is reported as broken.
TEST(held_answers, a_body_delimited_by_connection_close_is_complete)
{
    auto& peer = request("1");
    peer.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhello");
    CHECK(path.until([&]() { return path.events.heads.empty() && peer.sent() > 0; }));
    peer.half_close();
    CHECK(path.until([&]() { return caller.has("hello"); }));
    CHECK(caller.has("Content-Length: 5\r\n"));
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    CHECK(path.events.finished[0].report.result == attempt_result::completed);
}

// Guards against a part of an answer that reaches the caller as the whole: the upstream answered an
// upload at once without a length, and reset its connection while the upload was being written.
TEST(held_answers, an_answer_without_length_that_is_reset_during_the_upload_is_not_forwarded)
{
    path.events.on_request = [this](callers::request_head const& head)
    { path.attempt(head.id, path.upstream.at(), false); };
    std::string const first(200'000, 'x'); // More than is buffered before the request is passed on.
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 1000000\r\n\r\n" + first);
    CHECK(path.until(
        [&]() { return !path.upstream.peers.empty() && path.upstream.peers[0]->has(first); }));
    auto& peer = *path.upstream.peers[0];
    peer.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhello");
    CHECK(path.until([&]() { return peer.sent() > 0; }));
    testing::run_ready(path.io);
    caller.send(std::string(500'000, 'y'));
    peer.reset();
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    CHECK(path.events.finished[0].report.result == attempt_result::broken);
    CHECK(path.events.heads.empty());
    CHECK(caller.text().empty());
}

// Guards against a request that is held beyond its deadline, and a connection that is used again,
// when an upstream sends bytes without end that never become a complete answer.
TEST(held_answers, bytes_without_end_stop_at_the_deadline)
{
    struct flow
    {
        std::string name;
        std::string begin;
        std::string repeated;
    };
    std::string const chunked = "Transfer-Encoding: chunked\r\n\r\n";
    flow const flows[] = {
        {"body", "HTTP/1.1 200 OK\r\nId: 1\r\n" + chunked, "1\r\nx\r\n"},
        {"body that ends with the connection", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x"},
        {"trailers", "HTTP/1.1 200 OK\r\nId: 1\r\n" + chunked + "0\r\n", "T: x\r\n"},
        {"answer to another request", "HTTP/1.1 200 OK\r\nId: 9\r\n" + chunked, "1\r\nx\r\n"},
        {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"field", "HTTP/1.1 200 OK\r\nId: ", "x"},
        {"status line", "HTTP/1.1 200 ", "x"},
    };
    std::size_t ended = 0;
    for (auto const& it : flows)
    {
        data_path link{id_echo_settings(), {}, buffer_limit};
        raw_peer reader{link.io, link.port};
        link.events.on_request = [&](callers::request_head const& head)
        { link.attempt(head.id, link.upstream.at()); };
        reader.send(get("/a", "Id: 1\r\n"));
        CHECK(link.until(
            [&]() {
                return !link.upstream.peers.empty() && link.upstream.peers.back()->has("Id: 1\r\n");
            }));
        auto& peer = *link.upstream.peers.back();
        peer.send(it.begin);
        for (int second = 0; second < 3 && link.events.finished.empty(); ++second)
        {
            peer.send(it.repeated);
            link.io.poll();
            link.timers.advance(std::chrono::seconds(1));
        }
        CHECK_TRUE_TEXT(link.until([&]() { return link.events.finished.size() == 1; }),
                        it.name.c_str());
        CHECK_TRUE_TEXT(link.events.finished[0].report.result == attempt_result::timed_out,
                        it.name.c_str());
        CHECK_TRUE_TEXT(reader.text().empty(), it.name.c_str());
        LONGS_EQUAL(0, link.client.idle_connections());
        ++ended;
    }
    LONGS_EQUAL(std::size(flows), ended);
}

// Guards against a notice of the upstream that is missed or comes only with the end of a long
// answer, and against one that is taken from an answer to another request.
TEST(held_answers, a_notice_is_reported_with_the_head_of_the_attempts_own_answer)
{
    auto& peer = request("2");
    peer.send("HTTP/1.1 200 OK\r\nId: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n");
    CHECK(path.until([&]() { return path.client.counters().foreign_answers == 1; }));
    CHECK(path.events.notices.empty());
    peer.send("HTTP/1.1 200 OK\r\nId: 2\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nhalf");
    CHECK(path.until([&]() { return path.events.notices.size() == 1; }));
    CHECK(path.events.notices[0].leaving);
    CHECK(path.events.finished.empty());
}

TEST(held_answers, a_notice_in_a_refusal_is_reported_before_its_end)
{
    request("1").send("HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nLeaving: 1\r\n"
                      "Content-Length: 0\r\n\r\n");
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    LONGS_EQUAL(1, path.events.notices.size());
}

TEST(held_answers, a_refusal_is_reported_as_shed)
{
    request("1").send("HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    CHECK(path.events.finished[0].report.result == attempt_result::shed);
    CHECK(caller.text().empty());
    LONGS_EQUAL(1, path.client.idle_connections());
}

// Guards against an order that runs twice, or runs and is answered as not run: a late second copy
// of a refusal without an id was taken for the refusal of the next request on the connection.
TEST(held_answers, a_refusal_without_an_id_ends_its_connection)
{
    request("1").send("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    CHECK(path.until([&]() { return path.events.finished.size() == 1; }));
    CHECK(path.events.finished[0].report.result == attempt_result::shed);
    LONGS_EQUAL(0, path.client.connections());
}

TEST_GROUP_BASE(refusals_of_orders, id_echo_path)
{
    std::string const refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

    void setup() override
    {
        idempotent = false;
    }
    attempt_result result_of(std::size_t attempt)
    {
        CHECK(path.until([&]() { return path.events.finished.size() == attempt; }));
        return path.events.finished[attempt - 1].report.result;
    }
};

// Guards against an order that runs twice, or runs and is answered as not run: a refusal that its
// upstream sent for no request, behind answers that named theirs, was taken for the order's own.
TEST(refusals_of_orders, one_without_an_id_behind_other_answers_decides_nothing)
{
    request("1").send(answer_to("1", "done"));
    CHECK(result_of(1) == attempt_result::completed);
    auto& peer = request("2");
    LONGS_EQUAL(1, path.upstream.peers.size());
    peer.send(refusal);
    CHECK(path.until([&]() { return path.client.counters().refusals_by_position == 1; }));
    testing::run_ready(path.io);
    LONGS_EQUAL(1, path.events.finished.size());
    path.timers.advance(std::chrono::seconds(2));
    CHECK(result_of(2) == attempt_result::timed_out);
    CHECK_FALSE(caller.has("503"));
    LONGS_EQUAL(0, path.client.connections());
}

// Guards against an order that ran well and fails because of a refusal that was not its own.
TEST(refusals_of_orders, the_answer_behind_a_doubtful_one_is_delivered)
{
    request("1").send(answer_to("1", "done"));
    CHECK(result_of(1) == attempt_result::completed);
    request("2").send(refusal + answer_to("2", "placed"));
    CHECK(path.until([&]() { return caller.has("placed"); }));
    CHECK(result_of(2) == attempt_result::completed);
    LONGS_EQUAL(0, path.client.connections());
}

TEST(refusals_of_orders, one_with_an_id_behind_a_doubtful_one_is_certain)
{
    request("1").send(answer_to("1", "done"));
    CHECK(result_of(1) == attempt_result::completed);
    request("2").send(refusal + "HTTP/1.1 503 Busy\r\nId: 2\r\nNot-Run: 1\r\n"
                                "Content-Length: 0\r\n\r\n");
    CHECK(result_of(2) == attempt_result::shed);
}

TEST(refusals_of_orders, one_without_an_id_behind_a_skipped_answer_decides_nothing)
{
    request("2").send(answer_to("1", "stale") + refusal);
    CHECK(path.until([&]() { return path.client.counters().refusals_by_position == 1; }));
    path.timers.advance(std::chrono::seconds(2));
    CHECK(result_of(1) == attempt_result::timed_out);
}

// Guards against an upstream that keeps getting requests although it asked for none, because its
// refusal did not name the order.
TEST(refusals_of_orders, a_notice_in_a_doubtful_one_is_heard)
{
    request("1").send(answer_to("1", "done"));
    CHECK(result_of(1) == attempt_result::completed);
    request("2").send("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nLeaving: 1\r\n"
                      "Content-Length: 0\r\n\r\n");
    CHECK(path.until([&]() { return path.events.notices.size() == 1; }));
    CHECK(path.events.notices[0].leaving);
}

// Guards against an order that is failed although nothing else can have been refused.
TEST(refusals_of_orders, one_without_an_id_on_a_new_connection_is_certain)
{
    request("1").send(refusal);
    CHECK(result_of(1) == attempt_result::shed);
    LONGS_EQUAL(1, path.client.counters().refusals_as_first_answer);
}

TEST(refusals_of_orders, a_request_that_may_run_twice_is_refused_either_way)
{
    idempotent = true;
    request("1").send(answer_to("1", "done"));
    CHECK(result_of(1) == attempt_result::completed);
    request("2").send(refusal);
    CHECK(result_of(2) == attempt_result::shed);
}
