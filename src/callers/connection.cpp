#include "connection.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstring>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <poll.h>

#include "request_parser.hpp"

namespace fuchsiaproxy::callers
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Closing a socket with unread input resets the connection, and the caller may then lose an answer
// that it has not read yet. Input is therefore read and discarded until the caller closes, for at
// most this time and this number of bytes.
constexpr auto linger_limit = std::chrono::seconds(1);
constexpr std::size_t linger_bytes = 256UL * 1024;

// A connection that was accepted just before a drain gets this long to send its first request.
constexpr auto drain_grace = std::chrono::seconds(1);

bool would_block(error_code const& ec)
{
    return ec == asio::error::would_block || ec == asio::error::try_again;
}

} // namespace

connection::connection(std::shared_ptr<server_core> core, tcp::socket socket, std::string address)
    : core_(std::move(core)), socket_(std::move(socket)), address_(std::move(address))
{
    ++core_->active;
}

connection::~connection()
{
    for (auto const& it : line_)
    {
        it->detach();
    }
}

std::string const& connection::address() const
{
    return address_;
}

void connection::start()
{
    error_code ec;
    socket_.non_blocking(true, ec);
    socket_.set_option(tcp::no_delay(true), ec);
    await_request();
}

void connection::check_limits(base::time_point now)
{
    if (has_unread_input_)
    {
        check_for_hang_up();
    }
    if (now < limit_at_)
    {
        return;
    }
    limit_at_ = base::time_point::max();
    switch (phase_)
    {
    case phase::idle:
        ++core_->counters.idle_closed;
        linger();
        return;
    case phase::head:
        refuse(base::error_kind::request_timeout);
        return;
    case phase::exchange:
        break;
    case phase::lingering:
        close();
        return;
    case phase::closed:
        return;
    }
    if (writing_ && made_progress())
    {
        limit_at_ = now + core_->settings.body_idle_limit;
    }
    else if (writing_)
    {
        ++core_->counters.stalled_answers;
        on_caller_gone();
    }
    else if (awaits_body_)
    {
        awaits_body_ = false;
        body_failure(base::error_kind::request_timeout);
        core_->handler.body_ready(line_.front()->head().id);
    }
}

void connection::drain()
{
    close_after_answer_ = true;
    if (phase_ != phase::idle || resume_posted_)
    {
        return;
    }
    char first = 0;
    error_code ec;
    socket_.receive(asio::buffer(&first, 1), tcp::socket::message_peek, ec);
    if (!ec)
    {
        return; // A request has arrived and is about to be read.
    }
    if (served_ || !would_block(ec))
    {
        linger();
        return;
    }
    limit_at_ = std::min(limit_at_, core_->timers.now() + drain_grace);
}

void connection::close()
{
    if (phase_ == phase::closed)
    {
        return;
    }
    phase_ = phase::closed;
    error_code ec;
    socket_.close(ec);
    while (!line_.empty())
    {
        end_exchange(*line_.front());
        line_.erase(line_.begin());
    }
    buffer_.release();
    mark_inactive();
    core_->closed(*this);
}

void connection::mark_inactive()
{
    if (std::exchange(active_, false))
    {
        --core_->active;
        core_->activity_ended();
    }
}

void connection::wait_readable()
{
    if (waiting_readable_ || phase_ == phase::closed)
    {
        return;
    }
    waiting_readable_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](error_code ec)
                       {
                           self->waiting_readable_ = false;
                           if (!ec)
                           {
                               self->on_readable();
                           }
                       });
}

void connection::on_readable()
{
    switch (phase_)
    {
    case phase::idle:
    case phase::head:
        on_input();
        return;
    case phase::exchange:
        if (body_done() || body_failed_)
        {
            check_for_disconnect();
        }
        else if (awaits_body_)
        {
            on_body_input();
        }
        return;
    case phase::lingering:
        discard();
        return;
    case phase::closed:
        return;
    }
}

std::size_t connection::fill(bool& broken)
{
    if (begin_ == end_)
    {
        begin_ = end_ = 0;
    }
    else if (end_ == http::buffer_bytes && begin_ > 0)
    {
        std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
        end_ -= begin_;
        begin_ = 0;
    }
    error_code ec;
    auto const space = http::buffer_bytes - end_;
    auto const n = socket_.read_some(asio::buffer(buffer_.data() + end_, space), ec);
    end_ += static_cast<std::uint32_t>(n);
    broken = ec && !would_block(ec);
    return n;
}

void connection::on_input()
{
    if (!buffer_)
    {
        buffer_ = core_->buffers.take();
        if (!buffer_)
        {
            refuse(base::error_kind::overloaded);
            return;
        }
        begin_ = end_ = scanned_ = 0;
    }
    bool broken = false;
    fill(broken);
    if (broken)
    {
        close();
        return;
    }
    process_input();
}

void connection::process_input()
{
    if (std::exchange(processing_input_, true))
    {
        return;
    }
    while (begin_ < end_ && (phase_ == phase::idle || phase_ == phase::head || may_read_ahead()) &&
           read_head())
    {
    }
    processing_input_ = false;
    close_after_answer_ = close_after_answer_ || (caller_half_closed_ && begin_ == end_);
    auto const awaits_head = phase_ == phase::idle || phase_ == phase::head;
    if (awaits_head && caller_half_closed_)
    {
        linger(); // The rest of a head will not arrive.
        return;
    }
    auto const body_follows = phase_ == phase::exchange && !body_done();
    if (phase_ != phase::head && !body_follows && begin_ == end_)
    {
        buffer_.release();
    }
    auto const looks_ahead =
        phase_ == phase::exchange && !body_follows && (begin_ == end_ || runs_beside_others());
    if (awaits_head || (looks_ahead && !caller_half_closed_))
    {
        wait_readable();
    }
}

bool connection::read_head()
{
    auto const input = std::string_view(buffer_.data() + begin_, end_ - begin_);
    auto const scan = http::scan_head(input, scanned_);
    if (scan.malformed)
    {
        return refuse_head(base::error_kind::bad_request);
    }
    if (scan.size == 0)
    {
        scanned_ = static_cast<std::uint32_t>(input.size());
        if (input.size() >= http::buffer_bytes)
        {
            return refuse_head(base::error_kind::header_too_large);
        }
        if (phase_ == phase::idle)
        {
            phase_ = phase::head;
            limit_at_ = core_->timers.now() + core_->settings.header_limit;
        }
        return false;
    }
    scanned_ = 0;
    begin_ += static_cast<std::uint32_t>(scan.size);
    if (begin_exchange(input.substr(0, scan.size)))
    {
        return true;
    }
    if (head_waits_)
    {
        begin_ -= static_cast<std::uint32_t>(scan.size);
    }
    return false;
}

/// Refuses the head being read, or leaves it in the buffer until the requests before it have been
/// answered.
bool connection::refuse_head(base::error_kind kind)
{
    if (is_behind_others())
    {
        head_waits_ = true;
        scanned_ = 0;
    }
    else
    {
        refuse(kind);
    }
    return false;
}

/// Parses a head and passes the request on. Returns false if it is refused or has to wait.
bool connection::begin_exchange(std::string_view text)
{
    if (!reader_)
    {
        reader_ = http::message_reader::for_requests();
    }
    http::message_head head;
    auto const error = reader_->read_head(text, false, head);
    if (error != http::head_error::none)
    {
        return refuse_head(error == http::head_error::too_many_fields
                               ? base::error_kind::header_too_large
                               : base::error_kind::bad_request);
    }
    auto parsed = parse_request(head, core_->settings.format);
    if (!parsed)
    {
        return refuse_head(parsed.error().kind);
    }
    auto request = std::move(parsed).value();
    if (request.content_length.value_or(0) > core_->settings.max_body_bytes)
    {
        return refuse_head(base::error_kind::request_too_large);
    }
    if (is_behind_others() && (!reader_->done() || !core_->handler.may_run_beside_others(request)))
    {
        head_waits_ = true;
        return false;
    }
    has_body_ = !reader_->done();
    expects_continue_ = has_body_ && head.fields.find("Expect").has_value();
    close_after_answer_ = close_after_answer_ || !head.keep_alive;
    pass_on(std::move(request));
    return true;
}

void connection::pass_on(request_head request)
{
    request.id = base::local_request_id(++core_->last_request);
    request.caller_address = address_;
    request.arrived = core_->timers.now();
    if (is_behind_others())
    {
        ++core_->counters.pipelined_requests;
    }
    else
    {
        body_failed_ = awaits_body_ = head_written_ = false;
        body_bytes_ = 0;
        body_part_ = {};
        limit_at_ = base::time_point::max();
        runs_beside_others_.reset();
    }
    served_ = true;
    phase_ = phase::exchange;
    ++core_->counters.requests;
    ++core_->exchanges;
    auto const it = std::make_shared<request_exchange>(shared_from_this(), std::move(request));
    line_.push_back(it);
    if (body_done() && begin_ == end_)
    {
        buffer_.release();
    }
    core_->handler.request_arrived(it);
}

void connection::count_refusal(base::error_kind kind)
{
    auto& counters = core_->counters;
    switch (kind)
    {
    case base::error_kind::bad_request:
        ++counters.bad_requests;
        break;
    case base::error_kind::header_too_large:
        ++counters.headers_too_large;
        break;
    case base::error_kind::request_too_large:
        ++counters.requests_too_large;
        break;
    case base::error_kind::request_timeout:
        ++counters.request_timeouts;
        break;
    default:
        ++counters.refused_connections;
        break;
    }
}

void connection::refuse(base::error_kind kind)
{
    count_refusal(kind);
    auto const reply = base::reply_for(kind, base::execution_record::never_sent());
    close_after_answer_ = true;
    auto const body = "{\"error\":\"" + std::string(reply.name) + "\"}";
    auto& text = writer_.begin();
    http::append_status_line(text, reply.status.value());
    http::append_field(text, "Content-Type", "application/json");
    http::append_field(text, "Request-Outcome", base::name_of(reply.outcome));
    http::append_field(text, "Connection", "close");
    writer_.end_head(http::body_framing::counted, body.size());
    writer_.put(body, true);
    // Written once only: the answer fits into an empty socket buffer. If the caller has let the
    // buffer fill up, the answer is lost.
    writer_.write_to(socket_);
    linger();
}

void connection::check_for_disconnect()
{
    char first = 0;
    error_code ec;
    socket_.receive(asio::buffer(&first, 1), tcp::socket::message_peek, ec);
    if (!ec)
    {
        read_ahead(); // A pipelined request.
        return;
    }
    if (would_block(ec))
    {
        wait_readable();
        return;
    }
    if (ec == asio::error::eof && !core_->settings.half_close_is_disconnect)
    {
        caller_half_closed_ = true;
        // Requests that wait in the buffer are answered too.
        close_after_answer_ = close_after_answer_ || begin_ == end_;
        return;
    }
    on_caller_gone();
}

/// Detects a disconnect behind input that is not being read.
void connection::check_for_hang_up()
{
    if (phase_ != phase::exchange || !core_->settings.half_close_is_disconnect)
    {
        return;
    }
    pollfd state{socket_.native_handle(), POLLRDHUP, 0};
    if (::poll(&state, 1, 0) > 0)
    {
        on_caller_gone();
    }
}

void connection::post_caller_gone()
{
    if (!std::exchange(caller_gone_posted_, true))
    {
        asio::post(core_->io, [self = shared_from_this()]() { self->on_caller_gone(); });
    }
}

void connection::on_caller_gone()
{
    if (phase_ != phase::exchange)
    {
        return;
    }
    ++core_->counters.callers_gone;
    auto const ids = open_requests();
    close();
    for (auto const id : ids)
    {
        if (!core_->closing)
        {
            core_->handler.caller_gone(id);
        }
    }
}

void connection::await_request()
{
    phase_ = phase::idle;
    limit_at_ = core_->timers.now() + core_->settings.keep_alive_limit;
    head_waits_ = has_unread_input_ = false;
    if (processing_input_)
    {
        return; // The loop that passed the request on continues with the next one.
    }
    if (begin_ < end_)
    {
        post_resume();
        return;
    }
    buffer_.release();
    wait_readable();
}

void connection::linger()
{
    phase_ = phase::lingering;
    limit_at_ = core_->timers.now() + linger_limit;
    buffer_.release();
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    mark_inactive();
    if (caller_half_closed_ || ec)
    {
        close();
        return;
    }
    wait_readable();
}

void connection::discard()
{
    std::array<char, 4096> dropped;
    error_code ec;
    while (!ec && lingered_ < linger_bytes)
    {
        lingered_ += socket_.read_some(asio::buffer(dropped), ec);
    }
    if (would_block(ec))
    {
        wait_readable();
        return;
    }
    close();
}

} // namespace fuchsiaproxy::callers
