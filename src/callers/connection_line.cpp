// The line of open requests of a `connection`: reading ahead, turns, and ends before an answer.
#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "connection.hpp"

namespace fuchsiaproxy::callers
{

namespace asio = boost::asio;

bool connection::is_in_turn(request_exchange const& it) const
{
    return !line_.empty() && line_.front().get() == &it && !resume_posted_;
}

bool connection::reserve(request_exchange& it, std::size_t bytes)
{
    auto const& limits = core_->settings;
    auto const first = line_.front().get() == &it;
    auto const shared_limit = first ? limits.max_reserved : limits.max_reserved / 2;
    if (core_->reserved + bytes > shared_limit ||
        (!first && reserved_ + bytes > limits.max_reserved_per_connection))
    {
        return false;
    }
    count_reserved(it, bytes);
    return true;
}

/// Reserves memory without regard to the bounds, for small answers that have to be kept.
void connection::count_reserved(request_exchange& it, std::size_t bytes)
{
    it.reserved += bytes;
    reserved_ += bytes;
    core_->reserved += bytes;
}

void connection::release(request_exchange& it, std::size_t bytes)
{
    auto const released = std::min(bytes, it.reserved);
    it.reserved -= released;
    reserved_ -= released;
    core_->reserved -= released;
}

bool connection::is_behind_others() const
{
    return !line_.empty();
}

/// Returns whether no request is read any more behind those that are open.
bool connection::stops_after_line() const
{
    return close_after_answer_ || core_->draining;
}

bool connection::runs_beside_others()
{
    if (!runs_beside_others_)
    {
        runs_beside_others_ = !has_body_ && !line_.empty() &&
                              core_->handler.may_run_beside_others(line_.front()->head());
    }
    return *runs_beside_others_;
}

bool connection::is_at_bound() const
{
    auto const& limits = core_->settings;
    return line_.size() >= limits.max_open_requests ||
           reserved_ >= limits.max_reserved_per_connection ||
           core_->reserved >= limits.max_reserved / 2;
}

/// Returns whether a request behind the open ones may be read. All open requests run beside others
/// if the first one does, because the others were read behind it.
bool connection::may_read_ahead()
{
    if (phase_ != phase::exchange || line_.empty() || head_waits_ || stops_after_line() ||
        !runs_beside_others())
    {
        return false;
    }
    if (is_at_bound())
    {
        ++core_->counters.read_ahead_stopped;
        return false;
    }
    return true;
}

/// Reads requests that have arrived behind the open ones.
void connection::read_ahead()
{
    if (!may_read_ahead())
    {
        has_unread_input_ = runs_beside_others();
        return;
    }
    if (!buffer_)
    {
        buffer_ = core_->buffers.take();
        begin_ = end_ = scanned_ = 0;
    }
    bool broken = false;
    if (!buffer_ || fill(broken) == 0)
    {
        has_unread_input_ = true;
        return;
    }
    process_input();
}

/// Posts a call of `resume`, because the functions of an exchange must not call the handler.
void connection::post_resume()
{
    if (!std::exchange(resume_posted_, true))
    {
        asio::post(core_->io, [self = shared_from_this()]() { self->resume(); });
    }
}

/// Continues after the end of an exchange: with the answer that is now in turn, and with input that
/// was left unread.
void connection::resume()
{
    resume_posted_ = false;
    if (phase_ == phase::lingering || phase_ == phase::closed || core_->closing)
    {
        return;
    }
    if (!line_.empty())
    {
        begin_turn();
    }
    if (phase_ == phase::lingering || phase_ == phase::closed)
    {
        return;
    }
    has_unread_input_ = false;
    process_input();
}

void connection::begin_turn()
{
    auto const it = line_.front();
    if (it->aborted)
    {
        line_.clear();
        linger();
        return;
    }
    if (it->waiting.head)
    {
        send_waiting(*it);
    }
    else
    {
        core_->handler.turn_reached(it->head().id);
    }
}

/// Sends the answer, or the beginning of one, that has waited for its turn.
void connection::send_waiting(request_exchange& it)
{
    auto const id = it.head().id;
    auto const waiting = std::exchange(it.waiting, {});
    send_head(it, *waiting.head);
    if (waiting.is_complete)
    {
        if (writer_.put(waiting.copy, true) && !write())
        {
            writer_.copy_unsent_data();
        }
        return;
    }
    if (!waiting.write_pending)
    {
        return;
    }
    if (!writer_.put(waiting.data, waiting.end))
    {
        auto const ids = open_requests();
        ++core_->counters.aborted_answers;
        close();
        post_callers_gone(ids);
    }
    else if (write())
    {
        core_->handler.write_ready(id);
    }
}

void connection::abort(request_exchange& it)
{
    ++core_->counters.aborted_answers;
    auto const at = std::find_if(line_.begin(), line_.end(),
                                 [&](auto const& other) { return other.get() == &it; });
    drop_behind(static_cast<std::size_t>(at - line_.begin()) + 1);
    if (at == line_.begin())
    {
        close();
        return;
    }
    // The answers to earlier requests are sent first; the caller then sees the end of the
    // connection instead of this one.
    it.aborted = true;
    it.waiting = {};
    close_after_answer_ = true;
    end_exchange(it);
}

/// Cancels the requests of the line from the one at `first` on.
void connection::drop_behind(std::size_t first)
{
    std::vector<base::local_request_id> ids;
    while (line_.size() > first)
    {
        if (!line_.back()->aborted)
        {
            ids.insert(ids.begin(), line_.back()->head().id);
            end_exchange(*line_.back());
        }
        line_.pop_back();
    }
    post_callers_gone(ids);
}

void connection::post_callers_gone(std::vector<base::local_request_id> const& ids)
{
    if (ids.empty())
    {
        return;
    }
    asio::post(core_->io,
               [core = core_, ids]()
               {
                   for (auto const id : ids)
                   {
                       if (!core->closing)
                       {
                           core->handler.caller_gone(id);
                       }
                   }
               });
}

std::vector<base::local_request_id> connection::open_requests() const
{
    std::vector<base::local_request_id> ids;
    for (auto const& it : line_)
    {
        if (!it->ended())
        {
            ids.push_back(it->head().id);
        }
    }
    return ids;
}

void connection::end_exchange(request_exchange& it)
{
    if (it.ended())
    {
        return;
    }
    release(it, it.reserved);
    it.detach();
    --core_->exchanges;
}

} // namespace fuchsiaproxy::callers
