#ifndef FUCHSIAPROXY_UPSTREAMS_CLIENT_FIXTURE_HPP
#define FUCHSIAPROXY_UPSTREAMS_CLIENT_FIXTURE_HPP

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "../testing/loopback.hpp"
#include "../testing/manual_timer_service.hpp"
#include "fuchsiaproxy/upstreams/client.hpp"

#include <CppUTest/TestHarness.h>

namespace fuchsiaproxy::upstreams
{

inline std::string answer_text(std::string const& fields, std::string const& body = {},
                               std::string const& status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "\r\n" + body;
}

inline std::string const hello = answer_text("Content-Length: 5\r\n", "hello");

/// Body that the test provides piece by piece.
class scripted_body final : public body_source
{
public:
    std::optional<std::uint64_t> body_length(base::attempt_id) override
    {
        return length;
    }
    body_piece body_at(base::attempt_id, std::uint64_t offset) override
    {
        auto const rest = std::string_view(text).substr(static_cast<std::size_t>(offset));
        return body_piece{rest, ended};
    }
    std::string text;
    bool ended = true;
    std::optional<std::uint64_t> length;
};

/// Client with a fake clock and one raw upstream; records the events of its attempts.
struct client_fixture : attempt_events
{
    explicit client_fixture(client_settings limits = {})
        : it(std::make_unique<client>(io, timers, buffers, std::move(limits)))
    {
    }

    void attempt_head(base::attempt_id id, answer_head const& head) override
    {
        heads[id] = head;
        if (reads_body)
        {
            attempts[id]->forward_until(base::time_point::max());
            take(id);
        }
    }
    void attempt_readable(base::attempt_id id) override
    {
        take(id);
    }
    void attempt_finished(base::attempt_id id, attempt_report const& report) override
    {
        CHECK(reports.emplace(id, report).second);
    }

    void take(base::attempt_id id)
    {
        for (auto part = attempts[id]->part(); !part.data.empty(); part = attempts[id]->part())
        {
            texts[id] += part.data;
            attempts[id]->consume(part.data.size());
        }
    }

    base::attempt_id start(std::string const& method = "GET", body_source* body = nullptr)
    {
        attempt_request request;
        request.id = base::attempt_id(++last);
        request.at = target.value_or(upstream.at());
        request.method = method;
        request.target = "/a";
        request.fields.add("Host", "h");
        request.deadline = timers.now() + std::chrono::seconds(2);
        request.idempotent = method == "GET" || method == "HEAD";
        request.shed_statuses = {503};
        request.body = body;
        auto const id = request.id;
        attempts[id] = it->start(std::move(request), *this);
        return id;
    }

    /// Waits until the upstream's connection `n` has received a whole head, and returns it.
    testing::raw_peer& peer(std::size_t n)
    {
        CHECK(until([&]()
                    { return upstream.peers.size() > n && upstream.peers[n]->has("\r\n\r\n"); }));
        return *upstream.peers.at(n);
    }

    attempt_report const& report(base::attempt_id id)
    {
        CHECK(until([&]() { return reports.count(id) == 1; }));
        return reports[id];
    }

    /// Runs one complete exchange on the connection `n`.
    void complete_one(std::size_t n = 0)
    {
        auto const id = start();
        auto& at = peer(n);
        at.clear();
        at.send(hello);
        CHECK(report(id).result == base::attempt_result::completed);
    }

    template <class Condition>
    bool until(Condition condition)
    {
        return testing::run_until(io, condition);
    }

    boost::asio::io_context io;
    testing::manual_timer_service timers;
    http::buffer_pool buffers{100};
    testing::raw_listener upstream{io};
    /// Address of the upstream, if it is not `upstream`.
    std::optional<model::endpoint> target;
    bool reads_body = true;
    std::uint64_t last = 0;
    std::map<base::attempt_id, answer_head> heads;
    std::map<base::attempt_id, std::string> texts;
    std::map<base::attempt_id, attempt_report> reports;
    std::unique_ptr<client> it;
    std::map<base::attempt_id, std::shared_ptr<attempt>> attempts;
};

} // namespace fuchsiaproxy::upstreams

#endif
