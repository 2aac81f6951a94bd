#include "fuchsiaproxy/gossip/load_exchange.hpp"

#include <array>
#include <utility>

#include <boost/asio/ip/udp.hpp>

namespace fuchsiaproxy::gossip
{
namespace
{

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

// Largest accepted datagram. The system truncates larger ones, which then fail to parse.
constexpr std::size_t largest_datagram = 16UL * 1024;

} // namespace

class load_exchange::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& io, model::endpoint at, handler received)
        : socket_(io), at_(std::move(at)), received_(std::move(received))
    {
    }

    base::result<std::uint16_t> open()
    {
        error_code ec;
        auto const address = asio::ip::make_address(at_.address, ec);
        if (!ec)
        {
            socket_.open(address.is_v4() ? udp::v4() : udp::v6(), ec);
        }
        if (!ec)
        {
            socket_.bind(udp::endpoint(address, at_.port), ec);
        }
        if (!ec)
        {
            socket_.non_blocking(true, ec);
        }
        if (ec)
        {
            return base::make_error(base::error_kind::invalid_settings,
                                    "cannot receive load messages on " + at_.address + ": " +
                                        ec.message());
        }
        wait_readable();
        return socket_.local_endpoint().port();
    }

    void close()
    {
        closed_ = true;
        error_code ec;
        socket_.close(ec);
    }

    void send(steering::peer_load const& it, std::vector<model::endpoint> const& to)
    {
        auto const bytes = to_cbor(it);
        for (auto const& peer : to)
        {
            error_code ec;
            auto const address = asio::ip::make_address(peer.address, ec);
            if (!ec)
            {
                socket_.send_to(asio::buffer(bytes), udp::endpoint(address, peer.port), 0, ec);
            }
            ++(ec ? counters_.unsent : counters_.sent);
        }
    }

    exchange_counters const& counters() const
    {
        return counters_;
    }

private:
    void wait_readable()
    {
        socket_.async_wait(udp::socket::wait_read,
                           [weak = weak_from_this()](error_code ec)
                           {
                               auto const self = weak.lock();
                               if (self && !self->closed_ && !ec)
                               {
                                   self->receive_all();
                               }
                           });
    }

    void receive_all()
    {
        error_code ec;
        while (!ec)
        {
            udp::endpoint from;
            auto const n = socket_.receive_from(asio::buffer(buffer_), from, 0, ec);
            if (!ec)
            {
                handle_datagram({buffer_.data(), n});
            }
        }
        wait_readable();
    }

    void handle_datagram(std::string_view bytes)
    {
        auto const read = parse_load(bytes);
        ++(read ? counters_.received : counters_.unreadable);
        if (read)
        {
            received_(read.value());
        }
    }

    udp::socket socket_;
    model::endpoint at_;
    handler received_;
    std::array<char, largest_datagram> buffer_{};
    exchange_counters counters_;
    bool closed_ = false;
};

load_exchange::load_exchange(asio::io_context& io, model::endpoint const& at, handler received)
    : impl_(std::make_shared<impl>(io, at, std::move(received)))
{
}

load_exchange::~load_exchange()
{
    impl_->close();
}

base::result<std::uint16_t> load_exchange::open()
{
    return impl_->open();
}

void load_exchange::send(steering::peer_load const& it, std::vector<model::endpoint> const& to)
{
    impl_->send(it, to);
}

exchange_counters const& load_exchange::counters() const
{
    return impl_->counters();
}

} // namespace fuchsiaproxy::gossip
