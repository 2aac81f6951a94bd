#include "fuchsiaproxy/standin/tcp_relay.hpp"

#include <array>
#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include "fuchsiaproxy/standin/http_server.hpp"

namespace fuchsiaproxy::standin
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Read buffer and state of one direction of a connection.
struct relay_direction
{
    std::array<char, 65536> buffer{};
    bool blackholed = false;
};

class relay_connection : public std::enable_shared_from_this<relay_connection>
{
public:
    relay_connection(tcp::socket client, std::shared_ptr<std::uint64_t> discarded)
        : client_(std::move(client)), server_(client_.get_executor()),
          discarded_(std::move(discarded))
    {
    }

    void start(tcp::endpoint const& server)
    {
        server_.async_connect(
            server,
            [self = shared_from_this()](error_code ec)
            {
                if (ec)
                {
                    self->close();
                    return;
                }
                error_code ignored;
                self->client_.set_option(tcp::no_delay(true), ignored);
                self->server_.set_option(tcp::no_delay(true), ignored);
                self->read_and_forward(self->client_, self->server_, self->to_server_);
                self->read_and_forward(self->server_, self->client_, self->to_client_);
            });
    }

    void blackhole(blackhole_directions directions)
    {
        to_server_.blackholed = to_server_.blackholed || directions.to_server;
        to_client_.blackholed = to_client_.blackholed || directions.to_client;
    }

    void close()
    {
        error_code ignored;
        client_.close(ignored);
        server_.close(ignored);
    }

    bool is_open() const
    {
        return client_.is_open();
    }

private:
    void read_and_forward(tcp::socket& from, tcp::socket& to, relay_direction& direction)
    {
        from.async_read_some(
            asio::buffer(direction.buffer),
            [self = shared_from_this(), &from, &to, &direction](error_code ec, std::size_t n)
            {
                if (direction.blackholed)
                {
                    *self->discarded_ += n;
                    if (!ec)
                    {
                        self->read_and_forward(from, to, direction);
                    }
                    return;
                }
                if (ec)
                {
                    self->close();
                    return;
                }
                self->forward(from, to, direction, n);
            });
    }

    void forward(tcp::socket& from, tcp::socket& to, relay_direction& direction, std::size_t n)
    {
        asio::async_write(
            to, asio::buffer(direction.buffer.data(), n),
            [self = shared_from_this(), &from, &to, &direction](error_code ec, std::size_t)
            {
                if (ec)
                {
                    self->close();
                    return;
                }
                self->read_and_forward(from, to, direction);
            });
    }

    tcp::socket client_;
    tcp::socket server_;
    std::shared_ptr<std::uint64_t> discarded_;
    relay_direction to_server_;
    relay_direction to_client_;
};

} // namespace

class tcp_relay::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& io, metadata::http_endpoint const& at,
         metadata::http_endpoint const& server)
        : acceptor_(io, tcp::endpoint(asio::ip::make_address(at.address), at.port)),
          server_(asio::ip::make_address(server.address), server.port)
    {
    }

    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](error_code ec, tcp::socket socket)
            {
                if (!self->acceptor_.is_open())
                {
                    return;
                }
                if (!ec)
                {
                    self->open(std::move(socket));
                }
                self->accept();
            });
    }

    void blackhole(blackhole_directions directions)
    {
        for (auto const& it : connections_)
        {
            it->blackhole(directions);
        }
    }

    void close_connections()
    {
        for (auto const& it : connections_)
        {
            it->close();
        }
        connections_.clear();
    }

    void stop()
    {
        error_code ignored;
        acceptor_.close(ignored);
        close_connections();
    }

    metadata::http_endpoint endpoint() const
    {
        auto const at = acceptor_.local_endpoint();
        return {at.address().to_string(), at.port()};
    }

    blackhole_directions new_connection_directions;
    std::uint64_t accepted = 0;
    std::shared_ptr<std::uint64_t> discarded = std::make_shared<std::uint64_t>(0);

private:
    void open(tcp::socket socket)
    {
        ++accepted;
        for (auto it = connections_.begin(); it != connections_.end();)
        {
            it = (*it)->is_open() ? std::next(it) : connections_.erase(it);
        }
        auto const it = std::make_shared<relay_connection>(std::move(socket), discarded);
        it->blackhole(new_connection_directions);
        connections_.insert(it);
        it->start(server_);
    }

    tcp::acceptor acceptor_;
    tcp::endpoint server_;
    std::set<std::shared_ptr<relay_connection>> connections_;
};

tcp_relay::tcp_relay(asio::io_context& io, metadata::http_endpoint const& at,
                     metadata::http_endpoint const& server)
    : impl_(std::make_shared<impl>(io, at, server))
{
    impl_->accept();
}

tcp_relay::~tcp_relay()
{
    impl_->stop();
}

metadata::http_endpoint tcp_relay::endpoint() const
{
    return impl_->endpoint();
}

void tcp_relay::blackhole_open_connections(blackhole_directions directions)
{
    impl_->blackhole(directions);
}

void tcp_relay::blackhole_new_connections(blackhole_directions directions)
{
    impl_->new_connection_directions = directions;
}

void tcp_relay::close_connections()
{
    impl_->close_connections();
}

std::uint64_t tcp_relay::accepted() const noexcept
{
    return impl_->accepted;
}

std::uint64_t tcp_relay::discarded_bytes() const noexcept
{
    return *impl_->discarded;
}

class relay_server::impl
{
public:
    impl(asio::io_context& io, metadata::http_endpoint const& at,
         metadata::http_endpoint const& server, metadata::http_endpoint const& control_at)
        : relay_(io, at, server),
          control_(io, control_at,
                   [this](server_request const& request, exchange_ptr const& it)
                   { handle(request, *it); })
    {
    }

    metadata::http_endpoint endpoint() const
    {
        return relay_.endpoint();
    }

    metadata::http_endpoint control_endpoint() const
    {
        return control_.endpoint();
    }

private:
    void handle(server_request const& request, server_exchange& exchange)
    {
        using nlohmann::json;
        if (request.path == "/control/counters")
        {
            auto const counters = json{{"accepted", relay_.accepted()},
                                       {"swallowed_bytes", relay_.discarded_bytes()}};
            exchange.answer(200, counters.dump());
            return;
        }
        if (request.path == "/control/close")
        {
            relay_.close_connections();
            exchange.answer(200, "{}");
            return;
        }
        auto const body = json::parse(request.body, nullptr, false);
        bool const open = request.path == "/control/silence_open";
        if (!body.is_object() || (!open && request.path != "/control/silence_new"))
        {
            exchange.answer(400, R"({"error":"no such control, or no JSON object"})");
            return;
        }
        blackhole_directions const directions{body.value("to_server", false),
                                              body.value("to_client", false)};
        if (open)
        {
            relay_.blackhole_open_connections(directions);
        }
        else
        {
            relay_.blackhole_new_connections(directions);
        }
        exchange.answer(200, "{}");
    }

    tcp_relay relay_;
    http_server control_;
};

relay_server::relay_server(asio::io_context& io, metadata::http_endpoint const& at,
                           metadata::http_endpoint const& server,
                           metadata::http_endpoint const& control_at)
    : impl_(std::make_unique<impl>(io, at, server, control_at))
{
}

relay_server::~relay_server() = default;

metadata::http_endpoint relay_server::endpoint() const
{
    return impl_->endpoint();
}

metadata::http_endpoint relay_server::control_endpoint() const
{
    return impl_->control_endpoint();
}

} // namespace fuchsiaproxy::standin
