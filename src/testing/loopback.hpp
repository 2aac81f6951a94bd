#ifndef FUCHSIAPROXY_TESTING_LOOPBACK_HPP
#define FUCHSIAPROXY_TESTING_LOOPBACK_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::testing
{

/// Raw TCP connection for tests, which gives access to the exact bytes that were received.
class raw_peer
{
public:
    using tcp = boost::asio::ip::tcp;

    explicit raw_peer(tcp::socket socket) : state_(std::make_shared<state>(std::move(socket)))
    {
        read(state_);
    }

    raw_peer(boost::asio::io_context& io, std::uint16_t port) : raw_peer(connected(io, port)) {}

    ~raw_peer()
    {
        close();
    }
    raw_peer(raw_peer&&) = default;
    raw_peer& operator=(raw_peer&&) = default;

    void send(std::string text)
    {
        auto const owned_text = std::make_shared<std::string>(std::move(text));
        boost::asio::async_write(
            state_->socket, boost::asio::buffer(*owned_text),
            [owned_text, it = state_](boost::system::error_code ec, std::size_t n)
            {
                it->sent += n;
                it->send_failed = it->send_failed || ec;
            });
    }

    std::string const& text() const
    {
        return state_->text;
    }
    bool has(std::string const& part) const
    {
        return text().find(part) != std::string::npos;
    }
    /// Whether the peer has closed the connection or reading failed.
    bool ended() const
    {
        return state_->ended;
    }
    /// Whether the peer has closed the connection with a TCP reset.
    bool was_reset() const
    {
        return state_->reset;
    }
    std::size_t sent() const
    {
        return state_->sent;
    }
    void clear()
    {
        state_->text.clear();
    }
    /// Pauses or resumes reading, so that the peer's writes can block.
    void pause(bool paused)
    {
        state_->paused = paused;
        if (!paused)
        {
            read(state_);
        }
    }
    void half_close()
    {
        boost::system::error_code ec;
        state_->socket.shutdown(tcp::socket::shutdown_send, ec);
    }
    /// Closes the connection with a TCP reset.
    void reset()
    {
        boost::system::error_code ec;
        state_->socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
        close();
    }
    void close()
    {
        if (state_)
        {
            boost::system::error_code ec;
            state_->socket.close(ec);
        }
    }

private:
    struct state
    {
        explicit state(tcp::socket it) : socket(std::move(it)) {}
        tcp::socket socket;
        std::string text;
        std::array<char, 16384> buffer{};
        std::size_t sent = 0;
        bool ended = false;
        bool reset = false;
        bool send_failed = false;
        bool paused = false;
        bool reading = false;
    };

    static tcp::socket connected(boost::asio::io_context& io, std::uint16_t port)
    {
        tcp::socket out(io);
        out.connect({boost::asio::ip::address_v4::loopback(), port});
        out.set_option(tcp::no_delay(true));
        return out;
    }

    static void read(std::shared_ptr<state> const& it)
    {
        if (std::exchange(it->reading, true))
        {
            return;
        }
        it->socket.async_read_some(boost::asio::buffer(it->buffer),
                                   [it](boost::system::error_code ec, std::size_t n)
                                   {
                                       it->reading = false;
                                       it->text.append(it->buffer.data(), n);
                                       it->ended = it->ended || ec;
                                       it->reset =
                                           it->reset || ec == boost::asio::error::connection_reset;
                                       if (!ec && !it->paused)
                                       {
                                           read(it);
                                       }
                                   });
    }

    std::shared_ptr<state> state_;
};

/// Listening socket for tests that write an upstream's answers byte by byte.
class raw_listener
{
public:
    explicit raw_listener(boost::asio::io_context& io)
        : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
          port_(acceptor_.local_endpoint().port())
    {
        accept();
    }

    std::uint16_t port() const
    {
        return port_;
    }
    model::endpoint at() const
    {
        return model::endpoint{"127.0.0.1", port()};
    }
    void close()
    {
        acceptor_.close();
    }

    /// Accepted connections, in order.
    std::vector<std::unique_ptr<raw_peer>> peers;

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code ec, raw_peer::tcp::socket socket)
            {
                if (!ec)
                {
                    socket.set_option(raw_peer::tcp::no_delay(true), ec);
                    peers.push_back(std::make_unique<raw_peer>(std::move(socket)));
                    accept();
                }
            });
    }

    raw_peer::tcp::acceptor acceptor_;
    std::uint16_t port_;
};

/// Runs `io` until `condition` is true. Returns false after 20 seconds, a limit that only keeps a
/// failing test from hanging.
template <class Condition>
bool run_until(boost::asio::io_context& io, Condition condition)
{
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return false;
        }
        io.restart();
        io.run_one_for(std::chrono::milliseconds(5));
    }
    return true;
}

/// Runs ready handlers repeatedly, so that data sent over the loopback device is received.
inline void run_ready(boost::asio::io_context& io)
{
    for (int n = 0; n < 20; ++n)
    {
        io.restart();
        io.poll();
    }
}

} // namespace fuchsiaproxy::testing

#endif
