#ifndef FUCHSIAPROXY_UPSTREAMS_CLIENT_HPP
#define FUCHSIAPROXY_UPSTREAMS_CLIENT_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/timer_service.hpp"
#include "fuchsiaproxy/http/buffer_pool.hpp"
#include "fuchsiaproxy/upstreams/attempt.hpp"
#include "fuchsiaproxy/upstreams/dialect.hpp"

namespace fuchsiaproxy::upstreams
{

/// Limits of a `client`.
struct client_settings
{
    /// Connections to one upstream, idle ones included.
    std::size_t max_connections = 30;
    base::duration connect_limit = std::chrono::milliseconds(500);
    /// Idle time after which a pooled connection is closed.
    base::duration idle_limit = std::chrono::seconds(30);
    /// Longest idle time of a pooled connection that a non-idempotent request may use. The upstream
    /// may close an idle connection just as the request is sent, and whether the request ran is
    /// then unknown; a recently used connection is unlikely to have reached the upstream's idle
    /// limit.
    base::duration non_idempotent_idle_limit = std::chrono::seconds(1);
    /// Longest time without bytes within the body of an answer. Until the head has arrived, the
    /// request's deadline applies.
    base::duration body_idle_limit = std::chrono::seconds(5);
    /// Header-field conventions of the upstreams.
    std::shared_ptr<dialect const> upstream_dialect = native_dialect();
};

/// Counts of a `client` since its start.
struct client_counters
{
    std::uint64_t attempts = 0;
    std::uint64_t connects = 0;
    std::uint64_t connects_failed = 0;
    /// Attempts that used a pooled connection.
    std::uint64_t reused = 0;
    /// Pooled connections that were found closed, or had received bytes, before use.
    std::uint64_t stale = 0;
    /// Pooled connections that were closed at their idle limit.
    std::uint64_t idle_closed = 0;
    /// Idle connections that were closed because an attempt at the same upstream had ended as
    /// `timed_out` or `broken`.
    std::uint64_t closed_after_failure = 0;
    /// Attempts that ended because all connections to the upstream were in use.
    std::uint64_t pool_full = 0;
    /// Answers that were incomplete, that stalled in the body, or that were not strict HTTP/1.1.
    std::uint64_t broken = 0;
    /// Answers to an earlier request on their connection.
    std::uint64_t foreign_answers = 0;
    /// Refusals that did not identify their request, on new connections and on others.
    std::uint64_t refusals_as_first_answer = 0;
    std::uint64_t refusals_by_position = 0;
    /// Answers with an invalid notice of the upstream about itself.
    std::uint64_t malformed_notices = 0;
    std::uint64_t timed_out = 0;
    /// Attempts that were not sent because their deadline had passed.
    std::uint64_t late = 0;
};

/// HTTP/1.1 client with a bounded pool of connections for each upstream.
///
/// Thread safety: none; used on the thread that runs the io_context.
class client
{
public:
    /// `io`, `timers` and `buffers` must outlive the client and its attempts.
    client(boost::asio::io_context& io, base::timer_service& timers, http::buffer_pool& buffers,
           client_settings settings);

    /// Closes every connection. Running attempts end without a report.
    ~client();

    client(client const&) = delete;
    client& operator=(client const&) = delete;

    /// Starts an attempt. `events` must outlive the client. Never calls `events` before it
    /// returns.
    std::shared_ptr<attempt> start(attempt_request request, attempt_events& events);

    /// Closes the idle connections to `at`, such as those to an upstream that is leaving.
    void close_idle_connections(model::endpoint const& at);

    /// Returns the number of open connections, idle ones included.
    std::size_t connections() const;

    /// Returns the number of idle connections.
    std::size_t idle_connections() const;

    /// Returns the counts since the start.
    client_counters const& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::upstreams

#endif
