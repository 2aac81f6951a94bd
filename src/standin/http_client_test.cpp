#include "fuchsiaproxy/metadata/http_client.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../testing/loopback.hpp"
#include "fuchsiaproxy/standin/http_server.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using metadata::http_call_state;
using std::chrono::milliseconds;

TEST_GROUP(http_client)
{
    boost::asio::io_context io;
    std::vector<standin::exchange_ptr> exchanges;
    standin::http_server server{
        io, {"127.0.0.1", 0}, [this](auto const&, auto const& it) { exchanges.push_back(it); }};
    std::vector<metadata::http_answer> answers;

    std::unique_ptr<metadata::http_client> make_client(std::size_t connections, std::size_t queued)
    {
        metadata::http_client_limits limits;
        limits.max_connections = connections;
        limits.max_queued = queued;
        limits.max_answer_bytes = 1000;
        return std::make_unique<metadata::http_client>(io, server.endpoint(), limits);
    }

    void start(metadata::http_client & client, base::duration deadline = std::chrono::seconds(15),
               std::size_t body_bytes = 0)
    {
        metadata::http_call call;
        call.method = "PUT";
        call.body = std::string(body_bytes, 'x');
        call.deadline = deadline;
        client.start(call, [this](metadata::http_answer it) { answers.push_back(std::move(it)); });
    }

    void wait_for_answers(std::size_t n)
    {
        CHECK(testing::run_until(io, [this, n] { return answers.size() == n; }));
    }

    void wait_for_exchanges(std::size_t n)
    {
        CHECK(testing::run_until(io, [this, n] { return exchanges.size() == n; }));
    }
};

// Guards against calls that are executed long after they were given up, because the kernel goes on
// to deliver what it holds of them; and against the loss of one that merely outlives its client, as
// the end of a lease in a planned stop.
TEST(http_client, calls_that_are_given_up_are_not_delivered_later)
{
    testing::raw_listener raw(io);
    constexpr std::size_t large_body = 64UL * 1024 * 1024;
    auto const accepted = [&] { return !raw.peers.empty() && raw.peers.back()->has("\r\n\r\n"); };
    {
        metadata::http_client client(io, {"127.0.0.1", raw.port()}, {});
        start(client, milliseconds(200), large_body);
        CHECK(testing::run_until(io, accepted));
        auto& peer = *raw.peers.back();
        peer.pause(true);
        wait_for_answers(1);
        peer.pause(false);
        CHECK(testing::run_until(io, [&] { return peer.ended(); }));
        CHECK(peer.was_reset());
        CHECK(answers[0].state == http_call_state::sent_unanswered);
    }
    raw.peers.clear();
    {
        metadata::http_client client(io, {"127.0.0.1", raw.port()}, {});
        start(client);
        CHECK(testing::run_until(io, accepted));
    }
    auto& peer = *raw.peers.back();
    CHECK(testing::run_until(io, [&] { return peer.ended(); }));
    CHECK_FALSE(peer.was_reset());
}

// Guards against a call that waits for a connection beyond its deadline, and against reporting a
// call as possibly executed although it was never sent.
TEST(http_client, calls_that_wait_for_a_connection_end_at_their_deadline_unsent)
{
    auto const client = make_client(1, 1);
    start(*client);
    wait_for_exchanges(1);
    start(*client, milliseconds(20));
    start(*client, milliseconds(20));
    wait_for_answers(2);
    CHECK(answers[0].state == http_call_state::not_sent);
    CHECK(answers[1].state == http_call_state::not_sent);
    exchanges[0]->answer(200, "done");
    wait_for_answers(3);
    CHECK_EQUAL(std::string("done"), answers[2].body);
    CHECK_EQUAL(1U, exchanges.size());
}

// Guards against a queued call that is never started.
TEST(http_client, queued_calls_start_in_order_on_the_same_connection)
{
    auto const client = make_client(1, 5);
    for (std::size_t n = 0; n < 5; ++n)
    {
        start(*client);
    }
    for (std::size_t n = 0; n < 5; ++n)
    {
        wait_for_exchanges(n + 1);
        exchanges[n]->answer(200, std::to_string(n));
    }
    wait_for_answers(5);
    CHECK_EQUAL(std::string("4"), answers[4].body);
    CHECK_EQUAL(1U, client->counts().opened);
}

// Guards against reporting a partly sent request as not sent: the deadline interrupts the write
// while the server reads nothing.
TEST(http_client, interrupted_write_counts_as_sent)
{
    boost::asio::io_context idle;
    standin::http_server const unread(idle, {"127.0.0.1", 0}, [](auto const&, auto const&) {});
    metadata::http_client client(io, unread.endpoint(), {});
    constexpr std::size_t more_than_socket_buffers = 64'000'000;
    start(client, milliseconds(500), more_than_socket_buffers);
    wait_for_answers(1);
    CHECK(answers[0].state == http_call_state::sent_unanswered);
    CHECK_EQUAL(1U, client.counts().timed_out);
}

// Guards against buffering an answer of unlimited size.
TEST(http_client, answer_beyond_the_limit_fails)
{
    auto const client = make_client(1, 1);
    start(*client);
    wait_for_exchanges(1);
    exchanges[0]->answer(200, std::string(1001, 'x'));
    wait_for_answers(1);
    CHECK(answers[0].state == http_call_state::sent_unanswered);
    CHECK_EQUAL(1U, client->counts().failed);
}

// Guards against sending a request on an idle connection that the server has closed.
TEST(http_client, connection_closed_by_the_server_is_not_reused)
{
    auto const client = make_client(1, 1);
    start(*client);
    wait_for_exchanges(1);
    exchanges[0]->answer(200, "");
    wait_for_answers(1);
    server.close_connections();
    start(*client);
    wait_for_exchanges(2);
    exchanges[1]->answer(200, "");
    wait_for_answers(2);
    CHECK(answers[1].state == http_call_state::answered);
    CHECK_EQUAL(2U, client->counts().opened);
}

// Guards against a server that ends the process with an empty chunked answer that arrives in
// pieces.
TEST(http_client, an_empty_chunked_answer_in_pieces_is_read)
{
    testing::raw_listener raw(io);
    metadata::http_client client(io, {"127.0.0.1", raw.port()}, {});
    start(client);
    CHECK(testing::run_until(io, [&]
                             { return raw.peers.size() == 1 && raw.peers[0]->has("\r\n\r\n"); }));
    std::size_t sent = 0;
    for (std::string const piece :
         {"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n", "\r", "\n"})
    {
        CHECK(answers.empty());
        raw.peers[0]->send(piece);
        sent += piece.size();
        CHECK(testing::run_until(io, [&] { return raw.peers[0]->sent() == sent; }));
        testing::run_ready(io);
    }
    wait_for_answers(1);
    CHECK(answers[0].state == http_call_state::answered);
    LONGS_EQUAL(503, answers[0].status);
}

// Guards against accepting malformed addresses.
TEST(http_client, malformed_endpoints_are_rejected)
{
    CHECK_EQUAL(80, metadata::parse_endpoint("10.0.0.1:80").port);
    for (auto const* it : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:x", "10.0.0.1:65536", "1:123456"})
    {
        CHECK_EQUAL(0, metadata::parse_endpoint(it).port);
    }
}
