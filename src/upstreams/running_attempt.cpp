#include "running_attempt.hpp"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>

namespace fuchsiaproxy::upstreams
{
namespace
{

namespace asio = boost::asio;
using base::attempt_result;
using boost::system::error_code;

// Body bytes sent before control returns to the event loop, so that other requests are served.
constexpr std::uint64_t max_body_bytes_per_turn = 128UL * 1024;

// Text of a request's head besides target, names and values: ": " and the line end of each field,
// and the start line, Deadline-Ms, framing and a chunk header.
constexpr std::size_t field_overhead = 4;
constexpr std::size_t head_reserve = 128;

/// Returns whether a request of this method states the size of an empty body.
bool states_empty_body(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

running_attempt::running_attempt(std::shared_ptr<client_context> context, connection_pool& pool,
                                 attempt_request request, attempt_events& events)
    : context_(std::move(context)), pool_(&pool), request_(std::move(request)), events_(&events)
{
}

running_attempt::~running_attempt() = default;

void running_attempt::start()
{
    ++context_->counters.attempts;
    auto const& settings = context_->settings;
    auto link = pool_->take_idle(request_.idempotent ? settings.idle_limit
                                                     : settings.non_idempotent_idle_limit);
    if (!link)
    {
        connect();
        return;
    }
    ++context_->counters.reused;
    attach(std::move(link));
    send();
}

void running_attempt::connect()
{
    if (!pool_->address())
    {
        finish(attempt_result::connect_failed);
        return;
    }
    auto link = pool_->open();
    if (!link)
    {
        ++context_->counters.pool_full;
        finish(attempt_result::not_sent);
        return;
    }
    ++context_->counters.connects;
    connecting_ = true;
    connect_started_ = context_->timers.now();
    attach(std::move(link));
    auto const limit = connect_started_ + context_->settings.connect_limit;
    timer_ = context_->timers.at(std::min(limit, request_.deadline),
                                 [this](base::time_point) { on_connect_timeout(); });
    link_->connect(*pool_->address());
}

void running_attempt::attach(std::shared_ptr<connection> link)
{
    link_ = std::move(link);
    link_->set_handler(this);
}

void running_attempt::on_connect_timeout()
{
    ++context_->counters.connects_failed;
    finish(attempt_result::connect_failed);
}

void running_attempt::on_connected(error_code ec)
{
    connecting_ = false;
    if (ec)
    {
        ++context_->counters.connects_failed;
        finish(attempt_result::connect_failed);
        return;
    }
    report_.connect_time = context_->timers.now() - connect_started_;
    send();
}

void running_attempt::on_deadline()
{
    if (head_done_ && !awaits_part_)
    {
        // The caller has not taken what has arrived; this says nothing of the upstream.
        finish(attempt_result::cancelled);
        return;
    }
    auto const sent = writer_.bytes_sent() > 0;
    context_->counters.timed_out += sent ? 1 : 0;
    finish(sent ? attempt_result::timed_out : attempt_result::not_sent);
}

void running_attempt::send()
{
    // Taken before anything is sent: without it the answer could not be read, and the outcome would
    // be unknown.
    buffer_ = context_->buffers.take();
    if (!buffer_)
    {
        finish(attempt_result::not_sent);
        return;
    }
    // The process may have been suspended since the attempt was scheduled.
    if (request_.deadline - context_->timers.now() < std::chrono::milliseconds(1))
    {
        ++context_->counters.late;
        finish(attempt_result::not_sent);
        return;
    }
    timer_ = context_->timers.at(request_.deadline, [this](base::time_point) { on_deadline(); });
    sending_ = true;
    write_request_head();
    write_request();
    if (!finished_ && !connecting_)
    {
        link_->arm_read();
    }
}

void running_attempt::write_request_head()
{
    body_offset_ = 0;
    auto& text = writer_.begin();
    text.reserve(request_.target.size() + request_.fields.text_size() +
                 request_.fields.size() * field_overhead + head_reserve);
    text.append(request_.method).append(" ").append(request_.target).append(" HTTP/1.1\r\n");
    http::append_fields(text, request_.fields);
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(request_.deadline -
                                                                            context_->timers.now());
    http::append_field(text, context_->settings.upstream_dialect->deadline_field(),
                       std::to_string(left.count()));
    if (request_.body == nullptr)
    {
        writer_.end_head(http::body_framing::none, states_empty_body(request_.method)
                                                       ? std::optional<std::uint64_t>(0)
                                                       : std::nullopt);
        writer_.put({}, true);
        return;
    }
    auto const length = request_.body->body_length(request_.id);
    writer_.end_head(length ? http::body_framing::counted : http::body_framing::chunked, length);
    put_body_piece();
}

/// Queues the next piece of the request's body. Returns false when none is available yet or the
/// attempt has ended.
bool running_attempt::put_body_piece()
{
    auto const piece = request_.body->body_at(request_.id, body_offset_);
    awaits_body_ = piece.data.empty() && !piece.end;
    if (awaits_body_ || finished_)
    {
        return false;
    }
    body_offset_ += piece.data.size();
    if (!writer_.put(piece.data, piece.end))
    {
        finish_broken();
        return false;
    }
    return true;
}

void running_attempt::write_request()
{
    auto const turn_end = body_offset_ + max_body_bytes_per_turn;
    while (!finished_ && sending_)
    {
        auto const state = writer_.write_to(link_->socket());
        if (state == http::write_state::blocked)
        {
            link_->arm_write();
            return;
        }
        if (state == http::write_state::failed)
        {
            on_write_failed();
            return;
        }
        if (writer_.finished())
        {
            sending_ = false;
            return;
        }
        if (body_offset_ >= turn_end)
        {
            link_->arm_write();
            return;
        }
        if (!put_body_piece())
        {
            return;
        }
    }
}

void running_attempt::on_write_failed()
{
    sending_ = false;
    write_failed_ = true;
    if (writer_.bytes_sent() == 0 && link_->pooled)
    {
        // The pooled connection broke after it was checked. Nothing was sent, so a new one may be
        // tried within the same attempt.
        ++context_->counters.stale;
        write_failed_ = false;
        release_connection(false);
        connect();
        return;
    }
    if (writer_.bytes_sent() == 0)
    {
        finish(attempt_result::not_sent);
    }
    // Otherwise the upstream may have answered before it closed; the read path determines that.
}

void running_attempt::on_writable()
{
    auto const self = shared_from_this();
    write_request();
}

void running_attempt::body_ready()
{
    if (finished_ || !sending_ || !std::exchange(awaits_body_, false))
    {
        return;
    }
    if (put_body_piece())
    {
        write_request();
    }
}

void running_attempt::check_body_idle_limit(base::time_point now)
{
    if (!finished_ && now >= body_idle_deadline_)
    {
        finish_broken();
    }
}

void running_attempt::forward_until(base::time_point end)
{
    timer_.reset();
    if (!finished_ && end != base::time_point::max())
    {
        timer_ = context_->timers.at(end, [this](base::time_point) { on_deadline(); });
    }
}

void running_attempt::cancel()
{
    finish(writer_.bytes_sent() > 0 ? attempt_result::cancelled : attempt_result::not_sent);
}

void running_attempt::finish_broken()
{
    auto const sent = writer_.bytes_sent() > 0;
    context_->counters.broken += sent ? 1 : 0;
    finish(sent ? attempt_result::broken : attempt_result::not_sent);
}

void running_attempt::release_connection(bool reusable)
{
    if (!link_)
    {
        return;
    }
    auto const link = std::exchange(link_, nullptr);
    link->set_handler(nullptr);
    if (reusable)
    {
        pool_->give_back(link);
        return;
    }
    pool_->discard(*link);
}

void running_attempt::finish(attempt_result result)
{
    if (std::exchange(finished_, true))
    {
        return;
    }
    auto const others_may_be_stalled =
        result == attempt_result::timed_out || result == attempt_result::broken;
    report_.result = result;
    report_.bytes_sent = writer_.bytes_sent();
    timer_.reset();
    release_connection(false);
    if (part_.empty() && next_part_.empty())
    {
        buffer_.release();
    }
    if (others_may_be_stalled)
    {
        // A fault that stalls one connection often stalls all those opened before it.
        context_->counters.closed_after_failure += pool_->close_idle();
    }
    asio::post(context_->io, [self = shared_from_this()]() { self->report(); });
}

void running_attempt::report()
{
    if (events_ != nullptr)
    {
        std::exchange(events_, nullptr)->attempt_finished(request_.id, report_);
        context_->on_reported(*this);
    }
}

void running_attempt::abandon()
{
    events_ = nullptr;
    finished_ = true;
    timer_.reset();
    release_connection(false);
    part_ = next_part_ = {};
    buffer_.release();
}

} // namespace fuchsiaproxy::upstreams
