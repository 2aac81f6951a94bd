#include "relay_fixture.hpp"

#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::relay;
using base::attempt_result;
using testing::raw_peer;

namespace
{

constexpr int steps = 3000;
constexpr std::size_t caller_count = 6;

/// A caller's request and its result. Orders are POST requests, which must run at most once.
struct sent_request
{
    std::string token;
    bool order = false;
    int runs = 0;
    bool complete = false;
    bool answered_not_run = false;
};

/// Removes a complete answer from the front of `text`. Returns false if it is incomplete.
bool take_answer(std::string& text, std::string& head, std::string& body)
{
    auto const end = text.find("\r\n\r\n");
    if (end == std::string::npos)
    {
        return false;
    }
    auto const first = end + 4;
    auto const length = text.find("Content-Length: ");
    if (length < end)
    {
        auto const size = std::stoul(text.substr(length + 16));
        if (text.size() < first + size)
        {
            return false;
        }
        body = text.substr(first, size);
        head = text.substr(0, first);
        text.erase(0, first + size);
        return true;
    }
    body.clear();
    for (auto at = first; text.find("\r\n", at) != std::string::npos;)
    {
        auto const size = std::stoul(text.substr(at), nullptr, 16);
        auto const data = text.find("\r\n", at) + 2;
        if (text.size() < data + size + 2)
        {
            return false;
        }
        body += text.substr(data, size);
        at = data + size + 2;
        if (size == 0)
        {
            head = text.substr(0, first);
            text.erase(0, at);
            return true;
        }
    }
    return false;
}

/// Callers, decision logic and an upstream with random faults; reproducible by its seed.
struct fault_simulation
{
    explicit fault_simulation(unsigned seed) : random(seed)
    {
        path.events.on_request = [this](callers::request_head const& head)
        { start_attempts(head.id, head.method == "POST"); };
        callers.resize(caller_count);
    }

    unsigned pick(unsigned bound)
    {
        return std::uniform_int_distribution<unsigned>(0, bound - 1)(random);
    }

    void start_attempts(base::local_request_id request, bool order)
    {
        auto const id = path.attempt(request, path.upstream.at(), !order);
        attempts[id] = {request, order};
        if (!order && pick(4) == 0)
        {
            attempts[path.attempt(request, path.upstream.at(), true)] = {request, false};
        }
    }

    /// Retries or answers the requests whose attempts have ended since the last call.
    void handle_finished_attempts()
    {
        for (; finished_handled < path.events.finished.size(); ++finished_handled)
        {
            auto const it = path.events.finished[finished_handled];
            auto const [request, order] = attempts[it.id];
            auto const result = it.report.result;
            auto const not_run = result == attempt_result::shed ||
                                 result == attempt_result::not_sent ||
                                 result == attempt_result::connect_failed;
            if (not_run && path.request_relay.can_attempt(request) && pick(2) == 0)
            {
                start_attempts(request, order);
            }
            else if (result != attempt_result::completed)
            {
                path.request_relay.answer_error(request, order && not_run
                                                             ? base::error_kind::overloaded
                                                             : base::error_kind::upstream_failed);
            }
        }
    }

    /// Answers the requests that reached the upstream, correctly or with a fault.
    void act_as_upstream()
    {
        for (auto const& peer : path.upstream.peers)
        {
            auto const text = peer->text();
            auto const end = text.find("\r\n\r\n");
            auto const begin = text.find("/s/t");
            if (end == std::string::npos || peer->ended() || pick(3) == 0)
            {
                continue;
            }
            auto const token = text.substr(begin + 3, text.find(' ', begin) - begin - 3);
            auto& request = requests[token];
            if (request.order && text.find(token, end) == std::string::npos)
            {
                continue; // The body is incomplete.
            }
            peer->clear();
            answer(*peer, request);
        }
    }

    void answer(raw_peer& peer, sent_request& request)
    {
        std::string body;
        for (auto n = pick(pick(2) == 0 ? 5 : 5000); n > 0; --n)
        {
            body += request.token + ";";
        }
        auto text = answer_200(body);
        if (pick(2) == 0)
        {
            text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            for (std::size_t at = 0; at < body.size();)
            {
                auto const part = body.substr(at, 1 + pick(9000));
                http::append_chunk_header(text, part.size());
                text += part + "\r\n";
                at += part.size();
            }
            text += "0\r\n\r\n";
        }
        switch (pick(8))
        {
        case 0:
            peer.send("HTTP/1.1 503 Busy\r\nShed: 1\r\nContent-Length: 1\r\n\r\nx");
            return;
        case 1:
            ++request.runs;
            pick(2) == 0 ? peer.close() : peer.reset();
            return;
        case 2:
            ++request.runs;
            peer.send(text.substr(0, pick(static_cast<unsigned>(text.size()))));
            peer.half_close();
            return;
        case 3:
            ++request.runs; // Sends no answer; the deadline or a cancellation ends the attempt.
            return;
        case 4:
            ++request.runs;
            peer.send(text + answer_200("unasked"));
            return;
        default:
            ++request.runs;
            peer.send(text);
        }
    }

    void act_as_caller(std::size_t n)
    {
        auto& it = callers[n];
        if (!it.peer || it.peer->ended())
        {
            it.peer = std::make_unique<raw_peer>(path.io, path.port);
            it.token.clear();
            it.text.clear();
        }
        if (it.token.empty())
        {
            it.token = "t" + std::to_string(++last_token);
            auto& request = requests[it.token];
            request.token = it.token;
            request.order = pick(2) == 0;
            it.peer->send(request.order ? "POST /s/" + it.token + " HTTP/1.1\r\nHost: h\r\n" +
                                              "Content-Length: " + std::to_string(it.token.size()) +
                                              "\r\n\r\n" + it.token
                                        : get("/s/" + it.token));
        }
        else if (pick(60) == 0)
        {
            it.peer.reset();
        }
    }

    void check_answer(std::size_t n)
    {
        auto& it = callers[n];
        if (!it.peer || it.token.empty())
        {
            return;
        }
        it.text += it.peer->text();
        it.peer->clear();
        std::string head;
        std::string body;
        if (!take_answer(it.text, head, body))
        {
            return;
        }
        CHECK_EQUAL(std::string(), it.text); // Nothing follows the answer to the only request.
        auto& request = requests[it.token];
        request.complete = true;
        request.answered_not_run = head.find("Request-Outcome: not-run") != std::string::npos;
        if (head.find("Request-Outcome: run") != std::string::npos)
        {
            ++forwarded;
            auto const unit = it.token + ";";
            CHECK_EQUAL(0, body.size() % unit.size());
            for (std::size_t at = 0; at < body.size(); at += unit.size())
            {
                CHECK(body.compare(at, unit.size(), unit) == 0);
            }
        }
        it.token.clear();
    }

    void step()
    {
        auto const n = pick(caller_count);
        act_as_caller(n);
        path.io.restart();
        path.io.poll();
        act_as_upstream();
        path.io.restart();
        path.io.poll();
        handle_finished_attempts();
        for (std::size_t it = 0; it < caller_count; ++it)
        {
            check_answer(it);
        }
        path.timers.advance(std::chrono::milliseconds(pick(40)));
    }

    struct caller_state
    {
        std::unique_ptr<raw_peer> peer;
        std::string token;
        std::string text;
    };

    std::mt19937 random;
    data_path path;
    std::vector<caller_state> callers;
    std::map<std::string, sent_request> requests;
    std::map<base::attempt_id, std::pair<base::local_request_id, bool>> attempts;
    std::size_t finished_handled = 0;
    int last_token = 0;
    int forwarded = 0;
};

} // namespace

TEST_GROUP(relay_faults){};

// Random faults of callers and upstreams. Guards against answers that reach another request or are
// truncated without an error (I3), "not run" for an order that ran (I4), orders that run twice
// (I5), attempts that are reported twice or never, and buffers that are never released.
TEST(relay_faults, answers_are_complete_and_orders_run_at_most_once)
{
    for (unsigned const seed : {1U, 2U, 3U, 4U})
    {
        fault_simulation simulation(seed);
        for (int n = 0; n < steps; ++n)
        {
            simulation.step();
        }
        for (auto& it : simulation.callers)
        {
            it.peer.reset();
        }
        CHECK(simulation.path.until(
            [&]()
            {
                simulation.path.timers.advance(std::chrono::milliseconds(100));
                simulation.handle_finished_attempts();
                return simulation.path.request_relay.requests() == 0 &&
                       simulation.path.events.finished.size() == simulation.attempts.size();
            }));
        LONGS_EQUAL(0, simulation.path.buffers.in_use());
        CHECK(simulation.forwarded > steps / 20);
        for (auto const& it : simulation.requests)
        {
            CHECK(!it.second.order || it.second.runs <= 1);
            CHECK(!it.second.order || !it.second.answered_not_run || it.second.runs == 0);
        }
    }
}
