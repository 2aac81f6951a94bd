#ifndef FUCHSIAPROXY_CALLERS_SERVER_FIXTURE_HPP
#define FUCHSIAPROXY_CALLERS_SERVER_FIXTURE_HPP

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../testing/loopback.hpp"
#include "../testing/manual_timer_service.hpp"
#include "fuchsiaproxy/callers/server.hpp"

namespace fuchsiaproxy::callers
{

/// Records the calls of a server, and reads bodies if `read_bodies` is set.
class recording_handler : public request_handler
{
public:
    bool may_run_beside_others(request_head const& head) const override
    {
        return beside_others && beside_others(head);
    }
    void turn_reached(base::local_request_id request) override
    {
        turns.push_back(request);
    }
    void request_arrived(std::shared_ptr<exchange> it) override
    {
        exchanges.push_back(it);
        if (read_bodies)
        {
            read(*it);
        }
        if (on_request)
        {
            on_request(*it);
        }
    }
    void body_ready(base::local_request_id) override
    {
        read(*exchanges.back());
    }
    void write_ready(base::local_request_id request) override
    {
        ++writes_ready;
        if (on_write_ready)
        {
            on_write_ready(request);
        }
    }
    void caller_gone(base::local_request_id request) override
    {
        gone_requests.push_back(request);
    }

    void read(exchange& it)
    {
        char bytes[1000];
        do
        {
            last_read = it.read_body(bytes, sizeof bytes);
            body.append(bytes, last_read.size);
        } while (last_read.state == body_state::open);
        if (last_read.state == body_state::failed)
        {
            it.answer({base::answer_for(last_read.error).http_status,
                       base::execution_record::never_sent()},
                      {}, "failed");
        }
    }

    bool read_bodies = true;
    std::function<void(exchange&)> on_request;
    std::function<void(base::local_request_id)> on_write_ready;
    /// Requests that may run beside others; none if unset.
    std::function<bool(request_head const&)> beside_others;
    std::vector<base::local_request_id> turns;
    std::vector<std::shared_ptr<exchange>> exchanges;
    std::string body;
    body_read last_read;
    int writes_ready = 0;
    std::vector<base::local_request_id> gone_requests;
};

/// A server on the loopback address with a manual clock.
struct server_fixture
{
    explicit server_fixture(server_settings limits = {})
        : subject(io, timers, buffers, handler, at_loopback(std::move(limits)))
    {
        port = subject.listen().value();
    }

    static server_settings at_loopback(server_settings limits)
    {
        limits.at = model::endpoint{"127.0.0.1", 0};
        return limits;
    }

    template <class Condition>
    bool until(Condition condition)
    {
        return testing::run_until(io, condition);
    }

    /// Sends `text` on a new connection and returns everything received until the server closes it.
    std::string send_and_receive(std::string const& text)
    {
        testing::raw_peer caller(io, port);
        caller.send(text);
        return until([&]() { return caller.ended(); }) ? caller.text() : "no end";
    }

    /// Waits for the request number `count` and returns its exchange.
    exchange& request(std::size_t count)
    {
        until([&]() { return handler.exchanges.size() >= count; });
        return *handler.exchanges.at(count - 1);
    }

    boost::asio::io_context io;
    testing::manual_timer_service timers;
    http::buffer_pool buffers{1000};
    recording_handler handler;
    server subject;
    std::uint16_t port = 0;
};

inline std::string request_text(std::string const& fields, std::string const& line = "GET /s/a")
{
    return line + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

inline bool starts_with(std::string const& text, std::string const& start)
{
    return text.compare(0, start.size(), start) == 0;
}

} // namespace fuchsiaproxy::callers

#endif
