#ifndef FUCHSIAPROXY_METADATA_HTTP_CLIENT_HPP
#define FUCHSIAPROXY_METADATA_HTTP_CLIENT_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::metadata
{

/// IP address and port of an HTTP server.
struct http_endpoint
{
    std::string address;
    std::uint16_t port = 0;
};

/// Parses "ip:port". Returns port 0 if `text` is malformed. Thread safe.
http_endpoint parse_endpoint(std::string const& text);

/// A header field.
struct http_field
{
    std::string name;
    std::string value;
};

/// A request and the time limit for its complete answer.
struct http_call
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<http_field> fields;
    std::string body;
    base::duration deadline = std::chrono::seconds(2);
};

/// Outcome of a call.
enum class http_call_state
{
    /// An answer arrived, with any status.
    answered,
    /// No byte of the request was sent.
    not_sent,
    /// At least one byte was sent and no complete answer arrived.
    sent_unanswered
};

/// Result of a call.
struct http_answer
{
    http_call_state state = http_call_state::not_sent;
    unsigned status = 0;
    std::vector<http_field> fields;
    std::string body;
    /// Human-readable reason why the call was not answered.
    std::string failure;
};

/// Returns the value of the first field called `name` (in any case), or an empty string.
std::string field_of(http_answer const& answer, std::string const& name);

/// Limits of a client.
struct http_client_limits
{
    /// Maximum number of open connections; further calls are queued.
    std::size_t max_connections = 4;
    /// Maximum number of queued calls; further calls fail with `not_sent`.
    std::size_t max_queued = 256;
    /// Maximum size of an answer's body. Leaves room for a value of 1 MB that grows when it is
    /// escaped as JSON.
    std::size_t max_answer_bytes = 8'000'000;
    /// Idle time before the first TCP keep-alive probe, and time after which a connection that does
    /// not answer the probe is closed, in whole seconds. Zero keeps the system's defaults.
    std::chrono::seconds probe_after{0};
    /// Time limit for establishing a connection; if zero, only the call's deadline applies. A
    /// listener whose backlog is full drops the SYN, which the system retransmits only after a
    /// second or more.
    base::duration connect_limit{};
};

/// Counters of a client's connections.
struct http_connection_counts
{
    std::uint64_t opened = 0;
    /// Connections that were closed because a call on them exceeded its deadline.
    std::uint64_t timed_out = 0;
    /// Connections that failed during a call for any other reason.
    std::uint64_t failed = 0;
};

/// Asynchronous HTTP/1.1 client of one server with a bounded pool of kept-alive connections.
///
/// A call that exceeds its deadline closes its connection, so that an unresponsive connection is
/// not reused. The client never retries a request.
///
/// Thread safety: all calls on the thread that runs the `io_context`.
class http_client
{
public:
    using handler = std::function<void(http_answer)>;

    /// Creates a client without connections. Precondition: `io` outlives the client.
    http_client(boost::asio::io_context& io, http_endpoint endpoint, http_client_limits limits);
    /// Closes all connections. The handlers of calls in progress are not called.
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Starts `call`. `done` is called once, from the `io_context`, never from within this
    /// function. Precondition: `call.deadline > 0`.
    void start(http_call call, handler done);

    /// Closes the connections that no call uses. Further calls open new ones.
    void close_idle_connections();

    /// Returns the connection counters.
    http_connection_counts const& counts() const noexcept;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::metadata

#endif
