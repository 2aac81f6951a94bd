#ifndef FUCHSIAPROXY_UPSTREAMS_CONNECTION_POOL_HPP
#define FUCHSIAPROXY_UPSTREAMS_CONNECTION_POOL_HPP

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "connection.hpp"
#include "fuchsiaproxy/base/timer_service.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "fuchsiaproxy/upstreams/client.hpp"

namespace fuchsiaproxy::upstreams
{

/// The connections to one upstream. The most recently used idle connection is used first, so
/// surplus ones reach their idle limit.
class connection_pool
{
public:
    connection_pool(boost::asio::io_context& io, base::timer_service& timers,
                    client_settings const& settings, client_counters& counters,
                    model::endpoint const& at);
    ~connection_pool();

    connection_pool(connection_pool const&) = delete;
    connection_pool& operator=(connection_pool const&) = delete;

    /// Returns an idle connection that has been idle for at most `max_idle` and has received
    /// nothing meanwhile, or null.
    std::shared_ptr<connection> take_idle(base::duration max_idle);

    /// Returns a connection that has still to be connected, or null when `max_connections` are in
    /// use. Closes the longest idle connection if the limit requires it.
    std::shared_ptr<connection> open();

    /// Returns the address, or nothing if it is not an IP address.
    std::optional<boost::asio::ip::tcp::endpoint> const& address() const;

    /// Takes back a connection whose last answer was complete.
    void give_back(std::shared_ptr<connection> it);

    /// Closes a connection that was in use.
    void discard(connection& it);

    /// Closes every idle connection and returns their number.
    std::size_t close_idle();

    /// Closes the connections that have been idle for too long.
    void sweep(base::time_point now);

    std::size_t size() const;
    std::size_t idle() const;

private:
    class idle_handler;
    struct idle_entry
    {
        std::shared_ptr<connection> link;
        std::unique_ptr<idle_handler> handler;
    };

    void close_stale(connection const* it);
    std::shared_ptr<connection> pop();
    bool may_be_closing(connection const& it) const;

    boost::asio::io_context& io_;
    base::timer_service& timers_;
    client_settings const& settings_;
    client_counters& counters_;
    std::optional<boost::asio::ip::tcp::endpoint> address_;
    std::vector<idle_entry> idle_;
    std::size_t in_use_ = 0;
};

} // namespace fuchsiaproxy::upstreams

#endif
