#ifndef FUCHSIAPROXY_OPERATORS_HTTP_API_HPP
#define FUCHSIAPROXY_OPERATORS_HTTP_API_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/operators/configuration_service.hpp"
#include "fuchsiaproxy/operators/daemon_view.hpp"

namespace boost::asio
{
class io_context;
}

namespace fuchsiaproxy::operators
{

/// Settings of the operators' HTTP server.
struct http_api_options
{
    /// IP address to listen on.
    std::string address = "127.0.0.1";
    /// Port to listen on; zero selects a free one.
    std::uint16_t port = 0;
    /// Maximum size of a request body. A bootstrap contains a whole configuration.
    std::uint64_t max_body_bytes = 16'000'000;
    /// Time after which a connection without progress is closed.
    std::chrono::milliseconds idle_limit{30'000};
    /// Maximum number of concurrent connections; further ones are closed.
    std::size_t max_connections = 64;
    /// Time between two samples of the burn counters.
    std::chrono::milliseconds burn_interval{10'000};
};

/// HTTP server of the operators' API, see `api_router` for its routes.
///
/// Thread safety: all functions on the thread that runs `context`, or before it runs.
class http_api
{
public:
    /// `metrics` returns the text of `/metrics` and is called on the thread of `context`.
    /// `context`, `configurations` and `daemon` must outlive the server, and `context` must not run
    /// handlers after the server is destroyed.
    http_api(boost::asio::io_context& context, http_api_options options,
             configuration_service& configurations, daemon_view& daemon,
             std::function<std::string()> metrics);
    ~http_api();

    http_api(http_api const&) = delete;
    http_api& operator=(http_api const&) = delete;

    /// Starts listening and returns the port. Fails with `invalid_settings` for an address that
    /// cannot be bound.
    base::result<std::uint16_t> start();

    /// Stops listening and closes idle connections; requests in flight are answered.
    void stop();

private:
    class server;

    std::shared_ptr<server> server_;
};

} // namespace fuchsiaproxy::operators

#endif
