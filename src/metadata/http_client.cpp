#include "fuchsiaproxy/metadata/http_client.hpp"

#include <deque>
#include <optional>
#include <sstream>
#include <unordered_set>
#include <utility>

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include "fuchsiaproxy/http/chunked_body.hpp"

namespace fuchsiaproxy::metadata
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

struct connection
{
    explicit connection(asio::io_context& io) : socket(io) {}

    tcp::socket socket;
    beast::flat_buffer buffer;
};

struct call_state
{
    call_state(asio::io_context& io, http_call call, http_client::handler handler)
        : request(std::move(call)), done(std::move(handler)), deadline(io), connect_limit(io)
    {
    }

    http_call request;
    http_client::handler done;
    asio::steady_timer deadline;
    asio::steady_timer connect_limit;
    std::shared_ptr<connection> conn;
    std::string request_text;
    std::optional<http::response_parser<http::string_body>> parser;
    /// At least one byte was sent.
    bool sent = false;
    /// A write is in progress; its handler reports whether any byte was sent.
    bool writing = false;
    bool expired = false;
    bool finished = false;
};

using call_ptr = std::shared_ptr<call_state>;

std::string serialise(http_call const& call, http_endpoint const& to)
{
    http::request<http::string_body> out;
    out.method_string(call.method);
    out.target(call.target);
    out.version(11);
    out.set(http::field::host, to.address + ":" + std::to_string(to.port));
    for (auto const& it : call.fields)
    {
        out.set(it.name, it.value);
    }
    out.body() = call.body;
    out.prepare_payload();
    std::ostringstream text;
    text << out;
    return text.str();
}

// An idle connection becomes readable if the server closed it or sent unsolicited data.
bool is_reusable(connection& conn)
{
    if (!conn.socket.is_open() || conn.buffer.size() > 0)
    {
        return false;
    }
    error_code ec;
    char octet = 0;
    conn.socket.non_blocking(true, ec);
    conn.socket.receive(asio::buffer(&octet, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

/// Configures TCP keep-alive, so that the system detects an unresponsive connection.
void enable_keep_alive(tcp::socket& socket, std::chrono::seconds after)
{
    if (after.count() == 0)
    {
        return;
    }
    using idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    auto const s = static_cast<int>(after.count());
    error_code ignored;
    socket.set_option(tcp::socket::keep_alive(true), ignored);
    socket.set_option(idle(s), ignored);
    socket.set_option(interval(s), ignored);
    socket.set_option(count(1), ignored);
    socket.set_option(user_timeout(2 * s * 1000), ignored);
}

http_answer failed(call_state const& call, std::string why)
{
    http_answer out;
    out.state = call.sent ? http_call_state::sent_unanswered : http_call_state::not_sent;
    out.failure = std::move(why);
    return out;
}

} // namespace

http_endpoint parse_endpoint(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size() || text.size() - colon > 6)
    {
        return {};
    }
    unsigned port = 0;
    for (auto n = colon + 1; n < text.size(); ++n)
    {
        if (text[n] < '0' || text[n] > '9')
        {
            return {};
        }
        port = port * 10 + static_cast<unsigned>(text[n] - '0');
    }
    if (port > 65535)
    {
        return {};
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::string field_of(http_answer const& answer, std::string const& name)
{
    for (auto const& it : answer.fields)
    {
        if (beast::iequals(it.name, name))
        {
            return it.value;
        }
    }
    return {};
}

class http_client::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& io, http_endpoint endpoint, http_client_limits limits)
        : io_(io), endpoint_(std::move(endpoint)), limits_(limits)
    {
    }

    void start(http_call request, handler done)
    {
        auto call = std::make_shared<call_state>(io_, std::move(request), std::move(done));
        call->deadline.expires_after(call->request.deadline);
        call->deadline.async_wait(
            [self = shared_from_this(), call](error_code ec)
            {
                if (!ec)
                {
                    self->expire(call);
                }
            });
        asio::post(io_, [self = shared_from_this(), call] { self->admit(call); });
    }

    void stop()
    {
        stopped_ = true;
        for (auto const& it : active_)
        {
            abandon(*it);
        }
        for (auto const& it : queued_)
        {
            abandon(*it);
        }
        active_.clear();
        queued_.clear();
        idle_.clear();
    }

    void close_idle_connections()
    {
        idle_.clear();
    }

    http_connection_counts const& counts() const noexcept
    {
        return counts_;
    }

private:
    static void abandon(call_state& call)
    {
        call.finished = true;
        call.done = nullptr;
        call.deadline.cancel();
        call.connect_limit.cancel();
        close(call);
    }

    static void close(call_state& call)
    {
        if (call.conn)
        {
            error_code ignored;
            call.conn->socket.close(ignored);
        }
    }

    /// Closes the connection of a call that was given up. The kernel does not go on to deliver the
    /// rest of the call, which would be executed late.
    static void reset(call_state& call)
    {
        if (call.conn)
        {
            error_code ignored;
            call.conn->socket.set_option(tcp::socket::linger(true, 0), ignored);
        }
        close(call);
    }

    void admit(call_ptr const& call)
    {
        if (stopped_ || call->finished)
        {
            call->deadline.cancel();
            return;
        }
        if (active_.size() < limits_.max_connections)
        {
            active_.insert(call);
            connect(call);
            return;
        }
        if (queued_.size() >= limits_.max_queued)
        {
            finish(call, failed(*call, "connection queue is full"));
            return;
        }
        queued_.push_back(call);
    }

    void connect(call_ptr const& call)
    {
        while (!idle_.empty())
        {
            call->conn = std::move(idle_.back());
            idle_.pop_back();
            if (is_reusable(*call->conn))
            {
                write(call);
                return;
            }
        }
        error_code ec;
        auto const address = asio::ip::make_address(endpoint_.address, ec);
        if (ec)
        {
            finish(call, failed(*call, "invalid address \"" + endpoint_.address + "\""));
            return;
        }
        call->conn = std::make_shared<connection>(io_);
        start_connect_timer(call);
        call->conn->socket.async_connect(
            tcp::endpoint(address, endpoint_.port),
            [self = shared_from_this(), call](error_code failure)
            {
                call->connect_limit.cancel();
                if (call->finished)
                {
                    return;
                }
                if (failure)
                {
                    self->finish(call, failed(*call, "connect: " + failure.message()));
                    return;
                }
                ++self->counts_.opened;
                error_code ignored;
                call->conn->socket.set_option(tcp::no_delay(true), ignored);
                enable_keep_alive(call->conn->socket, self->limits_.probe_after);
                self->write(call);
            });
    }

    void start_connect_timer(call_ptr const& call)
    {
        if (limits_.connect_limit == base::duration{})
        {
            return;
        }
        call->connect_limit.expires_after(limits_.connect_limit);
        call->connect_limit.async_wait(
            [self = shared_from_this(), call](error_code ec)
            {
                if (!ec && !call->finished && !self->stopped_)
                {
                    self->finish(call, failed(*call, "connect: time limit exceeded"));
                }
            });
    }

    void write(call_ptr const& call)
    {
        call->request_text = serialise(call->request, endpoint_);
        write_some(call, 0);
    }

    // Uses async_write_some, so that `sent` is accurate if the deadline interrupts the write.
    void write_some(call_ptr const& call, std::size_t offset)
    {
        call->writing = true;
        call->conn->socket.async_write_some(
            asio::buffer(call->request_text) + offset,
            [self = shared_from_this(), call, offset](error_code ec, std::size_t n)
            {
                call->writing = false;
                call->sent = call->sent || n > 0;
                if (call->finished)
                {
                    return;
                }
                if (call->expired)
                {
                    self->finish_expired(call);
                    return;
                }
                if (ec)
                {
                    self->finish_failed(call, "write: " + ec.message());
                    return;
                }
                if (offset + n < call->request_text.size())
                {
                    self->write_some(call, offset + n);
                    return;
                }
                self->read(call);
            });
    }

    void read(call_ptr const& call)
    {
        call->parser.emplace();
        call->parser->body_limit(limits_.max_answer_bytes);
        // Reads the header separately: the response parser of Boost 1.74 does not report that the
        // body limit was exceeded if it reads header and body in one step.
        http::async_read_header(call->conn->socket, call->conn->buffer, *call->parser,
                                [self = shared_from_this(), call](error_code ec, std::size_t)
                                { self->on_head(call, ec); });
    }

    void on_head(call_ptr const& call, error_code ec)
    {
        if (ec || call->finished || !call->parser->chunked())
        {
            read_body(call, ec);
            return;
        }
        fuchsiaproxy::http::async_read_chunked_start(
            call->conn->socket, call->conn->buffer,
            [self = shared_from_this(), call, conn = call->conn](error_code failure)
            { self->read_body(call, failure); });
    }

    void read_body(call_ptr const& call, error_code earlier_error)
    {
        if (call->finished)
        {
            return;
        }
        if (earlier_error)
        {
            finish_failed(call, "read: " + earlier_error.message());
            return;
        }
        http::async_read(call->conn->socket, call->conn->buffer, *call->parser,
                         [self = shared_from_this(), call](error_code ec, std::size_t)
                         {
                             if (call->finished)
                             {
                                 return;
                             }
                             if (ec)
                             {
                                 self->finish_failed(call, "read: " + ec.message());
                                 return;
                             }
                             self->answer(call);
                         });
    }

    void answer(call_ptr const& call)
    {
        auto const keep = call->parser->keep_alive();
        auto response = call->parser->release();
        http_answer out;
        out.state = http_call_state::answered;
        out.status = response.result_int();
        for (auto const& it : response)
        {
            out.fields.push_back({std::string(it.name_string()), std::string(it.value())});
        }
        out.body = std::move(response.body());
        if (keep)
        {
            idle_.push_back(call->conn);
            call->conn.reset();
        }
        finish(call, std::move(out));
    }

    void finish_failed(call_ptr const& call, std::string why)
    {
        ++counts_.failed;
        finish(call, failed(*call, std::move(why)));
    }

    void expire(call_ptr const& call)
    {
        if (call->finished || stopped_)
        {
            return;
        }
        if (call->writing)
        {
            call->expired = true;
            reset(*call);
            return;
        }
        finish_expired(call);
    }

    void finish_expired(call_ptr const& call)
    {
        if (call->sent)
        {
            ++counts_.timed_out;
        }
        finish(call, failed(*call, "deadline exceeded"));
    }

    void finish(call_ptr const& call, http_answer out)
    {
        call->finished = true;
        call->deadline.cancel();
        call->connect_limit.cancel();
        if (out.state == http_call_state::sent_unanswered)
        {
            reset(*call);
        }
        else
        {
            close(*call);
        }
        active_.erase(call);
        auto const done = std::move(call->done);
        done(std::move(out));
        start_queued();
    }

    void start_queued()
    {
        while (!stopped_ && !queued_.empty() && active_.size() < limits_.max_connections)
        {
            auto const next = queued_.front();
            queued_.pop_front();
            if (!next->finished)
            {
                active_.insert(next);
                connect(next);
            }
        }
    }

    asio::io_context& io_;
    http_endpoint endpoint_;
    http_client_limits limits_;
    http_connection_counts counts_;
    std::unordered_set<call_ptr> active_;
    std::deque<call_ptr> queued_;
    std::vector<std::shared_ptr<connection>> idle_;
    bool stopped_ = false;
};

http_client::http_client(asio::io_context& io, http_endpoint endpoint, http_client_limits limits)
    : impl_(std::make_shared<impl>(io, std::move(endpoint), limits))
{
}

http_client::~http_client()
{
    impl_->stop();
}

void http_client::start(http_call call, handler done)
{
    impl_->start(std::move(call), std::move(done));
}

void http_client::close_idle_connections()
{
    impl_->close_idle_connections();
}

http_connection_counts const& http_client::counts() const noexcept
{
    return impl_->counts();
}

} // namespace fuchsiaproxy::metadata
