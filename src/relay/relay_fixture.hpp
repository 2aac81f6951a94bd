#ifndef FUCHSIAPROXY_RELAY_RELAY_FIXTURE_HPP
#define FUCHSIAPROXY_RELAY_RELAY_FIXTURE_HPP

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "../testing/loopback.hpp"
#include "../testing/manual_timer_service.hpp"
#include "fuchsiaproxy/callers/server.hpp"
#include "fuchsiaproxy/relay/relay.hpp"

namespace fuchsiaproxy::relay
{

/// Records the events of a relay. Tests set how it reacts to requests and answers.
class recorded_events : public relay_events
{
public:
    struct finished_attempt
    {
        base::attempt_id id;
        upstreams::attempt_report report;
    };

    void request_arrived(callers::request_head const& head) override
    {
        arrived.push_back(head);
        if (on_request)
        {
            on_request(head);
        }
    }
    bool may_run_beside_others(callers::request_head const& head) const override
    {
        return beside_others && head.method == "GET";
    }
    void upstream_notified(base::attempt_id, upstreams::upstream_notice const& notice) override
    {
        notices.push_back(notice);
    }
    bool attempt_head(base::attempt_id attempt, unsigned status) override
    {
        heads.emplace_back(attempt, status);
        return accept;
    }
    void attempt_finished(base::attempt_id attempt,
                          upstreams::attempt_report const& report) override
    {
        finished.push_back(finished_attempt{attempt, report});
    }
    void caller_gone(base::local_request_id request) override
    {
        gone.push_back(request);
    }

    std::function<void(callers::request_head const&)> on_request;
    bool accept = true;
    /// Whether GET requests may run beside others of their connection.
    bool beside_others = false;
    std::vector<callers::request_head> arrived;
    std::vector<std::pair<base::attempt_id, unsigned>> heads;
    std::vector<finished_attempt> finished;
    std::vector<upstreams::upstream_notice> notices;
    std::vector<base::local_request_id> gone;
};

/// Complete data path on loopback: server, relay, client, and one raw upstream.
struct data_path
{
    explicit data_path(upstreams::client_settings client_limits = {},
                       callers::server_settings server_limits = {},
                       std::size_t max_buffered_bytes = 0)
        : client(io, timers, buffers, client_limits),
          request_relay(io, buffers, client, events, max_buffered_bytes),
          server(io, timers, buffers, request_relay, at_loopback(std::move(server_limits)))
    {
        port = server.listen().value();
    }

    static callers::server_settings at_loopback(callers::server_settings limits)
    {
        limits.at = model::endpoint{"127.0.0.1", 0};
        return limits;
    }

    /// Starts the next attempt of `request` at `at`.
    base::attempt_id attempt(base::local_request_id request, model::endpoint const& at,
                             bool idempotent = true)
    {
        attempt_parameters order;
        order.request = request;
        order.attempt = base::attempt_id(++last_attempt);
        order.at = at;
        order.deadline = timers.now() + std::chrono::seconds(2);
        order.idempotent = idempotent;
        order.shed_statuses = {503};
        order.removed = removed;
        order.added = added;
        order.ends_at_deadline = ends_at_deadline;
        request_relay.start_attempt(order);
        return order.attempt;
    }

    template <class Condition>
    bool until(Condition condition)
    {
        return testing::run_until(io, condition);
    }

    boost::asio::io_context io;
    testing::manual_timer_service timers;
    http::buffer_pool buffers{4096};
    recorded_events events;
    testing::raw_listener upstream{io};
    upstreams::client client;
    relay request_relay;
    callers::server server;
    std::uint16_t port = 0;
    std::uint64_t last_attempt = 0;
    bool ends_at_deadline = false;
    /// Header fields that are added to each attempt.
    http::fields added;
    /// Names of fields of the caller that are not forwarded.
    std::vector<std::string> removed;
};

inline std::string get(std::string const& target, std::string const& more = {})
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + more + "\r\n";
}

inline std::string answer_200(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A request with a body of known length.
inline std::string post(std::string const& body, std::string const& more = {})
{
    return "POST /orders/1 HTTP/1.1\r\nHost: h\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace fuchsiaproxy::relay

#endif
