#ifndef FUCHSIAPROXY_UPSTREAMS_CONNECTION_HPP
#define FUCHSIAPROXY_UPSTREAMS_CONNECTION_HPP

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/http/fields.hpp"

namespace fuchsiaproxy::upstreams
{

/// Receiver of a connection's events: an attempt, or the pool while the connection is idle.
class connection_handler
{
public:
    virtual ~connection_handler() = default;
    virtual void on_connected(boost::system::error_code ec) = 0;
    virtual void on_readable() = 0;
    virtual void on_writable() = 0;
};

/// One connection to an upstream. The socket is non-blocking, and at most one wait for each
/// direction is outstanding. A pending wait continues when the handler changes, so the read wait of
/// an idle connection becomes the wait for the answer.
class connection final : public std::enable_shared_from_this<connection>
{
public:
    explicit connection(boost::asio::io_context& io);

    /// Sets the receiver of the events; with null they are ignored.
    void set_handler(connection_handler* handler);
    void connect(boost::asio::ip::tcp::endpoint const& at);
    void arm_read();
    void arm_write();
    void close();
    /// Returns whether the connection is open and has neither bytes nor an end of stream to read.
    bool read_would_block();

    boost::asio::ip::tcp::socket& socket();

    /// Applies the idle limit from the `Keep-Alive` field of `answer`, if any.
    void apply_keep_alive_timeout(http::fields const& answer);

    /// Time of the last return to the pool.
    base::time_point idle_since{};
    /// Idle time after which the upstream may close the connection.
    base::duration stated_idle_limit = base::duration::max();
    /// Whether an earlier request has used the connection.
    bool pooled = false;

private:
    boost::asio::ip::tcp::socket socket_;
    connection_handler* handler_ = nullptr;
    bool read_armed_ = false;
    bool write_armed_ = false;
};

} // namespace fuchsiaproxy::upstreams

#endif
