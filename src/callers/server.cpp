#include "fuchsiaproxy/callers/server.hpp"

#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include "connection.hpp"

namespace fuchsiaproxy::callers
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Period of the check of the connections' time limits. A limit is enforced late by up to this time.
constexpr auto sweep_period = std::chrono::milliseconds(100);

// Delay after a failed accept. Without it an accept that fails for lack of file descriptors would
// fail again at once.
constexpr auto accept_retry_delay = std::chrono::milliseconds(100);

constexpr int backlog = 1024;

} // namespace

class server::impl : public std::enable_shared_from_this<server::impl>
{
public:
    impl(asio::io_context& io, base::timer_service& timers, http::buffer_pool& buffers,
         request_handler& handler, server_settings settings)
        : core_(std::make_shared<server_core>(
              server_core{io, timers, buffers, handler, std::move(settings)})),
          acceptor_(io)
    {
        core_->activity_ended = [this]() { check_drained(); };
        core_->closed = [this](connection& it) { remove(it); };
    }

    base::result<std::uint16_t> listen()
    {
        error_code ec;
        auto const address = asio::ip::make_address(core_->settings.at.address, ec);
        auto const at = tcp::endpoint(address, core_->settings.at.port);
        auto const step = [&](auto action)
        {
            if (!ec)
            {
                action();
            }
        };
        step([&]() { acceptor_.open(at.protocol(), ec); });
        step([&]() { acceptor_.set_option(tcp::acceptor::reuse_address(true), ec); });
        step([&]() { acceptor_.bind(at, ec); });
        step([&]() { acceptor_.listen(backlog, ec); });
        step([&]() { acceptor_.non_blocking(true, ec); });
        if (ec)
        {
            return base::make_error(base::error_kind::invalid_settings,
                                    "cannot listen on " + core_->settings.at.address + ": " +
                                        ec.message());
        }
        sweep_ = core_->timers.every(sweep_period, [this](base::time_point now) { sweep(now); });
        accept();
        return acceptor_.local_endpoint().port();
    }

    void set_limits(caller_limits const& limits)
    {
        core_->settings.header_limit = limits.header_limit;
        core_->settings.keep_alive_limit = limits.keep_alive_limit;
        core_->settings.max_body_bytes = limits.max_body_bytes;
    }

    void disable_keep_alive()
    {
        core_->draining = true;
    }

    void drain(std::function<void()> done)
    {
        core_->draining = true;
        drained_ = std::move(done);
        accept_backlog();
        error_code ec;
        acceptor_.close(ec);
        accept_retry_.reset();
        for (auto const& it : open_connections())
        {
            it->drain();
        }
        check_drained();
    }

    void close()
    {
        core_->closing = true;
        sweep_.reset();
        accept_retry_.reset();
        core_->activity_ended = []() {};
        core_->closed = [](connection&) {};
        error_code ec;
        acceptor_.close(ec);
        for (auto const& it : open_connections())
        {
            it->close();
        }
        connections_.clear();
    }

    server_core const& core() const
    {
        return *core_;
    }

    std::size_t connections() const
    {
        return connections_.size();
    }

private:
    std::vector<std::shared_ptr<connection>> open_connections() const
    {
        std::vector<std::shared_ptr<connection>> out;
        out.reserve(connections_.size());
        for (auto const& it : connections_)
        {
            out.push_back(it.second);
        }
        return out;
    }

    void accept()
    {
        acceptor_.async_accept(
            [weak = weak_from_this()](error_code ec, tcp::socket socket)
            {
                auto const self = weak.lock();
                if (self && self->acceptor_.is_open())
                {
                    self->on_accepted(ec, std::move(socket));
                }
            });
    }

    void on_accepted(error_code ec, tcp::socket socket)
    {
        if (!ec)
        {
            add_connection(std::move(socket));
            accept();
            return;
        }
        ++core_->counters.refused_connections;
        accept_retry_ = core_->timers.at(core_->timers.now() + accept_retry_delay,
                                         [this](base::time_point) { accept(); });
    }

    /// Accepts the connections in the kernel's backlog, which closing the listener would reset.
    void accept_backlog()
    {
        error_code ec;
        while (!ec)
        {
            tcp::socket socket(core_->io);
            acceptor_.accept(socket, ec);
            if (!ec)
            {
                add_connection(std::move(socket));
            }
        }
    }

    void add_connection(tcp::socket socket)
    {
        error_code ec;
        auto const peer = socket.remote_endpoint(ec);
        auto address = ec ? std::string() : peer.address().to_string();
        auto& count = per_address_[address];
        if (ec || connections_.size() >= core_->settings.max_connections ||
            count >= core_->settings.max_connections_per_address)
        {
            ++core_->counters.refused_connections;
            if (count == 0)
            {
                per_address_.erase(address);
            }
            return;
        }
        ++count;
        ++core_->counters.accepted;
        auto it = std::make_shared<connection>(core_, std::move(socket), std::move(address));
        connections_.emplace(it.get(), it);
        it->start();
    }

    void remove(connection& it)
    {
        auto const count = per_address_.find(it.address());
        if (count != per_address_.end() && --count->second == 0)
        {
            per_address_.erase(count);
        }
        connections_.erase(&it);
    }

    void sweep(base::time_point now)
    {
        for (auto const& it : open_connections())
        {
            it->check_limits(now);
        }
    }

    void check_drained()
    {
        if (!drained_ || core_->active > 0)
        {
            return;
        }
        asio::post(core_->io, std::exchange(drained_, nullptr));
    }

    std::shared_ptr<server_core> core_;
    tcp::acceptor acceptor_;
    std::unordered_map<connection*, std::shared_ptr<connection>> connections_;
    std::unordered_map<std::string, std::size_t> per_address_;
    std::unique_ptr<base::timer_subscription> sweep_;
    std::unique_ptr<base::timer_subscription> accept_retry_;
    std::function<void()> drained_;
};

server::server(asio::io_context& io, base::timer_service& timers, http::buffer_pool& buffers,
               request_handler& handler, server_settings settings)
    : impl_(std::make_shared<impl>(io, timers, buffers, handler, std::move(settings)))
{
}

server::~server()
{
    impl_->close();
}

base::result<std::uint16_t> server::listen()
{
    return impl_->listen();
}

void server::set_limits(caller_limits const& limits)
{
    impl_->set_limits(limits);
}

void server::disable_keep_alive()
{
    impl_->disable_keep_alive();
}

void server::drain(std::function<void()> done)
{
    impl_->drain(std::move(done));
}

std::size_t server::exchanges() const
{
    return impl_->core().exchanges;
}

std::size_t server::reserved() const
{
    return impl_->core().reserved;
}

std::size_t server::connections() const
{
    return impl_->connections();
}

server_counters const& server::counters() const
{
    return impl_->core().counters;
}

} // namespace fuchsiaproxy::callers
