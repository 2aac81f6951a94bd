#include "fuchsiaproxy/operators/http_api.hpp"

#include <optional>
#include <set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "api_json.hpp"
#include "fuchsiaproxy/http/chunked_body.hpp"
#include "fuchsiaproxy/operators/api_router.hpp"

namespace fuchsiaproxy::operators
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::chrono::milliseconds accept_retry_delay{100};
constexpr std::uint32_t max_header_bytes = 16 * 1024;

std::string text_of(beast::string_view it)
{
    return {it.data(), it.size()};
}

model::wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

/// One connection; its requests are read and answered one after the other.
class session : public std::enable_shared_from_this<session>
{
public:
    session(asio::ip::tcp::socket socket, api_router& router, http_api_options const& options,
            std::function<void(session*)> on_end)
        : stream_(std::move(socket)), router_(router), options_(options), on_end_(std::move(on_end))
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(max_header_bytes);
        parser_->body_limit(options_.max_body_bytes);
        stream_.expires_after(options_.idle_limit);
        reading_ = true;
        http::async_read_header(stream_, buffer_, *parser_,
                                [self = shared_from_this()](error_code ec, std::size_t)
                                { self->on_head(ec); });
    }

    /// Closes the connection, after the answer if a request is in flight.
    void stop()
    {
        stopping_ = true;
        if (reading_)
        {
            end();
        }
    }

private:
    void on_head(error_code ec)
    {
        if (ec || !parser_->chunked())
        {
            read_body(ec);
            return;
        }
        fuchsiaproxy::http::async_read_chunked_start(stream_, buffer_,
                                                     [self = shared_from_this()](error_code failure)
                                                     { self->read_body(failure); });
    }

    void read_body(error_code earlier_error)
    {
        if (earlier_error || parser_->is_done())
        {
            on_read(earlier_error);
            return;
        }
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](error_code ec, std::size_t)
                         { self->on_read(ec); });
    }

    void on_read(error_code ec)
    {
        reading_ = false;
        if (ec == http::error::body_limit || ec == http::error::header_limit)
        {
            stopping_ = true;
            write(error_answer(base::make_error(base::error_kind::request_too_large,
                                                "expected a body of at most " +
                                                    std::to_string(options_.max_body_bytes) +
                                                    " bytes")));
            return;
        }
        if (ec)
        {
            end();
            return;
        }
        // The idle limit does not apply while the router handles the request; the calls that the
        // router makes have timeouts of their own.
        stream_.expires_never();
        auto const& request = parser_->get();
        stopping_ = stopping_ || !request.keep_alive();
        router_.handle({text_of(request.method_string()), text_of(request.target()),
                        text_of(request[http::field::authorization]), request.body()},
                       [self = shared_from_this()](api_answer it) { self->write(std::move(it)); });
    }

    void write(api_answer it)
    {
        answer_ = {};
        answer_.version(11);
        answer_.result(it.status);
        answer_.set(http::field::content_type, it.content_type);
        answer_.body() = std::move(it.body);
        answer_.keep_alive(!stopping_);
        answer_.prepare_payload();
        stream_.expires_after(options_.idle_limit);
        http::async_write(stream_, answer_,
                          [self = shared_from_this()](error_code ec, std::size_t)
                          {
                              if (ec || self->stopping_)
                              {
                                  self->end();
                                  return;
                              }
                              self->read();
                          });
    }

    void end()
    {
        error_code ignored;
        stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        stream_.close();
        if (on_end_)
        {
            std::exchange(on_end_, nullptr)(this);
        }
    }

    beast::tcp_stream stream_;
    api_router& router_;
    http_api_options const& options_;
    std::function<void(session*)> on_end_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> answer_;
    bool reading_ = false;
    bool stopping_ = false;
};

} // namespace

class http_api::server : public std::enable_shared_from_this<http_api::server>
{
public:
    server(asio::io_context& context, http_api_options options, api_dependencies dependencies)
        : options_(std::move(options)), router_(std::move(dependencies)), acceptor_(context),
          accept_timer_(context), sample_timer_(context)
    {
    }

    base::result<std::uint16_t> start()
    {
        error_code ec;
        auto const address = asio::ip::make_address(options_.address, ec);
        asio::ip::tcp::endpoint const at(address, options_.port);
        if (!ec)
        {
            acceptor_.open(at.protocol(), ec);
        }
        if (!ec)
        {
            acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
        }
        if (!ec)
        {
            acceptor_.bind(at, ec);
        }
        if (!ec)
        {
            acceptor_.listen(asio::socket_base::max_listen_connections, ec);
        }
        if (ec)
        {
            return base::make_error(base::error_kind::invalid_settings,
                                    "operators' API: cannot listen at " + options_.address + ":" +
                                        std::to_string(options_.port) + ": " + ec.message());
        }
        accept();
        schedule_sample();
        return acceptor_.local_endpoint().port();
    }

    void stop()
    {
        error_code ignored;
        acceptor_.close(ignored);
        accept_timer_.cancel();
        sample_timer_.cancel();
        auto const open = sessions_;
        for (auto const& it : open)
        {
            it->stop();
        }
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](error_code ec, asio::ip::tcp::socket socket)
            {
                if (!self->acceptor_.is_open())
                {
                    return;
                }
                if (!ec && self->sessions_.size() < self->options_.max_connections)
                {
                    self->serve(std::move(socket));
                }
                if (ec)
                {
                    self->retry_accept();
                    return;
                }
                self->accept();
            });
    }

    /// Accepts again after a delay, because accepting fails immediately while no descriptors are
    /// free.
    void retry_accept()
    {
        accept_timer_.expires_after(accept_retry_delay);
        accept_timer_.async_wait(
            [self = shared_from_this()](error_code ec)
            {
                if (!ec && self->acceptor_.is_open())
                {
                    self->accept();
                }
            });
    }

    void serve(asio::ip::tcp::socket socket)
    {
        auto const it = std::make_shared<session>(std::move(socket), router_, options_,
                                                  [weak = weak_from_this()](session* ended)
                                                  {
                                                      if (auto const self = weak.lock())
                                                      {
                                                          self->remove(ended);
                                                      }
                                                  });
        sessions_.insert(it);
        it->read();
    }

    void remove(session* ended)
    {
        for (auto it = sessions_.begin(); it != sessions_.end(); ++it)
        {
            if (it->get() == ended)
            {
                sessions_.erase(it);
                return;
            }
        }
    }

    void schedule_sample()
    {
        sample_timer_.expires_after(options_.burn_interval);
        sample_timer_.async_wait(
            [self = shared_from_this()](error_code ec)
            {
                if (!ec && self->acceptor_.is_open())
                {
                    self->router_.sample_burn();
                    self->schedule_sample();
                }
            });
    }

    http_api_options options_;
    api_router router_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    asio::steady_timer sample_timer_;
    std::set<std::shared_ptr<session>> sessions_;
};

http_api::http_api(asio::io_context& context, http_api_options options,
                   configuration_service& configurations, daemon_view& daemon,
                   std::function<std::string()> metrics)
    : server_(std::make_shared<server>(context, std::move(options),
                                       api_dependencies{configurations, daemon, std::move(metrics),
                                                        wall_now,
                                                        [&context](std::function<void()> call)
                                                        { asio::post(context, std::move(call)); }}))
{
}

http_api::~http_api()
{
    server_->stop();
}

base::result<std::uint16_t> http_api::start()
{
    return server_->start();
}

void http_api::stop()
{
    server_->stop();
}

} // namespace fuchsiaproxy::operators
