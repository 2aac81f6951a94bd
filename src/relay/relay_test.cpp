#include "relay_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::relay;
using base::attempt_result;
using testing::raw_peer;

TEST_GROUP(relay_forwarding)
{
    data_path path;

    void forward_everything()
    {
        path.events.on_request = [this](callers::request_head const& head)
        { path.attempt(head.id, path.upstream.at()); };
    }
};

// Guards against a request or an answer that is changed on its way, and against connections that
// are not reused.
TEST(relay_forwarding, passes_requests_and_answers_on_and_reuses_connections)
{
    forward_everything();
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
    LONGS_EQUAL(0, path.mover.requests());
}
