#include "fuchsiaproxy/relay/relay.hpp"

#include <utility>

#include "relay_impl.hpp"

namespace fuchsiaproxy::relay
{

using base::attempt_id;
using base::local_request_id;

namespace
{

void add_error_fields(base::error_reply const& it, http::fields& to)
{
    to.add("Content-Type", "application/json");
    to.add("Request-Outcome", base::name_of(it.outcome));
}

std::string error_body(base::error_reply const& it)
{
    return "{\"error\":\"" + std::string(it.name) + "\"}";
}

} // namespace

request_state* relay::impl::find(local_request_id request)
{
    auto const it = requests_.find(request);
    return it == requests_.end() ? nullptr : it->second.get();
}

attempt_state* relay::impl::find(attempt_id attempt)
{
    auto const it = attempts_.find(attempt);
    return it == attempts_.end() ? nullptr : &it->second;
}

void relay::impl::report_not_sent(attempt_id attempt)
{
    post([this, attempt]() { events_.attempt_finished(attempt, upstreams::attempt_report{}); });
}

void relay::impl::start_attempt(attempt_parameters const& order)
{
    auto* const request = find(order.request);
    if (request == nullptr || !request->exchange || request->answered ||
        !request->body.buffered_from_start() || request->body.failed())
    {
        report_not_sent(order.attempt);
        return;
    }
    upstreams::attempt_request out;
    out.id = order.attempt;
    out.at = order.at;
    out.method = request->head.method;
    out.target = request->head.target;
    out.fields = http::without_fields(request->head.fields, order.removed);
    for (std::size_t n = 0; n < order.added.size(); ++n)
    {
        auto const it = order.added[n];
        if (request->head.fields.find(it.name) && !http::is_any_field_name(it.name, order.removed))
        {
            continue;
        }
        out.fields.add(it.name, it.value);
        if (http::same_token(it.name, "Request-Id"))
        {
            request->assigned_request_id = it.value;
        }
    }
    out.deadline = order.deadline;
    out.idempotent = order.idempotent;
    out.shed_statuses = order.shed_statuses;
    out.body = request->head.content_length == 0U ? nullptr : this;
    request->running.push_back(order.attempt);
    request->execution.attempt_started();
    attempts_[order.attempt].request = order.request;
    if (order.ends_at_deadline)
    {
        auto const& head = request->head;
        attempts_[order.attempt].forward_until = std::max(
            order.deadline, head.time_left ? head.arrived + *head.time_left : order.deadline);
    }
    auto started = client_.start(std::move(out), *this);
    attempts_[order.attempt].attempt = std::move(started);
}

void relay::impl::cancel_attempt(attempt_id attempt)
{
    auto const* const it = find(attempt);
    if (it != nullptr && it->attempt)
    {
        it->attempt->cancel();
    }
}

void relay::impl::cancel_all(request_state const& request, attempt_id except)
{
    for (auto const it : request.running)
    {
        if (it != except)
        {
            cancel_attempt(it);
        }
    }
}

void relay::impl::answer(local_request_id id, base::answer_status status,
                         http::fields const& fields, std::string_view body)
{
    auto* const request = find(id);
    if (request == nullptr || !request->exchange || std::exchange(request->answered, true))
    {
        return;
    }
    auto const exchange = std::exchange(request->exchange, nullptr);
    exchange->answer(status, fields, body);
    erase_if_finished(id);
}

base::error_reply relay::impl::answer_error(local_request_id id, base::error_kind kind,
                                            http::fields fields)
{
    auto const* const request = find(id);
    auto const proof = request == nullptr ? std::nullopt : request->execution.proof();
    auto const reply = base::reply_for(kind, proof);
    add_error_fields(reply, fields);
    answer(id, reply.status, fields, error_body(reply));
    return reply;
}

bool relay::impl::can_attempt(local_request_id id) const
{
    auto const it = requests_.find(id);
    return it != requests_.end() && it->second->exchange && !it->second->answered &&
           it->second->body.buffered_from_start() && !it->second->body.failed();
}

std::size_t relay::impl::requests() const
{
    return requests_.size();
}

bool relay::impl::may_run_beside_others(callers::request_head const& head) const
{
    return head.kind == callers::request_kind::forward && events_.may_run_beside_others(head);
}

void relay::impl::request_arrived(std::shared_ptr<callers::exchange> it)
{
    auto const id = it->head().id;
    auto const& request =
        *requests_.emplace(id, std::make_unique<request_state>(std::move(it), buffers_))
             .first->second;
    if (request.head.kind == callers::request_kind::look_up || request.head.content_length == 0U)
    {
        announce(*find(id));
        return;
    }
    body_ready(id);
}

void relay::impl::announce(request_state& request)
{
    request.announced = true;
    auto const exchange = request.exchange; // Keeps the head alive during the call.
    events_.request_arrived(exchange->head());
}

void relay::impl::body_ready(local_request_id id)
{
    auto* const request = find(id);
    if (request == nullptr || !request->exchange)
    {
        return;
    }
    auto const grew = request->body.pull(*request->exchange);
    if (request->body.failed())
    {
        body_failed(id);
        return;
    }
    if (!request->announced)
    {
        if (request->body.ended() || request->body.full())
        {
            announce(*request);
        }
        return;
    }
    if (grew)
    {
        notify_attempts(id);
    }
}

/// Notifies the request's attempts that more of the body may be available.
void relay::impl::notify_attempts(local_request_id id)
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
        if (attempt != nullptr && attempt->attempt)
        {
            attempt->attempt->body_ready();
        }
    }
}

/// Fails a request whose body cannot be completed. What its answer may promise is known when its
/// attempts have ended.
void relay::impl::body_failed(local_request_id id)
{
    auto* const request = find(id);
    if (request == nullptr || !request->exchange || request->answers_failed_body)
    {
        return;
    }
    cancel_all(*request, attempt_id{});
    if (std::exchange(request->answered, true))
    {
        std::exchange(request->exchange, nullptr)->abort();
    }
    else
    {
        request->answers_failed_body = true;
        answer_failed_body(*request);
    }
    report_caller_gone(*request);
    erase_if_finished(id);
}

void relay::impl::answer_failed_body(request_state& request)
{
    if (!request.answers_failed_body || !request.running.empty() || !request.exchange)
    {
        return;
    }
    auto const exchange = std::exchange(request.exchange, nullptr);
    auto const kind = request.body.error();
    auto const reply = base::reply_for(kind, request.execution.proof());
    events_.body_failed(request.head, kind, reply);
    http::fields fields;
    add_error_fields(reply, fields);
    exchange->answer(reply.status, fields, error_body(reply));
}

void relay::impl::report_caller_gone(request_state& request)
{
    if (request.announced && !std::exchange(request.caller_gone_reported, true))
    {
        events_.caller_gone(request.head.id);
    }
}

void relay::impl::caller_gone(local_request_id id)
{
    auto* const request = find(id);
    if (request == nullptr)
    {
        return;
    }
    request->exchange.reset();
    request->write_pending = false;
    if (!request->announced)
    {
        erase_if_finished(id);
        return;
    }
    if (request->answered || !request->body_complete())
    {
        // The rest of the answer has no receiver, or the rest of the body will not arrive.
        cancel_all(*request, attempt_id{});
    }
    if (!request->is_running(request->winner))
    {
        attempts_.erase(request->winner);
    }
    report_caller_gone(*request);
    erase_if_finished(id);
}

/// Removes a request that has neither an exchange nor a running attempt.
void relay::impl::erase_if_finished(local_request_id id)
{
    auto const it = requests_.find(id);
    if (it != requests_.end() && !it->second->exchange && it->second->running.empty())
    {
        requests_.erase(it);
    }
}

relay::relay(boost::asio::io_context& io, http::buffer_pool& buffers, upstreams::client& client,
             relay_events& events, std::size_t max_buffered_bytes)
    : impl_(std::make_unique<impl>(io, buffers, client, events, max_buffered_bytes))
{
}

relay::~relay() = default;

void relay::start_attempt(attempt_parameters const& order)
{
    impl_->start_attempt(order);
}

void relay::cancel_attempt(attempt_id attempt)
{
    impl_->cancel_attempt(attempt);
}

void relay::answer(local_request_id request, base::answer_status status, http::fields const& fields,
                   std::string_view body)
{
    impl_->answer(request, status, fields, body);
}

base::error_reply relay::answer_error(local_request_id request, base::error_kind kind,
                                      http::fields const& added)
{
    return impl_->answer_error(request, kind, added);
}

bool relay::can_attempt(local_request_id request) const
{
    return impl_->can_attempt(request);
}

std::size_t relay::requests() const
{
    return impl_->requests();
}

bool relay::may_run_beside_others(callers::request_head const& head) const
{
    return impl_->may_run_beside_others(head);
}

void relay::turn_reached(local_request_id request)
{
    impl_->turn_reached(request);
}

void relay::request_arrived(std::shared_ptr<callers::exchange> it)
{
    impl_->request_arrived(std::move(it));
}

void relay::body_ready(local_request_id request)
{
    impl_->body_ready(request);
}

void relay::write_ready(local_request_id request)
{
    impl_->write_ready(request);
}

void relay::caller_gone(local_request_id request)
{
    impl_->caller_gone(request);
}

} // namespace fuchsiaproxy::relay
