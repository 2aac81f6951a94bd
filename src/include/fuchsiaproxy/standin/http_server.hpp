#ifndef FUCHSIAPROXY_STANDIN_HTTP_SERVER_HPP
#define FUCHSIAPROXY_STANDIN_HTTP_SERVER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/metadata/http_client.hpp"

namespace fuchsiaproxy::standin
{

/// A received request; path and query are percent-decoded.
struct server_request
{
    std::string method;
    std::string path;
    std::vector<metadata::http_field> query;
    std::vector<metadata::http_field> fields;
    std::string body;
};

/// Returns the value of the first header field `name` (case-insensitive), or an empty string.
std::string field_of(server_request const& request, std::string const& name);

/// Returns the value of the query parameter `name`, or an empty string.
std::string query_of(server_request const& request, std::string const& name);

/// A request that has not been answered yet. If an exchange is destroyed without an answer, its
/// connection stays open and nothing is sent on it.
class server_exchange
{
public:
    virtual ~server_exchange() = default;

    /// Sends the answer. Only the first call of `answer` or `abort` has an effect.
    virtual void answer(unsigned status, std::string body,
                        std::vector<metadata::http_field> fields = {}) = 0;

    /// Closes the connection without an answer.
    virtual void abort() = 0;

    /// Registers a callback that is called once if the caller closes the connection before the
    /// answer is sent.
    virtual void on_closed(std::function<void()> call) = 0;
};

using exchange_ptr = std::shared_ptr<server_exchange>;

/// HTTP/1.1 server of the simulated services. Thread safety: all calls on the thread that runs
/// `io`.
class http_server
{
public:
    using handler = std::function<void(server_request, exchange_ptr)>;

    /// Listens at `at`; port 0 selects a free port. Throws `boost::system::system_error` when the
    /// address cannot be bound. Precondition: `io` outlives the server.
    http_server(boost::asio::io_context& io, metadata::http_endpoint const& at, handler handle);
    /// Closes all connections.
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Returns the address that the server listens at.
    metadata::http_endpoint endpoint() const;

    /// Limits the number of open connections to `n`; further ones are closed when they are
    /// accepted. 0 means no limit.
    void limit_connections(std::size_t n);

    /// Returns the number of open connections.
    std::size_t connections() const;

    /// Closes all connections; the server keeps listening.
    void close_connections();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::standin

#endif
