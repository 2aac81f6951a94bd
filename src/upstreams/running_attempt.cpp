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

// Bytes of a body that may be sent before other requests get a turn on the thread.
constexpr std::uint64_t turn_bytes = 128UL * 1024;

// Text of a request's head besides target, names and values: ": " and the line end of each field,
// and the start line, Deadline-Ms, framing and a chunk header.
constexpr std::size_t field_overhead = 4;
constexpr std::size_t head_reserve = 128;

bool would_block(error_code const& ec)
{
    return ec == asio::error::would_block || ec == asio::error::try_again;
}

/// Returns whether a request of this method states the size of an empty body.
bool states_empty_body(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

bool never_has_body(unsigned status)
{
    return status == 204 || status == 304;
}

} // namespace

running_attempt::running_attempt(std::shared_ptr<client_core> core, connection_pool& pool,
                                 attempt_request request, attempt_events& events)
    : core_(std::move(core)), pool_(&pool), request_(std::move(request)), events_(&events)
{
}

running_attempt::~running_attempt() = default;

void running_attempt::start()
{
    ++core_->counters.attempts;
    auto const& settings = core_->settings;
    auto link = pool_->take_idle(request_.idempotent ? settings.idle_limit : settings.fresh_limit);
    if (!link)
    {
        connect();
        return;
    }
    ++core_->counters.reused;
    use(std::move(link));
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
        ++core_->counters.pool_full;
        finish(attempt_result::not_sent);
        return;
    }
    ++core_->counters.connects;
    connecting_ = true;
    connect_started_ = core_->timers.now();
    use(std::move(link));
    auto const limit = connect_started_ + core_->settings.connect_limit;
    timer_ = core_->timers.at(std::min(limit, request_.deadline),
                              [this](base::time_point) { on_connect_limit(); });
    link_->connect(*pool_->address());
}

void running_attempt::use(std::shared_ptr<connection> link)
{
    link_ = std::move(link);
    link_->set_user(this);
}

void running_attempt::on_connect_limit()
{
    ++core_->counters.connects_failed;
    finish(attempt_result::connect_failed);
}

void running_attempt::on_connected(error_code ec)
{
    connecting_ = false;
    if (ec)
    {
        ++core_->counters.connects_failed;
        finish(attempt_result::connect_failed);
        return;
    }
    report_.connect_time = core_->timers.now() - connect_started_;
    send();
}

void running_attempt::on_deadline()
{
    auto const sent = writer_.bytes_sent() > 0;
    core_->counters.timed_out += sent ? 1 : 0;
    finish(sent ? attempt_result::timed_out : attempt_result::not_sent);
}

void running_attempt::send()
{
    // Taken before anything is sent: without it the answer could not be read, and the outcome would
    // be unknown.
    buffer_ = core_->buffers.take();
    if (!buffer_)
    {
        finish(attempt_result::not_sent);
        return;
    }
    // The process may have been frozen since the attempt was decided.
    if (request_.deadline - core_->timers.now() < std::chrono::milliseconds(1))
    {
        ++core_->counters.late;
        finish(attempt_result::not_sent);
        return;
    }
    timer_ = core_->timers.at(request_.deadline, [this](base::time_point) { on_deadline(); });
    sending_ = true;
    write_request_head();
    pump_request();
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
                                                                            core_->timers.now());
    http::append_field(text, core_->settings.upstream_dialect->deadline_field(),
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
    put_body();
}

/// Puts the next piece of the request's body. Returns false when there is none yet.
bool running_attempt::put_body()
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
        break_off();
        return false;
    }
    return true;
}

void running_attempt::pump_request()
{
    auto const turn_end = body_offset_ + turn_bytes;
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
        if (!put_body())
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
        ++core_->counters.stale;
        write_failed_ = false;
        release_connection(false);
        connect();
        return;
    }
    if (writer_.bytes_sent() == 0)
    {
        finish(attempt_result::not_sent);
    }
    // Otherwise the upstream may have answered before it closed; reading shows it.
}

void running_attempt::on_writable()
{
    auto const self = shared_from_this();
    pump_request();
}

void running_attempt::body_ready()
{
    if (finished_ || !sending_ || !std::exchange(awaits_body_, false))
    {
        return;
    }
    if (put_body())
    {
        pump_request();
    }
}

/// Reads once into the buffer. Returns false if nothing came; the connection is then either armed
/// or broken.
bool running_attempt::fill()
{
    if (begin_ > 0)
    {
        std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
        end_ -= begin_;
        begin_ = 0;
    }
    error_code ec;
    auto const n = link_->socket().read_some(
        asio::buffer(buffer_.data() + end_, http::buffer_bytes - end_), ec);
    end_ += static_cast<std::uint32_t>(n);
    if (!ec && n > 0)
    {
        return true;
    }
    if (would_block(ec))
    {
        link_->arm_read();
        return false;
    }
    if (ec == asio::error::eof && until_close_)
    {
        closed_by_upstream_ = true;
        return false;
    }
    break_off();
    return false;
}

void running_attempt::on_readable()
{
    auto const self = shared_from_this();
    if (head_done_)
    {
        // Without a reader the bytes stay in the socket, which slows the upstream down.
        if (std::exchange(awaits_part_, false))
        {
            limit_at_ = base::time_point::max();
            events_->attempt_readable(request_.id);
        }
        return;
    }
    if (writer_.bytes_sent() == 0)
    {
        // An answer to nothing: the bytes belong to no request of this entry.
        break_off();
        return;
    }
    if (fill())
    {
        read_answer_head();
    }
}

void running_attempt::read_answer_head()
{
    while (!finished_ && !head_done_)
    {
        if (foreign_)
        {
            skip_foreign_answer();
            if (foreign_)
            {
                return;
            }
        }
        auto const input = std::string_view(buffer_.data() + begin_, end_ - begin_);
        auto const scan = http::scan_head(input, scanned_);
        scanned_ = static_cast<std::uint32_t>(input.size());
        if (scan.malformed || (scan.size == 0 && input.size() >= http::buffer_bytes))
        {
            break_off();
            return;
        }
        if (scan.size == 0)
        {
            link_->arm_read();
            return;
        }
        scanned_ = 0;
        begin_ += static_cast<std::uint32_t>(scan.size);
        if (!reader_)
        {
            reader_ = http::message_reader::for_answers();
        }
        http::message_head head;
        auto const without_body = request_.method == "HEAD";
        auto const error = reader_->read_head(input.substr(0, scan.size), without_body, head);
        if (error != http::head_error::none || !accept_head(head))
        {
            break_off();
        }
    }
}

/// Acts on a head. Returns false if the answer cannot be believed.
bool running_attempt::accept_head(http::message_head& head)
{
    if (head.status / 100 == 1)
    {
        return head.status != 101;
    }
    auto const has_body = request_.method != "HEAD" && !never_has_body(head.status);
    until_close_ = has_body && !head.chunked && !head.content_length;
    auto const& dialect = *core_->settings.upstream_dialect;
    if (head.status < 200 || (until_close_ && !dialect.body_may_end_with_connection()))
    {
        return false;
    }
    if (starts_foreign_answer(head))
    {
        return !until_close_;
    }
    head_done_ = true;
    timer_.reset();
    keep_alive_ = head.keep_alive;
    report_.status = head.status;
    report_.upstream_leaving = !keep_alive_;
    report_.load = dialect.load(head.fields);
    link_->limit_idle_time(head.fields);
    if (dialect.is_refusal(head.status, head.fields, request_.shed_statuses))
    {
        report_.upstream_leaving = report_.upstream_leaving || dialect.is_leaving(head.fields);
        finish_shed();
        return true;
    }
    events_->attempt_head(
        request_.id, answer_head{head.status, http::end_to_end(head.fields), head.content_length});
    return true;
}

/// Ends a shed attempt. The connection stays in use if the answer has arrived completely.
void running_attempt::finish_shed()
{
    while (step())
    {
        next_part_ = {};
    }
    if (!finished_)
    {
        release_connection(reader_->done() && is_reusable());
        finish(attempt_result::shed);
    }
}

/// Returns whether `head` begins an answer to an earlier request, which is then skipped.
bool running_attempt::starts_foreign_answer(http::message_head const& head)
{
    if (core_->settings.upstream_dialect->belongs(head.fields, request_.fields))
    {
        return false;
    }
    ++core_->counters.foreign_answers;
    untidy_ = true;
    foreign_ = !reader_->done();
    return true;
}

/// Drops the body of a foreign answer. `foreign_` stays set while more input is needed.
void running_attempt::skip_foreign_answer()
{
    while (!finished_ && !reader_->done() && step())
    {
        next_part_ = {};
    }
    if (finished_)
    {
        return;
    }
    foreign_ = !reader_->done();
    if (foreign_)
    {
        link_->arm_read();
    }
}

/// Returns whether the answer has arrived completely.
bool running_attempt::answer_done() const
{
    return reader_->done() || closed_by_upstream_;
}

/// Unframes the next part into `next_part_`. Returns false when more input is needed, at the end,
/// and when the body is malformed.
bool running_attempt::step()
{
    if (reader_->done() || begin_ == end_)
    {
        return false;
    }
    auto const input = std::string_view(buffer_.data() + begin_, end_ - begin_);
    auto const taken = reader_->next(input);
    begin_ += static_cast<std::uint32_t>(taken.used);
    next_part_ = taken.data;
    report_.bytes_received += taken.data.size();
    auto const stuck = taken.used == 0 && input.size() >= http::buffer_bytes;
    if (taken.malformed || stuck)
    {
        break_off();
        return false;
    }
    return taken.used > 0;
}

answer_part running_attempt::part()
{
    while (part_.empty())
    {
        if (next_part_.empty() && head_done_ && !finished_ && !step() && !finished_ &&
            !answer_done() && !fill())
        {
            break;
        }
        part_ = std::exchange(next_part_, std::string_view{});
        if (finished_ || answer_done())
        {
            break;
        }
    }
    if (!finished_ && next_part_.empty())
    {
        step(); // The end often stands right behind the last part.
    }
    if (!finished_ && (reader_->done() || (closed_by_upstream_ && begin_ == end_)))
    {
        complete();
    }
    auto const waits = !finished_ && part_.empty();
    awaits_part_ = waits;
    limit_at_ =
        waits ? core_->timers.now() + core_->settings.body_idle_limit : base::time_point::max();
    auto const complete_answer = finished_ && report_.result == attempt_result::completed;
    return answer_part{part_, complete_answer && next_part_.empty()};
}

void running_attempt::consume(std::size_t size)
{
    part_.remove_prefix(std::min(size, part_.size()));
    if (finished_ && part_.empty() && next_part_.empty())
    {
        buffer_.release();
    }
}

void running_attempt::complete()
{
    release_connection(is_reusable());
    finish(attempt_result::completed);
}

bool running_attempt::is_reusable() const
{
    // Bytes behind the answer belong to nothing, and the upstream still waits for the rest of a
    // request that was not sent completely.
    return keep_alive_ && !untidy_ && !until_close_ && begin_ == end_ && !sending_ &&
           !write_failed_;
}

void running_attempt::check_limits(base::time_point now)
{
    if (!finished_ && now >= limit_at_)
    {
        break_off();
    }
}

void running_attempt::cancel()
{
    finish(writer_.bytes_sent() > 0 ? attempt_result::cancelled : attempt_result::not_sent);
}

void running_attempt::break_off()
{
    auto const sent = writer_.bytes_sent() > 0;
    core_->counters.broken += sent ? 1 : 0;
    finish(sent ? attempt_result::broken : attempt_result::not_sent);
}

void running_attempt::release_connection(bool reusable)
{
    if (!link_)
    {
        return;
    }
    auto const link = std::exchange(link_, nullptr);
    link->set_user(nullptr);
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
    auto const distrust = result == attempt_result::timed_out || result == attempt_result::broken;
    report_.result = result;
    report_.bytes_sent = writer_.bytes_sent();
    timer_.reset();
    release_connection(false);
    if (part_.empty() && next_part_.empty())
    {
        buffer_.release();
    }
    if (distrust)
    {
        // A fault that silences one connection often silences all those opened before it.
        core_->counters.distrusted += pool_->close_idle();
    }
    asio::post(core_->io, [self = shared_from_this()]() { self->report(); });
}

void running_attempt::report()
{
    if (events_ != nullptr)
    {
        std::exchange(events_, nullptr)->attempt_finished(request_.id, report_);
        core_->reported(*this);
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
