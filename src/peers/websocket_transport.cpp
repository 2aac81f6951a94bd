#include "websocket_transport.hpp"

#include <stdexcept>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace fuchsiaproxy::peers
{
namespace
{

namespace asio = boost::asio;
namespace frame = websocketpp::frame;
using asio::ip::tcp;
using boost::system::error_code;
using server_type = websocketpp::server<websocketpp::config::asio>;
using client_type = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

constexpr char resource[] = "/peer";

tcp::endpoint parse_address(std::string const& text, error_code& ec)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size() || text.size() - colon > 6 ||
        text.find_first_not_of("0123456789", colon + 1) != std::string::npos)
    {
        ec = asio::error::invalid_argument;
        return {};
    }
    auto const port = std::stoul(text.substr(colon + 1));
    auto const address = asio::ip::make_address(text.substr(0, colon), ec);
    if (port > 65535)
    {
        ec = asio::error::invalid_argument;
    }
    return {address, static_cast<unsigned short>(port)};
}

std::string to_text(tcp::endpoint const& at)
{
    return at.address().to_string() + ":" + std::to_string(at.port());
}

/// Adapts a websocketpp connection. `Endpoint` is websocketpp's server or client type.
template <class Endpoint>
class connection_adapter final : public websocket_connection,
                                 public std::enable_shared_from_this<connection_adapter<Endpoint>>
{
public:
    using connection_ptr = typename Endpoint::connection_ptr;
    using message_ptr = typename Endpoint::message_ptr;

    explicit connection_adapter(connection_ptr conn) : conn_(std::move(conn)) {}

    ~connection_adapter() override
    {
        close_socket();
    }

    /// Installs the handlers in websocketpp. They hold a weak reference to this object, so that no
    /// handler is called once its owner has released it. They hold a strong reference to
    /// `endpoint_owner`, because a connection uses its endpoint until its last operation completes.
    void attach(std::shared_ptr<void> const& endpoint_owner)
    {
        std::weak_ptr<connection_adapter> const weak = this->shared_from_this();
        auto const with_self = [weak](auto call)
        {
            auto const self = weak.lock();
            if (self && !self->closed_)
            {
                call(*self);
            }
        };
        conn_->set_open_handler([with_self](connection_hdl const&)
                                { with_self([](auto& self) { self.handlers_.on_open(); }); });
        conn_->set_message_handler([with_self](connection_hdl const&, message_ptr const& it)
                                   { with_self([&it](auto& self) { self.receive(*it); }); });
        auto const control = [with_self](connection_hdl const&, std::string const&)
        { with_self([](auto& self) { self.handlers_.on_control(); }); };
        conn_->set_pong_handler(control);
        conn_->set_ping_handler(
            [control](connection_hdl const& handle, std::string const& payload)
            {
                control(handle, payload);
                return true;
            });
        auto const closed = [with_self, endpoint_owner](connection_hdl const&)
        { with_self([](auto& self) { self.finish(); }); };
        conn_->set_close_handler(closed);
        conn_->set_fail_handler(closed);
    }

    void set_handlers(websocket_handlers handlers) override
    {
        handlers_ = std::move(handlers);
    }

    bool send_text(std::string const& text) override
    {
        return !closed_ && !conn_->send(text, frame::opcode::text);
    }

    bool send_binary(std::string const& bytes) override
    {
        return !closed_ && !conn_->send(bytes, frame::opcode::binary);
    }

    bool ping() override
    {
        websocketpp::lib::error_code ec;
        if (!closed_)
        {
            conn_->ping("", ec);
        }
        return !closed_ && !ec;
    }

    std::size_t queued_bytes() const override
    {
        return conn_->get_buffered_amount();
    }

    void limit_messages(std::size_t bytes) override
    {
        conn_->set_max_message_size(bytes);
    }

    void close(std::string const& reason) override
    {
        if (closed_)
        {
            return;
        }
        websocketpp::lib::error_code ec;
        conn_->close(websocketpp::close::status::going_away, reason, ec);
        if (ec)
        {
            drop();
        }
    }

    void drop() override
    {
        closed_ = true;
        close_socket();
    }

private:
    void close_socket()
    {
        error_code ignored;
        conn_->get_raw_socket().close(ignored);
    }

    void receive(typename message_ptr::element_type const& it)
    {
        if (it.get_opcode() == frame::opcode::binary)
        {
            handlers_.on_binary(it.get_payload());
        }
        else
        {
            handlers_.on_text(it.get_payload());
        }
    }

    void finish()
    {
        closed_ = true;
        // The handler may replace or destroy `handlers_`, so call a copy.
        auto const call = handlers_.on_closed;
        call(conn_->get_ec().message());
    }

    connection_ptr conn_;
    websocket_handlers handlers_;
    bool closed_ = false;
};

template <class Endpoint>
void prepare(Endpoint& it, asio::io_context& io, std::size_t max_message_bytes)
{
    it.clear_access_channels(websocketpp::log::alevel::all);
    it.clear_error_channels(websocketpp::log::elevel::all);
    websocketpp::lib::error_code ec;
    it.init_asio(&io, ec);
    if (ec)
    {
        throw std::runtime_error("websocketpp: " + ec.message());
    }
    it.set_max_message_size(max_message_bytes);
    // Disabled because the owner of the connection detects missing pongs.
    it.set_pong_timeout(0);
    it.set_tcp_post_init_handler(
        [&it](connection_hdl const& handle)
        {
            websocketpp::lib::error_code unknown;
            auto const conn = it.get_con_from_hdl(handle, unknown);
            if (!unknown)
            {
                error_code ignored;
                conn->get_raw_socket().set_option(tcp::no_delay(true), ignored);
            }
        });
}

} // namespace

class websocket_transport::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& io, std::size_t max_message_bytes, accept_handler on_accept)
        : on_accept_(std::move(on_accept))
    {
        prepare(server_, io, max_message_bytes);
        prepare(client_, io, max_message_bytes);
        server_.set_reuse_addr(true);
    }

    /// Starts to listen. Each connection copies the open handler, whose reference keeps this object
    /// alive while an accept or another operation on the connection is in progress.
    void start(std::string const& listen_address)
    {
        server_.set_open_handler([self = shared_from_this()](connection_hdl const& handle)
                                 { self->accept(handle); });
        try
        {
            listen(listen_address);
        }
        catch (...)
        {
            stop();
            throw;
        }
    }

    std::string const& address() const
    {
        return address_;
    }

    websocket_ptr connect(std::string const& address)
    {
        error_code parse_error;
        parse_address(address, parse_error);
        if (parse_error)
        {
            return nullptr;
        }
        websocketpp::lib::error_code ec;
        auto const conn = client_.get_connection("ws://" + address + resource, ec);
        if (ec)
        {
            return nullptr;
        }
        auto const out = std::make_shared<connection_adapter<client_type>>(conn);
        out->attach(shared_from_this());
        client_.connect(conn);
        return out;
    }

    void stop()
    {
        on_accept_ = nullptr;
        stop_listening();
        server_.set_open_handler(nullptr);
    }

    void stop_listening()
    {
        websocketpp::lib::error_code ignored;
        if (server_.is_listening())
        {
            server_.stop_listening(ignored);
        }
    }

private:
    void listen(std::string const& listen_address)
    {
        auto const fail = [&listen_address](std::string const& why)
        { throw std::runtime_error("cannot listen at \"" + listen_address + "\": " + why); };
        error_code ec;
        auto const at = parse_address(listen_address, ec);
        if (ec)
        {
            fail(ec.message());
        }
        websocketpp::lib::error_code listen_error;
        server_.listen(at, listen_error);
        if (listen_error)
        {
            fail(listen_error.message());
        }
        server_.start_accept(listen_error);
        if (listen_error)
        {
            fail(listen_error.message());
        }
        address_ = to_text(server_.get_local_endpoint(ec));
    }

    void accept(connection_hdl const& handle)
    {
        websocketpp::lib::error_code ec;
        auto const conn = server_.get_con_from_hdl(handle, ec);
        if (ec)
        {
            return;
        }
        auto const it = std::make_shared<connection_adapter<server_type>>(conn);
        it->attach(shared_from_this());
        if (on_accept_)
        {
            on_accept_(it);
        }
    }

    accept_handler on_accept_;
    server_type server_;
    client_type client_;
    std::string address_;
};

websocket_transport::websocket_transport(asio::io_context& io, std::string const& listen_address,
                                         std::size_t max_message_bytes, accept_handler on_accept)
    : impl_(std::make_shared<impl>(io, max_message_bytes, std::move(on_accept)))
{
    impl_->start(listen_address);
}

websocket_transport::~websocket_transport()
{
    impl_->stop();
}

std::string websocket_transport::address() const
{
    return impl_->address();
}

websocket_ptr websocket_transport::connect(std::string const& address)
{
    return impl_->connect(address);
}

void websocket_transport::stop_listening()
{
    impl_->stop_listening();
}

} // namespace fuchsiaproxy::peers
