#ifndef FUCHSIAPROXY_CALLERS_SERVER_CORE_HPP
#define FUCHSIAPROXY_CALLERS_SERVER_CORE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/callers/exchange.hpp"
#include "fuchsiaproxy/callers/server.hpp"
#include "fuchsiaproxy/http/buffer_pool.hpp"

namespace fuchsiaproxy::callers
{

class connection;

/// State shared by the connections of a server.
struct server_core
{
    boost::asio::io_context& io;
    base::timer_service& timers;
    http::buffer_pool& buffers;
    request_handler& handler;
    server_settings settings;
    server_counters counters{};
    bool draining = false;
    /// The server is being destroyed, so the handler must not be called any more.
    bool closing = false;
    std::uint64_t last_request = 0;
    std::size_t exchanges = 0;
    /// Bytes reserved for answers.
    std::size_t reserved = 0;
    /// Number of connections that have a request in progress or may still receive one.
    std::size_t active = 0;
    std::function<void()> activity_ended{};
    std::function<void(connection&)> closed{};
};

} // namespace fuchsiaproxy::callers

#endif
