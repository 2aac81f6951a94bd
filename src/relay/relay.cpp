#include "fuchsiaproxy/relay/relay.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include <boost/asio/post.hpp>

#include "request_body.hpp"

namespace fuchsiaproxy::relay
{
namespace
{

using base::attempt_id;
using base::attempt_result;
using base::local_request_id;

/// A caller's request.
struct request_state
{
    request_state(std::shared_ptr<callers::exchange> it, http::buffer_pool& buffers)
        : exchange(std::move(it)), origin(exchange), head(origin->head()), body(buffers)
    {
    }

    /// Null once the answer is with the caller, or the caller is gone.
    std::shared_ptr<callers::exchange> exchange;
    /// Keeps the head for attempts that outlive the exchange.
    std::shared_ptr<callers::exchange> origin;
    callers::request_head const& head;
    request_body body;
    /// Attempts that have not been reported.
    std::vector<attempt_id> running;

    bool is_running(attempt_id it) const
    {
        return std::find(running.begin(), running.end(), it) != running.end();
    }

    bool body_complete() const
    {
        return head.content_length == 0U || body.ended();
    }

    /// The attempt whose answer is passed on.
    attempt_id winner{};
    bool announced = false;
    /// The relay's side has answered, or begun to.
    bool answered = false;
    /// The exchange holds a part of the winner's answer.
    bool writing = false;
    bool end_written = false;
};

struct attempt_state
{
    local_request_id request;
    std::shared_ptr<upstreams::attempt> attempt;
    /// The attempt needs no byte of the request's body before this one.
    std::uint64_t offset = 0;
    /// Size of the part that the exchange holds.
    std::size_t part_size = 0;
    bool answered = false;
};

/// Returns the fields of an upstream's answer for the caller. What the entry says of the outcome
/// is never taken from an upstream.
http::fields for_caller(http::fields const& all)
{
    http::fields out;
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        auto const it = all[n];
        if (!http::same_token(it.name, "Request-Outcome"))
        {
            out.add(it.name, it.value);
        }
    }
    out.add("Request-Outcome", base::name_of(base::request_outcome::run));
    return out;
}

} // namespace

class relay::impl final : public upstreams::attempt_events, public upstreams::body_source
{
public:
    impl(boost::asio::io_context& io, http::buffer_pool& buffers, upstreams::client& client,
         relay_events& events)
        : io_(io), buffers_(buffers), client_(client), events_(events),
          alive_(std::make_shared<bool>(true))
    {
    }

    // Decisions.
    void start_attempt(attempt_order const& order);
    void cancel_attempt(attempt_id attempt);
    void answer(local_request_id request, unsigned status, http::fields const& fields,
                std::string_view body);
    bool can_attempt(local_request_id request) const;
    std::size_t requests() const;

    // Caller's side.
    void request_arrived(std::shared_ptr<callers::exchange> it);
    void body_ready(local_request_id request);
    void write_ready(local_request_id request);
    void caller_gone(local_request_id request);

    // Upstream's side.
    void attempt_head(attempt_id attempt, upstreams::answer_head const& head) override;
    void attempt_readable(attempt_id attempt) override;
    void attempt_finished(attempt_id attempt, upstreams::attempt_report const& report) override;
    std::optional<std::uint64_t> body_length(attempt_id attempt) override;
    upstreams::body_piece body_at(attempt_id attempt, std::uint64_t offset) override;

private:
    request_state* find(local_request_id request);
    attempt_state* find(attempt_id attempt);
    template <class Call>
    void post(Call call);

    void refuse_attempt(attempt_id attempt);
    void announce(request_state& request);
    void wake_attempts(local_request_id id);
    void body_failed(local_request_id id);
    void pull_for(request_state& request, attempt_id attempt);
    void pass_on(request_state& request, attempt_id attempt, upstreams::answer_head const& head);
    void cancel_all(request_state const& request, attempt_id except);
    void pump(attempt_id attempt);
    void pump_to_caller(request_state& request, attempt_state& attempt);
    void drop_answer(attempt_state& attempt);
    void release_winner(request_state& request);
    void settle(local_request_id request);

    boost::asio::io_context& io_;
    http::buffer_pool& buffers_;
    upstreams::client& client_;
    relay_events& events_;
    std::unordered_map<local_request_id, std::unique_ptr<request_state>> requests_;
    std::unordered_map<attempt_id, attempt_state> attempts_;
    /// Lets posted calls find out that the relay is gone.
    std::shared_ptr<bool> alive_;
};

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

template <class Call>
void relay::impl::post(Call call)
{
    boost::asio::post(io_,
                      [weak = std::weak_ptr<bool>(alive_), call]()
                      {
                          if (weak.lock())
                          {
                              call();
                          }
                      });
}

void relay::impl::refuse_attempt(attempt_id attempt)
{
    post([this, attempt]() { events_.attempt_finished(attempt, upstreams::attempt_report{}); });
}

void relay::impl::start_attempt(attempt_order const& order)
{
    auto* const request = find(order.request);
    if (request == nullptr || !request->exchange || request->answered ||
        !request->body.is_whole() || request->body.failed())
    {
        refuse_attempt(order.attempt);
        return;
    }
    upstreams::attempt_request out;
    out.id = order.attempt;
    out.at = order.at;
    out.method = request->head.method;
    out.target = request->head.target;
    out.fields = request->head.fields;
    for (std::size_t n = 0; n < order.added.size(); ++n)
    {
        out.fields.add(order.added[n].name, order.added[n].value);
    }
    out.deadline = order.deadline;
    out.idempotent = order.idempotent;
    out.shed_statuses = order.shed_statuses;
    out.body = request->head.content_length == 0U ? nullptr : this;
    request->running.push_back(order.attempt);
    attempts_[order.attempt].request = order.request;
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

void relay::impl::answer(local_request_id id, unsigned status, http::fields const& fields,
                         std::string_view body)
{
    auto* const request = find(id);
    if (request == nullptr || !request->exchange || std::exchange(request->answered, true))
    {
        return;
    }
    auto const exchange = std::exchange(request->exchange, nullptr);
    exchange->answer(status, fields, body);
    settle(id);
}

bool relay::impl::can_attempt(local_request_id id) const
{
    auto const it = requests_.find(id);
    return it != requests_.end() && it->second->exchange && !it->second->answered &&
           it->second->body.is_whole() && !it->second->body.failed();
}

std::size_t relay::impl::requests() const
{
    return requests_.size();
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
    auto const exchange = request.exchange; // The head must outlive the call.
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
        wake_attempts(id);
    }
}

/// Lets the attempts that wait for more of the body ask for it again.
void relay::impl::wake_attempts(local_request_id id)
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

/// Ends a request whose body cannot be completed. Nothing has run before it was announced; later
/// the upstream may act upon what it has got.
void relay::impl::body_failed(local_request_id id)
{
    auto* const request = find(id);
    if (request == nullptr || !request->exchange)
    {
        return;
    }
    auto const announced = request->announced;
    auto const& row = base::answer_for(request->body.error());
    auto const outcome = announced ? base::request_outcome::may_have_run : row.outcome;
    auto const exchange = std::exchange(request->exchange, nullptr);
    cancel_all(*request, attempt_id{});
    if (std::exchange(request->answered, true))
    {
        exchange->abort();
    }
    else
    {
        http::fields fields;
        fields.add("Content-Type", "application/json");
        fields.add("Request-Outcome", base::name_of(outcome));
        exchange->answer(row.http_status, fields, "{\"error\":\"" + std::string(row.name) + "\"}");
    }
    settle(id);
    if (announced)
    {
        events_.caller_gone(id);
    }
}

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
    auto const request_id = attempt->request;
    auto const accepted = events_.attempt_head(id, head.status);
    auto* const request = find(request_id);
    if (accepted && request != nullptr && request->exchange && !request->answered)
    {
        pass_on(*request, id, head);
    }
    pump(id);
}

void relay::impl::pass_on(request_state& request, attempt_id attempt,
                          upstreams::answer_head const& head)
{
    request.answered = true;
    request.winner = attempt;
    cancel_all(request, attempt);
    request.exchange->write_head(
        callers::answer_head{head.status, for_caller(head.fields), head.content_length});
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
    auto* const request = find(attempt->request);
    if (request != nullptr && request->winner == id && request->exchange)
    {
        pump_to_caller(*request, *attempt);
        return;
    }
    drop_answer(*attempt);
}

void relay::impl::pump_to_caller(request_state& request, attempt_state& attempt)
{
    // Both may end while the exchange is written to.
    auto const exchange = request.exchange;
    auto const source = attempt.attempt;
    while (!request.writing && !request.end_written && !exchange->ended())
    {
        auto const part = source->part();
        if (part.data.empty() && !part.end)
        {
            request.writing = !exchange->flush();
            return;
        }
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

void relay::impl::drop_answer(attempt_state& attempt)
{
    auto const source = attempt.attempt;
    for (auto part = source->part(); !part.data.empty(); part = source->part())
    {
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

void relay::impl::caller_gone(local_request_id id)
{
    auto* const request = find(id);
    if (request == nullptr)
    {
        return;
    }
    request->exchange.reset();
    request->writing = false;
    if (!request->announced)
    {
        settle(id);
        return;
    }
    if (request->answered || !request->body_complete())
    {
        // The rest of the answer is of no use to anybody, and an unfinished body will not come.
        cancel_all(*request, attempt_id{});
    }
    if (!request->is_running(request->winner))
    {
        attempts_.erase(request->winner);
    }
    settle(id);
    events_.caller_gone(id);
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

/// Forgets a request that has neither an exchange nor a running attempt.
void relay::impl::settle(local_request_id id)
{
    auto const it = requests_.find(id);
    if (it != requests_.end() && !it->second->exchange && it->second->running.empty())
    {
        requests_.erase(it);
    }
}

relay::relay(boost::asio::io_context& io, http::buffer_pool& buffers, upstreams::client& client,
             relay_events& events)
    : impl_(std::make_unique<impl>(io, buffers, client, events))
{
}

relay::~relay() = default;

void relay::start_attempt(attempt_order const& order)
{
    impl_->start_attempt(order);
}

void relay::cancel_attempt(attempt_id attempt)
{
    impl_->cancel_attempt(attempt);
}

void relay::answer(local_request_id request, unsigned status, http::fields const& fields,
                   std::string_view body)
{
    impl_->answer(request, status, fields, body);
}

void relay::answer_error(local_request_id request, base::error_kind kind, http::fields const& added)
{
    auto const& row = base::answer_for(kind);
    auto fields = added;
    fields.add("Content-Type", "application/json");
    fields.add("Request-Outcome", base::name_of(row.outcome));
    impl_->answer(request, row.http_status, fields,
                  "{\"error\":\"" + std::string(row.name) + "\"}");
}

bool relay::can_attempt(local_request_id request) const
{
    return impl_->can_attempt(request);
}

std::size_t relay::requests() const
{
    return impl_->requests();
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
