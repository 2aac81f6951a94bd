#ifndef FUCHSIAPROXY_UPSTREAMS_CONNECTION_HPP
#define FUCHSIAPROXY_UPSTREAMS_CONNECTION_HPP

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/http/fields.hpp"

namespace fuchsiaproxy::upstreams
{

/// The part that a connection's events concern: an attempt, or the pool while it is idle.
class connection_user
{
public:
    virtual ~connection_user() = default;
    virtual void on_connected(boost::system::error_code ec) = 0;
    virtual void on_readable() = 0;
    virtual void on_writable() = 0;
};

/// One connection to an upstream. The socket is non-blocking, and at most one wait for each
/// direction is outstanding. A wait survives the change of user: the wait of an idle connection
/// becomes the wait for the answer.
class connection final : public std::enable_shared_from_this<connection>
{
public:
    explicit connection(boost::asio::io_context& io);

    /// Sets the receiver of the events; null drops them.
    void set_user(connection_user* user);
    void connect(boost::asio::ip::tcp::endpoint const& at);
    void arm_read();
    void arm_write();
    void close();
    /// Returns whether the connection is open and has received nothing, not even its end.
    bool is_quiet();

    boost::asio::ip::tcp::socket& socket();

    /// Takes over the idle limit that an answer states in `Keep-Alive`, if any.
    void limit_idle_time(http::fields const& answer);

    /// Time of the last return to the pool.
    base::time_point idle_since{};
    /// Idle time after which the upstream may close the connection.
    base::duration stated_idle_limit = base::duration::max();
    /// Whether an earlier request has used the connection.
    bool pooled = false;

private:
    boost::asio::ip::tcp::socket socket_;
    connection_user* user_ = nullptr;
    bool read_armed_ = false;
    bool write_armed_ = false;
};

} // namespace fuchsiaproxy::upstreams

#endif
