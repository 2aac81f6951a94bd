#include "connection.hpp"

#include <chrono>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

namespace fuchsiaproxy::upstreams
{

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

// Longer limits are ignored; the pool's own limit is shorter.
constexpr std::uint64_t longest_stated_limit_s = 3600;

} // namespace

connection::connection(boost::asio::io_context& io) : socket_(io) {}

void connection::set_handler(connection_handler* handler)
{
    handler_ = handler;
}

void connection::connect(tcp::endpoint const& at)
{
    error_code ec;
    socket_.open(at.protocol(), ec);
    socket_.set_option(tcp::no_delay(true), ec);
    // Any close resets the connection. Otherwise the kernel goes on to deliver the rest of a
    // request that was given up, also after the end of this process.
    socket_.set_option(tcp::socket::linger(true, 0), ec);
    socket_.async_connect(at,
                          [self = shared_from_this()](error_code failure)
                          {
                              if (self->handler_ != nullptr)
                              {
                                  error_code ignored;
                                  self->socket_.non_blocking(true, ignored);
                                  self->handler_->on_connected(failure);
                              }
                          });
}

void connection::arm_read()
{
    if (read_armed_)
    {
        return;
    }
    read_armed_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](error_code ec)
                       {
                           self->read_armed_ = false;
                           if (!ec && self->handler_ != nullptr)
                           {
                               self->handler_->on_readable();
                           }
                       });
}

void connection::arm_write()
{
    if (write_armed_)
    {
        return;
    }
    write_armed_ = true;
    socket_.async_wait(tcp::socket::wait_write,
                       [self = shared_from_this()](error_code ec)
                       {
                           self->write_armed_ = false;
                           if (!ec && self->handler_ != nullptr)
                           {
                               self->handler_->on_writable();
                           }
                       });
}

void connection::close()
{
    handler_ = nullptr;
    error_code ec;
    socket_.close(ec);
}

bool connection::read_would_block()
{
    char first = 0;
    error_code ec;
    socket_.receive(boost::asio::buffer(&first, 1), tcp::socket::message_peek, ec);
    return ec == boost::asio::error::would_block || ec == boost::asio::error::try_again;
}

void connection::apply_keep_alive_timeout(http::fields const& answer)
{
    auto const text = answer.find("Keep-Alive");
    auto const mark = text ? text->find("timeout=") : std::string_view::npos;
    if (mark == std::string_view::npos)
    {
        return;
    }
    auto const value = text->substr(mark + std::string_view("timeout=").size());
    auto const seconds =
        http::parse_decimal(value.substr(0, value.find_first_not_of("0123456789")));
    if (seconds && *seconds <= longest_stated_limit_s)
    {
        stated_idle_limit = std::chrono::seconds(*seconds);
    }
}

tcp::socket& connection::socket()
{
    return socket_;
}

} // namespace fuchsiaproxy::upstreams
