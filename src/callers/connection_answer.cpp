// Sending of answers by `connection`, and `request_exchange`.
#include <utility>

#include "connection.hpp"

namespace fuchsiaproxy::callers
{
namespace
{

using boost::asio::ip::tcp;
using boost::system::error_code;

bool never_has_body(unsigned status)
{
    return status / 100 == 1 || status == 204 || status == 304;
}

} // namespace

void connection::write_head(answer_head const& head)
{
    head_written_ = true;
    close_after_answer_ = close_after_answer_ || core_->draining || !body_done();
    auto& text = writer_.begin();
    http::append_status_line(text, head.status);
    http::append_fields(text, head.fields);
    if (close_after_answer_)
    {
        http::append_field(text, "Connection", "close");
    }
    if (head_request_ || never_has_body(head.status))
    {
        auto const stated = head.status == 204 ? std::nullopt : head.content_length;
        writer_.end_head(http::body_framing::none, stated);
        return;
    }
    writer_.end_head(head.content_length ? http::body_framing::counted
                                         : http::body_framing::chunked,
                     head.content_length);
}

bool connection::write_body(std::string_view data, bool end)
{
    if (!writer_.put(data, end))
    {
        abort();
        return true;
    }
    return write();
}

bool connection::flush()
{
    return write();
}

void connection::answer(base::answer_status status, http::fields const& fields,
                        std::string_view body)
{
    write_head(answer_head{status.value(), fields, body.size()});
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

void connection::wait_writable()
{
    socket_.async_wait(tcp::socket::wait_write,
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
    auto const id = exchange_->head().id;
    if (after_write(state))
    {
        core_->handler.write_ready(id);
    }
}

void connection::abort()
{
    ++core_->counters.aborted_answers;
    close();
}

void connection::finish_answer()
{
    auto const whole = body_done() && !body_failed_;
    end_exchange();
    if (close_after_answer_ || !whole)
    {
        linger();
        return;
    }
    await_request();
}

void connection::end_exchange()
{
    exchange_->detach();
    exchange_.reset();
    writing_ = false;
    awaits_body_ = false;
    --core_->exchanges;
}

request_exchange::request_exchange(std::shared_ptr<connection> owner, request_head head)
    : owner_(std::move(owner)), head_(std::move(head))
{
}

request_head const& request_exchange::head() const
{
    return head_;
}

bool request_exchange::ended() const
{
    return owner_ == nullptr;
}

void request_exchange::detach()
{
    owner_.reset();
}

// Each function copies `owner_` to keep the connection alive, because the call may end the exchange
// and reset `owner_`.

body_read request_exchange::read_body(char* to, std::size_t size)
{
    auto const owner = owner_;
    return owner ? owner->read_body(to, size) : body_read{0, body_state::pending};
}

void request_exchange::write_head(answer_head const& head)
{
    if (auto const owner = owner_)
    {
        owner->write_head(head);
    }
}

bool request_exchange::write_body(std::string_view data, bool end)
{
    auto const owner = owner_;
    return !owner || owner->write_body(data, end);
}

bool request_exchange::flush()
{
    auto const owner = owner_;
    return !owner || owner->flush();
}

void request_exchange::answer(base::answer_status status, http::fields const& fields,
                              std::string_view body)
{
    if (auto const owner = owner_)
    {
        owner->answer(status, fields, body);
    }
}

void request_exchange::abort()
{
    if (auto const owner = owner_)
    {
        owner->abort();
    }
}

} // namespace fuchsiaproxy::callers
