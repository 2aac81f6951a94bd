#include "fuchsiaproxy/standin/http_server.hpp"

#include <optional>
#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

namespace fuchsiaproxy::standin
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using metadata::http_field;

constexpr std::size_t max_body_bytes = 16'000'000;

int hex_digit(char c)
{
    if (c >= '0' && c <= '9')
    {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f')
    {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F')
    {
        return c - 'A' + 10;
    }
    return -1;
}

std::string percent_decode(std::string const& text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        int const high = text[n] == '%' && n + 2 < text.size() ? hex_digit(text[n + 1]) : -1;
        int const low = high >= 0 ? hex_digit(text[n + 2]) : -1;
        if (low < 0)
        {
            out += text[n];
            continue;
        }
        out += static_cast<char>(high * 16 + low);
        n += 2;
    }
    return out;
}

std::vector<http_field> parse_query(std::string const& text)
{
    std::vector<http_field> out;
    std::size_t begin = 0;
    while (begin < text.size())
    {
        auto const end = std::min(text.find('&', begin), text.size());
        auto const part = text.substr(begin, end - begin);
        auto const equals = std::min(part.find('='), part.size());
        auto const value = equals < part.size() ? part.substr(equals + 1) : std::string();
        out.push_back({percent_decode(part.substr(0, equals)), percent_decode(value)});
        begin = end + 1;
    }
    return out;
}

server_request read_request(http::request<http::string_body>&& in)
{
    server_request out;
    out.method = std::string(in.method_string());
    auto const target = std::string(in.target());
    auto const mark = std::min(target.find('?'), target.size());
    out.path = percent_decode(target.substr(0, mark));
    if (mark < target.size())
    {
        out.query = parse_query(target.substr(mark + 1));
    }
    for (auto const& it : in)
    {
        out.fields.push_back({std::string(it.name_string()), std::string(it.value())});
    }
    out.body = std::move(in.body());
    return out;
}

std::string find_field(std::vector<http_field> const& fields, std::string const& name)
{
    for (auto const& it : fields)
    {
        if (beast::iequals(it.name, name))
        {
            return it.value;
        }
    }
    return {};
}

class session;

/// Open connections and the request handler of one server.
struct session_set
{
    std::set<std::shared_ptr<session>> open;
    http_server::handler handle;
};

class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, std::shared_ptr<session_set> owner)
        : socket_(std::move(socket)), owner_(std::move(owner))
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(max_body_bytes);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](error_code ec, std::size_t)
                         {
                             if (ec)
                             {
                                 self->close();
                                 return;
                             }
                             self->dispatch();
                         });
    }

    void answer(std::uint64_t number, unsigned status, std::string body,
                std::vector<http_field> const& fields)
    {
        if (number != exchange_number_ || !waiting_)
        {
            return;
        }
        waiting_ = false;
        close_callback_ = nullptr;
        response_.emplace();
        response_->version(11);
        response_->result(status);
        response_->set(http::field::content_type, "application/json");
        response_->keep_alive(keep_alive_);
        for (auto const& it : fields)
        {
            response_->set(it.name, it.value);
        }
        response_->body() = std::move(body);
        response_->prepare_payload();
        http::async_write(socket_, *response_,
                          [self = shared_from_this()](error_code ec, std::size_t)
                          {
                              if (ec || self->response_->need_eof() ||
                                  !self->response_->keep_alive())
                              {
                                  self->close();
                                  return;
                              }
                              self->read();
                          });
    }

    void abort(std::uint64_t number)
    {
        if (number == exchange_number_ && waiting_)
        {
            close_callback_ = nullptr;
            close();
        }
    }

    void on_closed(std::uint64_t number, std::function<void()> call)
    {
        if (number == exchange_number_ && waiting_)
        {
            close_callback_ = std::move(call);
        }
    }

    void close()
    {
        waiting_ = false;
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        socket_.close(ignored);
        auto const self = shared_from_this();
        owner_->open.erase(self);
        auto const call = std::move(close_callback_);
        close_callback_ = nullptr;
        if (call)
        {
            call();
        }
    }

    /// Closes the connection without calling the close callback, because the server closes it and
    /// not the caller.
    void close_without_callback()
    {
        close_callback_ = nullptr;
        waiting_ = false;
        error_code ignored;
        socket_.close(ignored);
    }

private:
    class exchange;

    void dispatch();

    // Detects that the caller closes the connection while its request is being handled.
    void wait_for_close(std::uint64_t number)
    {
        socket_.async_wait(tcp::socket::wait_read,
                           [self = shared_from_this(), number](error_code ec)
                           {
                               if (ec || !self->waiting_ || self->exchange_number_ != number)
                               {
                                   return;
                               }
                               self->check_for_close(number);
                           });
    }

    void check_for_close(std::uint64_t number)
    {
        error_code ec;
        char octet = 0;
        socket_.non_blocking(true, ec);
        socket_.receive(asio::buffer(&octet, 1), tcp::socket::message_peek, ec);
        if (ec == asio::error::would_block)
        {
            wait_for_close(number);
        }
        else if (ec)
        {
            close();
        }
    }

    tcp::socket socket_;
    std::shared_ptr<session_set> owner_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<http::response<http::string_body>> response_;
    std::function<void()> close_callback_;
    std::uint64_t exchange_number_ = 0;
    bool waiting_ = false;
    bool keep_alive_ = true;
};

class session::exchange final : public server_exchange
{
public:
    exchange(std::weak_ptr<session> owner, std::uint64_t number)
        : owner_(std::move(owner)), exchange_number_(number)
    {
    }

    void answer(unsigned status, std::string body, std::vector<http_field> fields) override
    {
        if (auto const it = owner_.lock())
        {
            it->answer(exchange_number_, status, std::move(body), fields);
        }
    }

    void abort() override
    {
        if (auto const it = owner_.lock())
        {
            it->abort(exchange_number_);
        }
    }

    void on_closed(std::function<void()> call) override
    {
        if (auto const it = owner_.lock())
        {
            it->on_closed(exchange_number_, std::move(call));
        }
    }

private:
    std::weak_ptr<session> owner_;
    std::uint64_t exchange_number_;
};

void session::dispatch()
{
    ++exchange_number_;
    waiting_ = true;
    auto in = parser_->release();
    keep_alive_ = in.keep_alive();
    auto const it = std::make_shared<exchange>(weak_from_this(), exchange_number_);
    auto const number = exchange_number_;
    owner_->handle(read_request(std::move(in)), it);
    if (waiting_ && exchange_number_ == number)
    {
        wait_for_close(number);
    }
}

} // namespace

std::string field_of(server_request const& request, std::string const& name)
{
    return find_field(request.fields, name);
}

std::string query_of(server_request const& request, std::string const& name)
{
    return find_field(request.query, name);
}

class http_server::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& io, metadata::http_endpoint const& at, handler handle)
        : acceptor_(io, tcp::endpoint(asio::ip::make_address(at.address), at.port)),
          sessions_(std::make_shared<session_set>())
    {
        sessions_->handle = std::move(handle);
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

    void open(tcp::socket socket)
    {
        if (limit_ > 0 && sessions_->open.size() >= limit_)
        {
            return;
        }
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto const it = std::make_shared<session>(std::move(socket), sessions_);
        sessions_->open.insert(it);
        it->read();
    }

    void close_connections()
    {
        auto const open = std::exchange(sessions_->open, {});
        for (auto const& it : open)
        {
            it->close_without_callback();
        }
    }

    void stop()
    {
        error_code ignored;
        acceptor_.close(ignored);
        close_connections();
        sessions_->handle = [](server_request const&, exchange_ptr const&) {};
    }

    metadata::http_endpoint endpoint() const
    {
        auto const at = acceptor_.local_endpoint();
        return {at.address().to_string(), at.port()};
    }

    void limit(std::size_t n)
    {
        limit_ = n;
    }

    std::size_t connections() const
    {
        return sessions_->open.size();
    }

private:
    tcp::acceptor acceptor_;
    std::shared_ptr<session_set> sessions_;
    std::size_t limit_ = 0;
};

http_server::http_server(asio::io_context& io, metadata::http_endpoint const& at, handler handle)
    : impl_(std::make_shared<impl>(io, at, std::move(handle)))
{
    impl_->accept();
}

http_server::~http_server()
{
    impl_->stop();
}

metadata::http_endpoint http_server::endpoint() const
{
    return impl_->endpoint();
}

void http_server::limit_connections(std::size_t n)
{
    impl_->limit(n);
}

std::size_t http_server::connections() const
{
    return impl_->connections();
}

void http_server::close_connections()
{
    impl_->close_connections();
}

} // namespace fuchsiaproxy::standin
