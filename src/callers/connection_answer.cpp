// Sending of answers by `connection`.
#include <utility>

#include <sys/ioctl.h>

#include <linux/sockios.h>
#include <netinet/tcp.h>

#include "connection.hpp"

namespace fuchsiaproxy::callers
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

// Bytes of an answer that the kernel holds before it has sent them. Without a limit it takes
// several megabytes of each large answer, and a thousand slow readers exhaust the machine. An entry
// with a tenth of a core may not run for 100 ms, in which a link of 10 Mbit/s sends 125 KB.
constexpr int unsent_bytes = 128 * 1024;
using unsent_limit = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

bool never_has_body(unsigned status)
{
    return status / 100 == 1 || status == 204 || status == 304;
}

} // namespace

void connection::write_head(request_exchange& it, answer_head const& head)
{
    if (!is_in_turn(it))
    {
        it.waiting.head = head;
        std::size_t size = 0;
        for (std::size_t n = 0; n < head.fields.size(); ++n)
        {
            size += head.fields[n].name.size() + head.fields[n].value.size();
        }
        count_reserved(it, size);
        return;
    }
    send_head(it, head);
}

void connection::send_head(request_exchange const& it, answer_head const& head)
{
    head_written_ = true;
    // An answer that closes the connection is the last one, so it is not sent while requests that
    // were passed on stand behind it.
    auto const closes = line_.size() == 1 && (stops_after_line() || !body_done());
    close_after_answer_ = close_after_answer_ || closes;
    auto& text = writer_.begin();
    http::append_status_line(text, head.status);
    http::append_fields(text, head.fields);
    if (closes)
    {
        http::append_field(text, "Connection", "close");
    }
    if (it.head().method == "HEAD" || never_has_body(head.status))
    {
        auto const stated = head.status == 204 ? std::nullopt : head.content_length;
        writer_.end_head(http::body_framing::none, stated);
        return;
    }
    if (head.content_length.value_or(unsent_bytes) >= unsent_bytes &&
        !std::exchange(limits_unsent_, true))
    {
        error_code ec;
        socket_.set_option(unsent_limit(unsent_bytes), ec);
    }
    writer_.end_head(head.content_length ? http::body_framing::counted
                                         : http::body_framing::chunked,
                     head.content_length);
}

bool connection::write_body(request_exchange& it, std::string_view data, bool end)
{
    if (!is_in_turn(it))
    {
        it.waiting.data = data;
        it.waiting.end = end;
        it.waiting.write_pending = true;
        return false;
    }
    if (!writer_.put(data, end))
    {
        abort(it);
        return true;
    }
    return write();
}

bool connection::flush(request_exchange& it)
{
    if (!is_in_turn(it))
    {
        it.waiting.write_pending = true;
        return false;
    }
    return write();
}

void connection::answer(request_exchange& it, base::answer_status status,
                        http::fields const& fields, std::string_view body)
{
    write_head(it, answer_head{status.value(), fields, body.size()});
    if (!is_in_turn(it))
    {
        it.waiting.copy = body;
        it.waiting.is_complete = true;
        count_reserved(it, body.size());
        return;
    }
    if (writer_.put(body, true) && write())
    {
        return;
    }
    // `body` is only valid during this call, so the part that was not sent is copied.
    writer_.copy_unsent_data();
}

bool connection::write()
{
    auto const state = writer_.write_to(socket_);
    if (state == http::write_state::blocked)
    {
        writing_ = true;
        undelivered_ = 0;
        made_progress();
        limit_at_ = core_->timers.now() + core_->settings.body_idle_limit;
        wait_writable();
        return false;
    }
    return after_write(state);
}

bool connection::after_write(http::write_state state)
{
    if (state == http::write_state::failed)
    {
        post_caller_gone();
        return false;
    }
    if (writer_.finished())
    {
        finish_answer();
    }
    return true;
}

/// Returns whether the caller has received data since the last call. A socket whose send buffer
/// has grown large becomes writable only after a big part of it was received, which on a slow link
/// takes longer than the limit.
bool connection::made_progress()
{
    int left = 0;
    if (::ioctl(socket_.native_handle(), SIOCOUTQ, &left) != 0)
    {
        return false;
    }
    return static_cast<std::size_t>(left) < std::exchange(undelivered_, left);
}

void connection::wait_writable()
{
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self = shared_from_this()](error_code ec)
                       {
                           if (!ec && self->phase_ == phase::exchange)
                           {
                               self->on_writable();
                           }
                       });
}

void connection::on_writable()
{
    auto const before = writer_.bytes_sent();
    auto const state = writer_.write_to(socket_);
    if (writer_.bytes_sent() != before)
    {
        made_progress();
        limit_at_ = core_->timers.now() + core_->settings.body_idle_limit;
    }
    if (state == http::write_state::blocked)
    {
        wait_writable();
        return;
    }
    writing_ = false;
    limit_at_ = awaits_body_ ? core_->timers.now() + core_->settings.body_idle_limit
                             : base::time_point::max();
    auto const id = line_.front()->head().id;
    if (after_write(state))
    {
        core_->handler.write_ready(id);
    }
}

void connection::finish_answer()
{
    auto const whole = body_done() && !body_failed_;
    end_exchange(*line_.front());
    line_.erase(line_.begin());
    writing_ = awaits_body_ = head_written_ = false;
    runs_beside_others_.reset();
    if (!line_.empty())
    {
        post_resume();
        return;
    }
    has_body_ = false;
    if (close_after_answer_ || !whole)
    {
        linger();
        return;
    }
    await_request();
}

} // namespace fuchsiaproxy::callers
