#include <csignal>
#include <functional>
#include <string>
#include <vector>

#include <sys/wait.h>
#include <unistd.h>

#include "client_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::upstreams;
using namespace std::chrono_literals;

namespace
{

// More than the socket buffers of both ends hold.
constexpr std::size_t large_body = 64UL * 1024 * 1024;

/// A way in which an attempt ends, or a part of the process with it.
struct ending
{
    char const* name;
    std::function<void(client_fixture&, base::attempt_id)> end;
};

} // namespace

TEST_GROUP(unsent_requests){};

// Guards against requests of ended attempts that reach an upstream later: bytes that the kernel
// could not deliver yet, as behind a cut link, were sent again until they arrived, and the upstream
// ran a request whose caller had been answered.
TEST(unsent_requests, are_dropped_when_their_attempt_ends)
{
    std::vector<ending> const endings{
        {"deadline", [](client_fixture& path, base::attempt_id) { path.timers.advance(2s); }},
        {"cancelled",
         [](client_fixture& path, base::attempt_id id) { path.attempts[id]->cancel(); }},
        {"broken answer",
         [](client_fixture& path, base::attempt_id) { path.peer(0).send("HTTP/1.1 x\r\n\r\n"); }},
        {"early answer", [](client_fixture& path, base::attempt_id) { path.peer(0).send(hello); }},
        {"refusal", [](client_fixture& path, base::attempt_id)
         { path.peer(0).send(answer_text("Shed: 1\r\nContent-Length: 0\r\n", "", "503 Busy")); }},
        {"stalled answer",
         [](client_fixture& path, base::attempt_id id)
         {
             path.peer(0).send(answer_text("Content-Length: 10\r\n", "hello"));
             CHECK(path.until([&]() { return path.texts[id] == "hello"; }));
             path.timers.advance(6s);
         }},
        {"the client ends", [](client_fixture& path, base::attempt_id) { path.it.reset(); }},
    };
    for (auto const& it : endings)
    {
        client_fixture path;
        scripted_body body;
        body.text.assign(large_body, 'x');
        body.length = large_body;
        auto const id = path.start("POST", &body);
        auto& peer = path.peer(0);
        peer.pause(true);
        testing::run_ready(path.io);
        it.end(path, id);
        testing::run_ready(path.io);
        peer.pause(false);
        CHECK_TEXT(path.until([&]() { return peer.ended(); }), it.name);
        CHECK_TEXT(peer.was_reset(), it.name);
        CHECK_TEXT(peer.text().size() < large_body, it.name);
    }
}

// Guards against unsent bytes that outlive the process: the kernel delivers those of a connection
// that was closed by the end of its process.
TEST(unsent_requests, are_dropped_when_their_process_is_killed)
{
    client_fixture path;
    auto const child = ::fork();
    if (child == 0)
    {
        client_fixture sender;
        sender.target = path.upstream.at();
        scripted_body body;
        body.text.assign(large_body, 'x');
        body.length = large_body;
        sender.start("POST", &body);
        testing::run_ready(sender.io);
        ::raise(SIGKILL);
    }
    CHECK(child > 0);
    auto& peer = path.peer(0);
    peer.pause(true);
    int status = 0;
    CHECK_EQUAL(child, ::waitpid(child, &status, 0));
    peer.pause(false);
    CHECK(path.until([&]() { return peer.ended(); }));
    CHECK(peer.was_reset());
}
