// Reads answers for `running_attempt`.
#include <algorithm>
#include <cstring>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include "running_attempt.hpp"

namespace fuchsiaproxy::upstreams
{
namespace
{

namespace asio = boost::asio;
using base::attempt_result;
using boost::system::error_code;

bool would_block(error_code const& ec)
{
    return ec == asio::error::would_block || ec == asio::error::try_again;
}

// A server in trouble may state any number of three digits. RFC 9112 defines no class above 5.
constexpr unsigned min_final_status = 200;
constexpr unsigned max_final_status = 599;

bool is_final(unsigned status)
{
    return status >= min_final_status && status <= max_final_status;
}

bool never_has_body(unsigned status)
{
    return status == 204 || status == 304;
}

} // namespace

/// Reads once into the buffer. Returns false if no bytes arrived: the connection then waits for
/// input or has ended.
bool running_attempt::fill_buffer()
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
    // A reset during a write is reported to the write only, and further reads report the end of the
    // stream, so the body may be incomplete.
    if (ec == asio::error::eof && until_close_ && !write_failed_)
    {
        closed_by_upstream_ = true;
        return false;
    }
    finish_broken();
    return false;
}

void running_attempt::on_readable()
{
    auto const self = shared_from_this();
    if (head_done_)
    {
        // Unless the caller waits for a part, the bytes stay in the socket, and TCP flow control
        // slows the upstream down.
        if (std::exchange(awaits_part_, false))
        {
            body_idle_deadline_ = base::time_point::max();
            events_->attempt_readable(request_.id);
        }
        return;
    }
    if (writer_.bytes_sent() == 0)
    {
        // Bytes that arrive before the request is sent cannot be its answer.
        finish_broken();
        return;
    }
    if (fill_buffer())
    {
        read_answer_head();
    }
}

void running_attempt::read_answer_head()
{
    while (!finished_ && !head_done_)
    {
        if (skipping_answer_)
        {
            skip_answer_body();
            if (skipping_answer_)
            {
                return;
            }
        }
        auto const input = std::string_view(buffer_.data() + begin_, end_ - begin_);
        auto const scan = http::scan_head(input, scanned_);
        scanned_ = static_cast<std::uint32_t>(input.size());
        if (scan.malformed || (scan.size == 0 && input.size() >= http::buffer_bytes))
        {
            finish_broken();
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
            reader_ = http::message_reader::for_responses();
        }
        http::message_head head;
        auto const without_body = request_.method == "HEAD";
        auto const error = reader_->read_head(input.substr(0, scan.size), without_body, head);
        if (error != http::head_error::none || !accept_head(head))
        {
            finish_broken();
        }
    }
}

/// Processes a head. Returns false if the answer is not acceptable.
bool running_attempt::accept_head(http::message_head& head)
{
    if (head.status / 100 == 1)
    {
        return head.status != 101;
    }
    auto const has_body = request_.method != "HEAD" && !never_has_body(head.status);
    until_close_ = has_body && !head.chunked && !head.content_length;
    auto const& dialect = *context_->settings.upstream_dialect;
    if (!is_final(head.status) || (until_close_ && !dialect.body_may_end_with_connection()))
    {
        return false;
    }
    if (!dialect.is_answer_to(head.fields, request_.fields))
    {
        ++context_->counters.foreign_answers;
        skip_answer();
        return !until_close_;
    }
    auto const refused = dialect.is_refusal(head.status, head.fields, request_.shed_statuses);
    report_.refusal = refused ? attribute_refusal(head.fields) : base::refusal_attribution::none;
    report_notice(head);
    if (report_.refusal == base::refusal_attribution::position && !request_.idempotent)
    {
        // It may belong to no request. The answer with the request's id decides.
        skip_answer();
        return !until_close_;
    }
    head_done_ = true;
    keep_alive_ = head.keep_alive && !dialect.is_ambiguous(head.fields);
    report_.status = head.status;
    report_.upstream_leaving = !head.keep_alive;
    report_.load = dialect.load(head.fields);
    link_->apply_keep_alive_timeout(head.fields);
    if (refused)
    {
        report_.upstream_leaving = report_.upstream_leaving || dialect.is_leaving(head.fields);
        finish_shed();
        return true;
    }
    events_->attempt_head(
        request_.id,
        answer_head{head.status, http::end_to_end_fields(head.fields), head.content_length});
    return true;
}

void running_attempt::report_notice(http::message_head const& head)
{
    auto const notice = context_->settings.upstream_dialect->notice(head.status, head.fields);
    if (notice.any())
    {
        context_->counters.malformed_notices += notice.malformed ? 1 : 0;
        events_->upstream_notified(request_.id, notice);
    }
}

/// Returns why a refusal is taken for the answer to this request, and counts the doubtful ones.
base::refusal_attribution running_attempt::attribute_refusal(http::fields const& answer)
{
    if (!context_->settings.upstream_dialect->is_ambiguous(answer))
    {
        return base::refusal_attribution::identified;
    }
    if (link_->pooled || skipped_answer_)
    {
        ++context_->counters.refusals_by_position;
        return base::refusal_attribution::position;
    }
    ++context_->counters.refusals_as_first_answer;
    return base::refusal_attribution::first_answer;
}

/// Ends a shed attempt. The connection returns to the pool if the answer has arrived completely.
void running_attempt::finish_shed()
{
    while (decode_next_part())
    {
        next_part_ = {};
    }
    if (!finished_)
    {
        release_connection(reader_->done() && is_reusable());
        finish(attempt_result::shed);
    }
}

/// Begins to skip an answer that is not known to be this request's.
void running_attempt::skip_answer()
{
    skipped_answer_ = true;
    skipping_answer_ = !reader_->done();
}

/// Discards the body of a skipped answer. `skipping_answer_` stays set while more input is
/// needed.
void running_attempt::skip_answer_body()
{
    while (!finished_ && !reader_->done() && decode_next_part())
    {
        next_part_ = {};
    }
    if (finished_)
    {
        return;
    }
    skipping_answer_ = !reader_->done();
    if (skipping_answer_)
    {
        link_->arm_read();
    }
}

/// Returns whether the answer has arrived completely.
bool running_attempt::answer_done() const
{
    return reader_->done() || closed_by_upstream_;
}

/// Decodes the next part of the body into `next_part_`. Returns false when more input is needed, at
/// the end, and when the body is malformed.
bool running_attempt::decode_next_part()
{
    if (reader_->done() || begin_ == end_)
    {
        return false;
    }
    auto const input = std::string_view(buffer_.data() + begin_, end_ - begin_);
    auto const taken = reader_->next(input);
    begin_ += static_cast<std::uint32_t>(taken.consumed);
    next_part_ = taken.data;
    report_.bytes_received += taken.data.size();
    auto const no_progress = taken.consumed == 0 && input.size() >= http::buffer_bytes;
    if (taken.malformed || no_progress)
    {
        finish_broken();
        return false;
    }
    return taken.consumed > 0;
}

answer_part running_attempt::part()
{
    while (part_.empty())
    {
        if (next_part_.empty() && head_done_ && !finished_ && !decode_next_part() && !finished_ &&
            !answer_done() && !fill_buffer())
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
        decode_next_part(); // The end often directly follows the last part.
    }
    if (!finished_ && (reader_->done() || (closed_by_upstream_ && begin_ == end_)))
    {
        complete();
    }
    auto const waits = !finished_ && part_.empty();
    awaits_part_ = waits;
    body_idle_deadline_ = waits ? context_->timers.now() + context_->settings.body_idle_limit
                                : base::time_point::max();
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
    // Bytes after the answer would be read as the next answer, and after an incomplete request
    // the upstream still waits for the rest.
    return keep_alive_ && !skipped_answer_ && !until_close_ && begin_ == end_ && !sending_ &&
           !write_failed_;
}

} // namespace fuchsiaproxy::upstreams
