#ifndef FUCHSIAPROXY_PEERS_WEBSOCKET_TRANSPORT_HPP
#define FUCHSIAPROXY_PEERS_WEBSOCKET_TRANSPORT_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace fuchsiaproxy::peers
{

/// Event handlers of a connection.
struct websocket_handlers
{
    std::function<void()> on_open;
    std::function<void(std::string const&)> on_text;
    std::function<void(std::string const&)> on_binary;
    /// A ping or pong arrived.
    std::function<void()> on_control;
    /// The connection failed or was closed; called at most once.
    std::function<void(std::string const& reason)> on_closed;
};

/// A WebSocket connection. It calls no handler after `drop` or after its destruction.
class websocket_connection
{
public:
    virtual ~websocket_connection() = default;

    /// Sets the handlers. `on_open` is not called for accepted connections, which are already open.
    virtual void set_handlers(websocket_handlers handlers) = 0;

    /// Each queues a frame, and returns false if the connection does not accept it.
    virtual bool send_text(std::string const& text) = 0;
    virtual bool send_binary(std::string const& bytes) = 0;
    virtual bool ping() = 0;

    /// Returns the number of bytes not yet written to the socket.
    virtual std::size_t queued_bytes() const = 0;

    /// Sets the maximum size of received messages; a larger one closes the connection.
    virtual void limit_messages(std::size_t bytes) = 0;

    /// Closes the connection once the queued frames are sent.
    virtual void close(std::string const& reason) = 0;

    /// Closes the socket immediately.
    virtual void drop() = 0;
};

using websocket_ptr = std::shared_ptr<websocket_connection>;

/// WebSocket server and client on one `io_context`. Thread safety: one thread.
class websocket_transport
{
public:
    using accept_handler = std::function<void(websocket_ptr)>;

    /// Listens at "ip:port". Throws `std::runtime_error` when the address cannot be bound.
    websocket_transport(boost::asio::io_context& io, std::string const& listen_address,
                        std::size_t max_message_bytes, accept_handler on_accept);
    ~websocket_transport();
    websocket_transport(websocket_transport const&) = delete;
    websocket_transport& operator=(websocket_transport const&) = delete;

    /// Returns the listen address, "ip:port".
    std::string address() const;

    /// Starts to connect to "ip:port", or returns null if the address is invalid. The handlers must
    /// be set before the `io_context` runs again.
    websocket_ptr connect(std::string const& address);

    /// Stops listening; open connections are kept.
    void stop_listening();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::peers

#endif
