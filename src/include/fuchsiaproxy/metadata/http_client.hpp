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

/// Reads "ip:port"; the port is 0 when `text` has another form. Thread safe.
http_endpoint parse_endpoint(std::string const& text);

/// A header field.
struct http_field
{
    std::string name;
    std::string value;
};

/// A request with the time within which it must be answered.
struct http_call
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<http_field> fields;
    std::string body;
    base::duration deadline = std::chrono::seconds(2);
};

/// How a call ended.
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
    /// Cause of a call that was not answered, for people.
    std::string failure;
};

/// Returns the value of the first field called `name` (in any case), or an empty string.
std::string field_of(http_answer const& answer, std::string const& name);

/// Limits of a client.
struct http_client_limits
{
    /// Connections that are open at the same time; further calls wait in a queue.
    std::size_t max_connections = 4;
    /// Calls that wait for a connection; further calls fail with `not_sent`.
    std::size_t max_queued = 256;
    /// Bytes of an answer's body. A value of 1 MB grows when it is escaped as JSON.
    std::size_t max_answer_bytes = 8'000'000;
    /// Silence after which the system probes a connection, and after which it gives one up that
    /// does not answer; zero leaves both to the system. Whole seconds.
    std::chrono::seconds probe_after{0};
    /// Longest time for a new connection; zero leaves it to the call's deadline. A full listener
    /// drops the opening packet, which the system repeats only after a second or more.
    base::duration connect_limit{};
};

/// Counts of a client's connections.
struct http_connection_counts
{
    std::uint64_t opened = 0;
    /// Connections that were closed because a call on them passed its deadline.
    std::uint64_t silent = 0;
    /// Connections that failed in another way during a call.
    std::uint64_t failed = 0;
};

/// Asynchronous HTTP/1.1 client of one server with a bounded pool of kept-alive connections.
///
/// A call that passes its deadline closes its connection, so that a connection that went silent is
/// not used again. The client never repeats a request.
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

    /// Returns the counts so far.
    http_connection_counts const& counts() const noexcept;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::metadata

#endif
