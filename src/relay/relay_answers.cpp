// The relay's interface to upstreams: supplies request bodies to attempts and forwards answers.
#include <algorithm>
#include <utility>

#include "relay_impl.hpp"

namespace fuchsiaproxy::relay
{

using base::attempt_id;
using base::attempt_result;
using base::local_request_id;

namespace
{

// Bytes of one answer that are transferred before other requests are processed. Otherwise a fast
// upstream with a fast caller would monopolise the traffic thread.
constexpr std::size_t turn_bytes = 128UL * 1024;

/// Returns the header fields to send to the caller with an upstream's answer. `Request-Outcome` is
/// always set by the entry; a value from the upstream is removed.
http::fields caller_fields(http::fields const& all, std::string const& assigned_request_id)
{
    auto out = http::end_to_end_fields(all, "Request-Outcome");
    if (!assigned_request_id.empty() && !out.find("Request-Id"))
    {
        out.add("Request-Id", assigned_request_id);
    }
    out.add("Request-Outcome", base::name_of(base::request_outcome::run));
    return out;
}

} // namespace

std::optional<std::uint64_t> relay::impl::body_length(attempt_id attempt)
{
    auto const& request = *find(find(attempt)->request);
    if (request.body.ended())
    {
        return request.body.size();
    }
    return request.head.content_length;
}

upstreams::body_piece relay::impl::body_at(attempt_id id, std::uint64_t offset)
{
    auto* const attempt = find(id);
    auto* const request = attempt == nullptr ? nullptr : find(attempt->request);
    if (request == nullptr)
    {
        return {};
    }
    attempt->offset = offset;
    if (!request->body.ended())
    {
        read_more_body(*request, id);
    }
    return request->body.at(offset);
}

/// Releases the part of the body that no attempt needs any more, and reads more if the buffer has
/// room.
void relay::impl::read_more_body(request_state& request, attempt_id attempt)
{
    auto needed = request.body.size();
    for (auto const it : request.running)
    {
        needed = std::min(needed, find(it)->offset);
    }
    request.body.release_before(needed);
    if (!request.exchange || request.body.failed())
    {
        return;
    }
    auto const grew = request.body.pull(*request.exchange);
    auto const id = request.head.id;
    if (request.body.failed())
    {
        post([this, id]() { body_failed(id); });
    }
    else if (grew && request.running.size() > 1)
    {
        post([this, id]() { notify_attempts(id); });
    }
}

void relay::impl::upstream_notified(attempt_id attempt, upstreams::upstream_notice const& notice)
{
    events_.upstream_notified(attempt, notice);
}

void relay::impl::attempt_head(attempt_id id, upstreams::answer_head const& head)
{
    auto* const attempt = find(id);
    if (attempt == nullptr)
    {
        return;
    }
    attempt->answered = true;
    if (max_buffered_bytes_ > 0)
    {
        attempt->buffered_head = head;
        buffer_answer(id, false);
        return;
    }
    offer_answer(id, head);
    pump(id);
}

/// Moves parts of the answer to its buffer. Returns false if the answer is not complete and more of
/// it has to be buffered before it is offered.
bool relay::impl::buffer_parts(request_state const* request, attempt_state& attempt,
                               bool whole) const
{
    auto const& exchange = request == nullptr ? nullptr : request->exchange;
    auto const waits = exchange && !exchange->in_turn();
    auto const source = attempt.attempt;
    auto& body = attempt.buffered_body;
    while (!attempt.buffered_to_end)
    {
        auto const part = source->part();
        auto const size = part.data.size();
        if (size == 0)
        {
            attempt.buffered_to_end = part.end;
            return part.end;
        }
        auto const fits = waits || whole || body.size() + size <= max_buffered_bytes_;
        if (!fits || (exchange && !exchange->reserve(size) && !whole))
        {
            return !waits;
        }
        body.append(part.data);
        attempt.buffered_to_end = part.end;
        source->consume(size);
    }
    return true;
}

/// Buffers the answer until it is complete, or too large and in turn, and then offers it. `whole`
/// buffers all that has arrived, whatever its size.
void relay::impl::buffer_answer(attempt_id id, bool whole)
{
    auto* const attempt = find(id);
    auto const* const request = find(attempt->request);
    if (!buffer_parts(request, *attempt, whole))
    {
        return; // Continues when the next part arrives or the exchange is in turn.
    }
    auto head = std::move(*attempt->buffered_head);
    attempt->buffered_head.reset();
    auto const has_body = request != nullptr && request->head.method != "HEAD";
    if (attempt->buffered_to_end && has_body && !attempt->buffered_body.empty())
    {
        head.content_length = attempt->buffered_body.size();
    }
    offer_answer(id, head);
    pump(id);
}

void relay::impl::turn_reached(local_request_id id)
{
    auto const* const request = find(id);
    if (request == nullptr)
    {
        return;
    }
    auto const running = request->running;
    for (auto const it : running)
    {
        auto const* const attempt = find(it);
        if (attempt != nullptr && attempt->buffered_head)
        {
            buffer_answer(it, false);
        }
    }
}

/// Reports the answer to the decision logic, and begins to forward it if it is accepted.
void relay::impl::offer_answer(attempt_id id, upstreams::answer_head const& head)
{
    auto const request_id = find(id)->request;
    auto const accepted = events_.attempt_head(id, head.status);
    auto* const request = find(request_id);
    if (accepted && request != nullptr && request->exchange && !request->answered)
    {
        begin_answer(*request, id, head);
    }
}

void relay::impl::begin_answer(request_state& request, attempt_id attempt,
                               upstreams::answer_head const& head)
{
    request.answered = true;
    request.winner = attempt;
    cancel_all(request, attempt);
    auto const& it = *find(attempt);
    it.attempt->forward_until(it.forward_until);
    request.exchange->write_head(callers::answer_head{
        head.status, caller_fields(head.fields, request.assigned_request_id), head.content_length});
}

void relay::impl::attempt_readable(attempt_id attempt)
{
    pump(attempt);
}

/// Forwards the received part of an answer to the caller if the attempt has won, or discards it.
void relay::impl::pump(attempt_id id)
{
    auto* const attempt = find(id);
    if (attempt == nullptr || !attempt->answered)
    {
        return;
    }
    if (attempt->buffered_head)
    {
        buffer_answer(id, false);
        return;
    }
    auto* const request = find(attempt->request);
    if (request != nullptr && request->winner == id && request->exchange)
    {
        pump_to_caller(*request, *attempt);
        return;
    }
    discard_answer(id, *attempt);
}

void relay::impl::pump_to_caller(request_state& request, attempt_state& attempt)
{
    // Writing to the exchange may end both, so they are kept alive here.
    auto const exchange = request.exchange;
    auto const source = attempt.attempt;
    std::size_t moved = 0;
    if (!request.write_pending && !write_buffered(request, attempt))
    {
        return;
    }
    while (!request.write_pending && !request.end_written && !exchange->ended())
    {
        if (moved >= turn_bytes)
        {
            post([this, id = request.winner]() { pump(id); });
            return;
        }
        auto const part = source->part();
        if (part.data.empty() && !part.end)
        {
            request.write_pending = !exchange->flush();
            return;
        }
        moved += part.data.size();
        attempt.part_size = part.data.size();
        request.end_written = part.end;
        request.write_pending = true;
        if (!exchange->write_body(part.data, part.end))
        {
            return;
        }
        request.write_pending = false;
        source->consume(std::exchange(attempt.part_size, 0));
    }
    if (request.end_written && !request.write_pending)
    {
        finish_answer(request);
    }
    else if (exchange->ended())
    {
        // The body did not match its Content-Length, so the exchange closed the connection.
        caller_gone(request.head.id);
    }
}

/// Writes the buffered part of the answer. Returns false if the write has not completed.
bool relay::impl::write_buffered(request_state& request, attempt_state& attempt)
{
    if (attempt.buffered_body.empty() && !attempt.buffered_to_end)
    {
        return true;
    }
    // The exchange may refer to the data until `write_ready`, so the request owns it from here.
    request.buffered_body = std::exchange(attempt.buffered_body, {});
    request.end_written = std::exchange(attempt.buffered_to_end, false);
    request.write_pending = true;
    if (!request.exchange->write_body(request.buffered_body, request.end_written))
    {
        return false;
    }
    request.write_pending = false;
    release_buffered(request);
    return true;
}

/// Releases the buffered part of the answer, which has been written.
void relay::impl::release_buffered(request_state& request)
{
    if (request.exchange)
    {
        request.exchange->release(request.buffered_body.size());
    }
    std::string().swap(request.buffered_body);
}

void relay::impl::discard_answer(attempt_id id, attempt_state& attempt)
{
    auto const source = attempt.attempt;
    std::size_t moved = 0;
    for (auto part = source->part(); !part.data.empty(); part = source->part())
    {
        if (moved >= turn_bytes)
        {
            post([this, id]() { pump(id); });
            return;
        }
        moved += part.data.size();
        source->consume(part.data.size());
    }
}

void relay::impl::write_ready(local_request_id id)
{
    auto* const request = find(id);
    if (request == nullptr || !std::exchange(request->write_pending, false))
    {
        return;
    }
    release_buffered(*request);
    auto* const attempt = find(request->winner);
    if (attempt == nullptr)
    {
        return;
    }
    attempt->attempt->consume(std::exchange(attempt->part_size, 0));
    if (request->end_written)
    {
        finish_answer(*request);
        return;
    }
    pump(request->winner);
}

/// Releases the exchange after the complete answer, and the winner if its end has been reported.
void relay::impl::finish_answer(request_state& request)
{
    request.exchange.reset();
    if (!request.is_running(request.winner))
    {
        attempts_.erase(request.winner);
    }
    erase_if_finished(request.head.id);
}

void relay::impl::attempt_finished(attempt_id id, upstreams::attempt_report const& report)
{
    auto* const attempt = find(id);
    if (attempt == nullptr)
    {
        return;
    }
    auto const request_id = attempt->request;
    if (report.result == attempt_result::completed && attempt->buffered_head)
    {
        // The rest of an answer whose buffering had stopped. It is in the attempt's buffer.
        buffer_answer(id, true);
    }
    auto& request = *find(request_id);
    auto& running = request.running;
    running.erase(std::remove(running.begin(), running.end(), id), running.end());
    request.execution.attempt_ended(report.result);
    answer_failed_body(request);
    auto const is_forwarding = request.winner == id && request.exchange;
    if (is_forwarding && report.result != attempt_result::completed)
    {
        auto const exchange = std::exchange(request.exchange, nullptr);
        request.write_pending = false;
        exchange->abort();
    }
    if (!is_forwarding && request.exchange)
    {
        request.exchange->release(attempt->buffered_body.size());
    }
    if (!is_forwarding || !request.exchange)
    {
        attempts_.erase(id);
    }
    if (!running.empty())
    {
        // The other attempts may have waited for body bytes that this one kept in the buffer.
        post([this, request_id]() { notify_attempts(request_id); });
    }
    erase_if_finished(request_id);
    events_.attempt_finished(id, report);
}

} // namespace fuchsiaproxy::relay
