#ifndef FUCHSIAPROXY_CALLERS_SERVER_HPP
#define FUCHSIAPROXY_CALLERS_SERVER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/timer_service.hpp"
#include "fuchsiaproxy/callers/exchange.hpp"
#include "fuchsiaproxy/http/buffer_pool.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::callers
{

/// Format of the requests that a `server` accepts.
struct request_format
{
    /// Name of the field with the milliseconds left until the deadline.
    std::string deadline_field = "Deadline-Ms";
    /// Whether `GET /lookup` is a look-up and not a request to forward.
    bool look_ups = true;
};

/// Limits of a `server`.
struct server_settings
{
    /// Port 0 selects a free port.
    model::endpoint at;
    std::size_t max_connections = 10'000;
    std::size_t max_connections_per_address = 1'000;
    /// Time from the first byte of a head to its end.
    base::duration header_limit = std::chrono::seconds(5);
    /// Longest time without progress in a body, in either direction.
    base::duration body_idle_limit = std::chrono::seconds(10);
    /// Longest time between two requests on a connection.
    base::duration keep_alive_limit = std::chrono::seconds(60);
    std::uint64_t max_body_bytes = 64UL * 1024 * 1024;
    /// Requests of one connection that may be open at once.
    std::size_t max_open_requests = 8;
    /// Bytes reserved for answers by the requests of one connection, and by all of them. Answers
    /// that wait for their turn may use half of the latter, so that they leave room for others. At
    /// either bound no request is read behind another.
    std::size_t max_reserved_per_connection = 1024UL * 1024;
    std::size_t max_reserved = 48UL * 1024 * 1024;
    /// Treats a caller that has closed its sending side as disconnected, as most proxies do: it
    /// can't be distinguished from a caller that has closed its socket, and work for the latter
    /// would be wasted. If false, a request that was complete before is still answered.
    bool half_close_is_disconnect = true;
    request_format format;
};

/// Limits that can be changed while a `server` runs.
struct caller_limits
{
    base::duration header_limit = std::chrono::seconds(5);
    base::duration keep_alive_limit = std::chrono::seconds(60);
    std::uint64_t max_body_bytes = 64UL * 1024 * 1024;
};

/// Event counters of a `server` since its start.
struct server_counters
{
    std::uint64_t accepted = 0;
    /// Connections that were closed at once because of a limit or a lack of descriptors.
    std::uint64_t refused_connections = 0;
    std::uint64_t requests = 0;
    /// Requests that were refused while they were being read, by kind of error.
    std::uint64_t bad_requests = 0;
    std::uint64_t headers_too_large = 0;
    std::uint64_t requests_too_large = 0;
    std::uint64_t request_timeouts = 0;
    /// Connections that were closed because no request arrived in time.
    std::uint64_t idle_closed = 0;
    /// Answers that were interrupted because the caller stopped reading.
    std::uint64_t stalled_answers = 0;
    std::uint64_t callers_gone = 0;
    std::uint64_t aborted_answers = 0;
    /// Requests that were passed on while an earlier one of their connection was open.
    std::uint64_t pipelined_requests = 0;
    /// Times at which a bound stopped the reading of pipelined requests.
    std::uint64_t read_ahead_stopped = 0;
};

/// HTTP/1.1 server for callers. Refuses requests that are not strict HTTP/1.1 and passes complete
/// request heads to a `request_handler`.
///
/// Thread safety: none; used on the thread that runs the io_context.
class server
{
public:
    /// Creates a server that does not listen yet. `io`, `timers`, `buffers` and `handler` must
    /// outlive it and its exchanges.
    server(boost::asio::io_context& io, base::timer_service& timers, http::buffer_pool& buffers,
           request_handler& handler, server_settings settings);

    /// Closes every connection without calling the handler.
    ~server();

    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /// Starts to listen and returns the port. Fails with `invalid_settings` if the address is not
    /// an IP address or cannot be bound. Precondition: called once.
    base::result<std::uint16_t> listen();

    /// Replaces the limits. They apply to data that is read from now on.
    void set_limits(caller_limits const& limits);

    /// Adds `Connection: close` to all answers from now on, but continues to accept connections.
    void disable_keep_alive();

    /// Stops accepting, closes idle connections, adds `Connection: close` to the answers and calls
    /// `done` once the last exchange has ended, never before `drain` returns. Precondition: called
    /// once.
    void drain(std::function<void()> done);

    /// Returns the number of exchanges that have not ended.
    std::size_t exchanges() const;

    /// Returns the number of bytes that are reserved for answers.
    std::size_t reserved() const;

    /// Returns the number of open connections.
    std::size_t connections() const;

    /// Returns the counts since the start.
    server_counters const& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::callers

#endif
