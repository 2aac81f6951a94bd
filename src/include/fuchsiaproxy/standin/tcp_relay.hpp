#ifndef FUCHSIAPROXY_STANDIN_TCP_RELAY_HPP
#define FUCHSIAPROXY_STANDIN_TCP_RELAY_HPP

#include <cstddef>
#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/metadata/http_client.hpp"

namespace fuchsiaproxy::standin
{

/// Directions of a connection in which the relay discards all bytes.
struct blackhole_directions
{
    bool to_server = false;
    bool to_client = false;
};

/// Forwards TCP connections to a server and can discard their bytes. A direction that discards
/// bytes does not forward the end of the connection either, as when a network path fails.
///
/// Thread safety: all calls on the thread that runs `io`.
class tcp_relay
{
public:
    /// Listens at `at` (port 0 selects a free port) and forwards to `server`. Throws when the
    /// address cannot be bound. Precondition: `io` outlives the relay.
    tcp_relay(boost::asio::io_context& io, metadata::http_endpoint const& at,
              metadata::http_endpoint const& server);
    /// Closes all connections.
    ~tcp_relay();
    tcp_relay(tcp_relay const&) = delete;
    tcp_relay& operator=(tcp_relay const&) = delete;

    /// Returns the address that the relay listens at.
    metadata::http_endpoint endpoint() const;

    /// Discards bytes on all connections that are open now, until they are closed. New connections
    /// are not affected.
    void blackhole_open_connections(blackhole_directions directions);

    /// Discards bytes on connections that are opened from now on. Each call replaces the directions
    /// of the previous one.
    void blackhole_new_connections(blackhole_directions directions);

    /// Closes all connections.
    void close_connections();

    /// Returns the number of connections accepted so far.
    std::uint64_t accepted() const noexcept;

    /// Returns the number of bytes discarded so far.
    std::uint64_t discarded_bytes() const noexcept;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

/// A relay with the control resources `/control/silence_open` and `/control/silence_new` (POST
/// {"to_server":bool,"to_client":bool}), `/control/close` (POST) and `/control/counters` (GET).
class relay_server
{
public:
    /// Listens at `at` for connections to `server` and at `control_at` for control requests. Throws
    /// when an address cannot be bound. Precondition: `io` outlives the server.
    relay_server(boost::asio::io_context& io, metadata::http_endpoint const& at,
                 metadata::http_endpoint const& server, metadata::http_endpoint const& control_at);
    ~relay_server();
    relay_server(relay_server const&) = delete;
    relay_server& operator=(relay_server const&) = delete;

    /// Returns the addresses that the server listens at.
    metadata::http_endpoint endpoint() const;
    metadata::http_endpoint control_endpoint() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::standin

#endif
