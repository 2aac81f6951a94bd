// The side of the relay that faces the upstreams: bodies for attempts, and answers.
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

// Bytes that one answer may move before other requests get a turn. A fast upstream and a fast
// caller would otherwise keep the traffic thread to themselves.
constexpr std::size_t turn_bytes = 128UL * 1024;

/// Returns the fields of an upstream's answer for the caller. What the entry says of the outcome
/// is never taken from an upstream.
http::fields for_caller(http::fields const& all, std::string const& given_id)
{
    auto out = http::end_to_end(all, "Request-Outcome");
    if (!given_id.empty() && !out.find("Request-Id"))
    {
        out.add("Request-Id", given_id);
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
        pull_for(*request, id);
    }
    return request->body.at(offset);
}

/// Reads more of the body if the attempts have left room for it.
void relay::impl::pull_for(request_state& request, attempt_id attempt)
{
    auto needed = request.body.size();
    for (auto const it : request.running)
    {
        needed = std::min(needed, find(it)->offset);
    }
    request.body.make_room(needed);
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
        post([this, id]() { wake_attempts(id); });
    }
}

void relay::impl::attempt_head(attempt_id id, upstreams::answer_head const& head)
{
    auto* const attempt = find(id);
    if (attempt == nullptr)
    {
        return;
    }
    attempt->answered = true;
    if (held_bytes_ > 0)
    {
        attempt->held_head = head;
        hold(id);
        return;
    }
    offer(id, head);
    pump(id);
}

/// Keeps the answer back until it is complete or longer than is held, and then offers it.
void relay::impl::hold(attempt_id id)
{
    auto* const attempt = find(id);
    auto const source = attempt->attempt;
    auto& body = attempt->held_body;
    auto part = source->part();
    while (!part.data.empty() && body.size() + part.data.size() <= held_bytes_)
    {
        body.append(part.data);
        attempt->held_whole = part.end;
        source->consume(part.data.size());
        if (part.end)
        {
            break;
        }
        part = source->part();
    }
    attempt->held_whole = attempt->held_whole || (part.end && part.data.empty());
    if (!attempt->held_whole && part.data.empty())
    {
        return; // The next part has not arrived.
    }
    auto head = std::move(*attempt->held_head);
    attempt->held_head.reset();
    auto const* const request = find(attempt->request);
    auto const has_body = request != nullptr && request->head.method != "HEAD";
    if (attempt->held_whole && has_body && !body.empty())
    {
        head.content_length = body.size();
    }
    offer(id, head);
    pump(id);
}

/// Asks whether the answer is to be passed on, and begins to.
void relay::impl::offer(attempt_id id, upstreams::answer_head const& head)
{
    auto const request_id = find(id)->request;
    auto const accepted = events_.attempt_head(id, head.status);
    auto* const request = find(request_id);
    if (accepted && request != nullptr && request->exchange && !request->answered)
    {
        pass_on(*request, id, head);
    }
}

void relay::impl::pass_on(request_state& request, attempt_id attempt,
                          upstreams::answer_head const& head)
{
    request.answered = true;
    request.winner = attempt;
    cancel_all(request, attempt);
    request.exchange->write_head(callers::answer_head{
        head.status, for_caller(head.fields, request.given_id), head.content_length});
}

void relay::impl::attempt_readable(attempt_id attempt)
{
    pump(attempt);
}

/// Moves what has arrived of an answer, to the caller or to nowhere.
void relay::impl::pump(attempt_id id)
{
    auto* const attempt = find(id);
    if (attempt == nullptr || !attempt->answered)
    {
        return;
    }
    if (attempt->held_head)
    {
        hold(id);
        return;
    }
    auto* const request = find(attempt->request);
    if (request != nullptr && request->winner == id && request->exchange)
    {
        pump_to_caller(*request, *attempt);
        return;
    }
    drop_answer(id, *attempt);
}

void relay::impl::pump_to_caller(request_state& request, attempt_state& attempt)
{
    // Both may end while the exchange is written to.
    auto const exchange = request.exchange;
    auto const source = attempt.attempt;
    std::size_t moved = 0;
    if (!request.writing && !write_held(request, attempt))
    {
        return;
    }
    while (!request.writing && !request.end_written && !exchange->ended())
    {
        if (moved >= turn_bytes)
        {
            post([this, id = request.winner]() { pump(id); });
            return;
        }
        auto const part = source->part();
        if (part.data.empty() && !part.end)
        {
            request.writing = !exchange->flush();
            return;
        }
        moved += part.data.size();
        attempt.part_size = part.data.size();
        request.end_written = part.end;
        request.writing = true;
        if (!exchange->write_body(part.data, part.end))
        {
            return;
        }
        request.writing = false;
        source->consume(std::exchange(attempt.part_size, 0));
    }
    if (request.end_written && !request.writing)
    {
        release_winner(request);
    }
    else if (exchange->ended())
    {
        // The parts did not add up to the stated size, so the caller's connection was cut.
        caller_gone(request.head.id);
    }
}

/// Writes the part of the answer that was held back. Returns false when the exchange holds it.
bool relay::impl::write_held(request_state& request, attempt_state& attempt)
{
    if (attempt.held_body.empty() && !attempt.held_whole)
    {
        return true;
    }
    // The exchange may hold the data until `write_ready`, so it moves to the request.
    request.held_body = std::exchange(attempt.held_body, {});
    request.end_written = std::exchange(attempt.held_whole, false);
    request.writing = true;
    if (!request.exchange->write_body(request.held_body, request.end_written))
    {
        return false;
    }
    request.writing = false;
    return true;
}

void relay::impl::drop_answer(attempt_id id, attempt_state& attempt)
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
    if (request == nullptr || !std::exchange(request->writing, false))
    {
        return;
    }
    auto* const attempt = find(request->winner);
    if (attempt == nullptr)
    {
        return;
    }
    attempt->attempt->consume(std::exchange(attempt->part_size, 0));
    if (request->end_written)
    {
        release_winner(*request);
        return;
    }
    pump(request->winner);
}

/// The answer is with the caller: forgets the exchange, and the winner if it has been reported.
void relay::impl::release_winner(request_state& request)
{
    request.exchange.reset();
    if (!request.is_running(request.winner))
    {
        attempts_.erase(request.winner);
    }
    settle(request.head.id);
}

void relay::impl::attempt_finished(attempt_id id, upstreams::attempt_report const& report)
{
    auto* const attempt = find(id);
    if (attempt == nullptr)
    {
        return;
    }
    auto const request_id = attempt->request;
    auto& request = *find(request_id);
    auto& running = request.running;
    running.erase(std::remove(running.begin(), running.end(), id), running.end());
    auto const passes_on = request.winner == id && request.exchange;
    if (passes_on && report.result != attempt_result::completed)
    {
        auto const exchange = std::exchange(request.exchange, nullptr);
        request.writing = false;
        exchange->abort();
    }
    if (!passes_on || !request.exchange)
    {
        attempts_.erase(id);
    }
    if (!running.empty())
    {
        // The others may have waited for this attempt to make room for more of the body.
        post([this, request_id]() { wake_attempts(request_id); });
    }
    settle(request_id);
    events_.attempt_finished(id, report);
}

} // namespace fuchsiaproxy::relay
