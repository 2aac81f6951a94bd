// Reading of request bodies by `connection`.
#include <algorithm>
#include <cstring>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "connection.hpp"

namespace fuchsiaproxy::callers
{

namespace asio = boost::asio;
using boost::system::error_code;

bool connection::body_done() const
{
    return !has_body_ || (reader_->done() && body_part_.empty());
}

void connection::on_body_input()
{
    bool broken = false;
    if (fill(broken) == 0)
    {
        if (broken)
        {
            on_caller_gone();
            return;
        }
        wait_readable();
        return;
    }
    stop_awaiting_body();
    core_->handler.body_ready(line_.front()->head().id);
}

/// Ends the wait for more of the body. While it lasts, input is read as soon as it arrives, which
/// would overwrite a part that has been decoded but not copied.
void connection::stop_awaiting_body()
{
    if (std::exchange(awaits_body_, false) && !writing_)
    {
        limit_at_ = base::time_point::max();
    }
}

body_read connection::body_failure(base::error_kind kind)
{
    if (!std::exchange(body_failed_, true))
    {
        count_refusal(kind);
        body_error_ = kind;
        close_after_answer_ = true;
        body_part_ = {};
    }
    return body_read{0, body_state::failed, body_error_};
}

std::size_t connection::copy_body(char* to, std::size_t size)
{
    auto const n = std::min(size, body_part_.size());
    std::memcpy(to, body_part_.data(), n);
    body_part_.remove_prefix(n);
    return n;
}

/// Decodes the framing of the next part of the body. Returns false when more input is needed.
bool connection::decode_body_part()
{
    auto const input = std::string_view(buffer_.data() + begin_, end_ - begin_);
    auto const step = reader_->next(input);
    begin_ += static_cast<std::uint32_t>(step.consumed);
    body_part_ = step.data;
    body_bytes_ += body_part_.size();
    auto const no_progress = step.consumed == 0 && input.size() == http::buffer_bytes;
    if (step.malformed || no_progress)
    {
        body_failure(base::error_kind::bad_request);
    }
    else if (body_bytes_ > core_->settings.max_body_bytes)
    {
        body_failure(base::error_kind::request_too_large);
    }
    return step.consumed > 0;
}

body_read connection::read_body(char* to, std::size_t size)
{
    std::size_t copied = 0;
    bool may_fill = true;
    while (!body_failed_ && !body_done())
    {
        if (!body_part_.empty())
        {
            stop_awaiting_body();
            if (copied == size)
            {
                return body_read{copied, body_state::open};
            }
            copied += copy_body(to + copied, size - copied);
            continue;
        }
        if (begin_ < end_ && decode_body_part())
        {
            continue;
        }
        bool broken = false;
        if (body_failed_ || (may_fill && fill(broken) > 0))
        {
            continue;
        }
        may_fill = false;
        if (broken)
        {
            post_caller_gone();
            return body_read{copied, copied > 0 ? body_state::open : body_state::pending};
        }
        if (copied > 0)
        {
            return body_read{copied, body_state::open};
        }
        send_continue();
        if (!std::exchange(awaits_body_, true))
        {
            limit_at_ = core_->timers.now() + core_->settings.body_idle_limit;
        }
        wait_readable();
        return body_read{0, body_state::pending};
    }
    stop_awaiting_body();
    if (body_failed_)
    {
        return body_read{0, body_state::failed, body_error_};
    }
    if (begin_ == end_)
    {
        buffer_.release();
        wait_readable();
    }
    return body_read{copied, body_state::end};
}

void connection::send_continue()
{
    if (!std::exchange(expects_continue_, false) || head_written_)
    {
        return;
    }
    constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code ec;
    auto const n = socket_.write_some(asio::buffer(text.data(), text.size()), ec);
    if (ec || n != text.size())
    {
        post_caller_gone();
    }
}

} // namespace fuchsiaproxy::callers
