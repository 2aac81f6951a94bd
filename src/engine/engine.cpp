#include "fuchsiaproxy/engine/engine.hpp"

#include <algorithm>
#include <utility>

#include "classify.hpp"

namespace fuchsiaproxy::engine
{
namespace
{

// Answers with this status or a higher one are failures and do not count as served on time.
constexpr unsigned first_failure_status = 500;

bool leaves_outcome_unknown(base::attempt_result result)
{
    switch (result)
    {
    case base::attempt_result::broken:
    case base::attempt_result::timed_out:
    case base::attempt_result::cancelled:
    case base::attempt_result::stopped:
        return true;
    case base::attempt_result::completed:
    case base::attempt_result::shed:
    case base::attempt_result::connect_failed:
    case base::attempt_result::not_sent:
    case base::attempt_result::cancelled_before_start:
        break;
    }
    return false;
}

// Returns the result of a run that ended without an answer.
requests::run_result unanswered_result(bool unknown)
{
    return unknown ? requests::run_result::unknown : requests::run_result::not_run;
}

} // namespace

engine::engine(engine_settings const& settings, messages::entry_info const& self,
               std::uint64_t seed, base::time_point now)
    : settings_(settings), fleet_(settings.fleet, self, now),
      claims_({self.id, self.incarnation}, settings.claims, now),
      shares_({self.id, self.incarnation}, self.zone),
      dispatcher_({self.id, self.region, self.zone}, seed, shares_, settings.routing),
      last_event_(now)
{
    dispatcher_.set_entries(fleet_.live_entries(), now);
}

void engine::detect_pause(base::time_point now)
{
    // `tick` is called four times per heartbeat period. After a pause of this length other entries
    // may have declared this one lost, and the ownership of its upstreams may have changed.
    auto const longest_pause = settings_.fleet.lost_after - settings_.fleet.heartbeat_period;
    if (now - last_event_ >= longest_pause)
    {
        dispatcher_.on_resumed(now);
    }
    last_event_ = now;
}

void engine::on_request(arrived_request const& it, base::time_point now, engine_actions& out)
{
    detect_pause(now);
    if (!adoption_.ready())
    {
        refuse(it.id, base::error_kind::not_ready, out);
        return;
    }
    auto const service = services_.find(it.service);
    if (service == services_.end())
    {
        refuse(it.id, base::error_kind::unknown_service, out);
        return;
    }
    auto const& declared = *service->second.declared;
    request_state state;
    state.service = it.service;
    state.request_class = class_of(declared, it.method, it.target);
    auto const& request_class = declared.classes[state.request_class];
    state.idempotent = request_class.idempotent;
    state.arrived = now;
    state.deadline = std::min(it.deadline.value_or(now + request_class.deadline),
                              now + longest_deadline(declared));
    state.size = it.size;
    if (state.idempotent)
    {
        auto const& kept = requests_.emplace(it.id, std::move(state)).first->second;
        enqueue(it.id, kept, now, out);
        return;
    }
    auto const deadline = state.deadline;
    requests_.emplace(it.id, std::move(state));
    requests::claim_actions actions;
    auto id_text = claims_.on_request(it.id, it.request_id, deadline, now, actions);
    requests_.at(it.id).id_text = std::move(id_text);
    apply(actions, now, out);
}

void engine::refuse(base::local_request_id id, base::error_kind kind, engine_actions& out)
{
    out.emplace_back(answer_error{id, kind, 0, {}, {}});
}

void engine::enqueue(base::local_request_id id, request_state const& it, base::time_point now,
                     engine_actions& out)
{
    routing::dispatch_actions actions;
    dispatcher_.enqueue({id, it.service, it.request_class, it.arrived, it.deadline, it.size}, now,
                        actions);
    apply(actions, now, out);
}

void engine::apply(requests::claim_actions& actions, base::time_point now, engine_actions& out)
{
    for (auto& action : actions)
    {
        if (auto const* const to_run = std::get_if<requests::run_request>(&action))
        {
            start_run(to_run->request, now, out);
        }
        else if (auto const* const refusal = std::get_if<requests::refuse_request>(&action))
        {
            auto const found = requests_.find(refusal->request);
            if (found != requests_.end())
            {
                answer(refusal->request, found->second, refusal->kind, refusal->status, now, out);
                erase_if_ended(found);
            }
        }
        else if (auto* const message = std::get_if<send_message>(&action))
        {
            out.emplace_back(std::move(*message));
        }
    }
}

void engine::start_run(base::local_request_id id, base::time_point now, engine_actions& out)
{
    auto const found = requests_.find(id);
    if (found == requests_.end())
    {
        return;
    }
    found->second.running = true;
    enqueue(id, found->second, now, out);
}

void engine::apply(routing::dispatch_actions& actions, base::time_point now, engine_actions& out)
{
    for (auto& action : actions)
    {
        if (auto const* const attempt = std::get_if<routing::start_attempt>(&action))
        {
            send_attempt(*attempt, now, out);
        }
        else if (auto const* const cancel = std::get_if<routing::cancel_attempt>(&action))
        {
            out.emplace_back(cancel_attempt{cancel->attempt});
        }
        else if (auto const* const end = std::get_if<routing::fail_request>(&action))
        {
            fail_request(*end, now, out);
        }
        else if (auto* const message = std::get_if<send_message>(&action))
        {
            out.emplace_back(std::move(*message));
        }
    }
}

void engine::send_attempt(routing::start_attempt const& it, base::time_point now,
                          engine_actions& out)
{
    auto const found = requests_.find(it.request);
    bool const known = found != requests_.end();
    bool const allowed = known && (found->second.idempotent || claims_.may_send(it.request, now));
    if (!allowed)
    {
        // The request must not be sent any more. It is removed from the dispatcher before its
        // attempt is reported as not sent, so that the dispatcher does not start another attempt.
        routing::dispatch_actions actions;
        dispatcher_.on_caller_gone(it.request, now, actions);
        dispatcher_.on_attempt_finished(it.attempt, base::attempt_result::not_sent, now, actions);
        apply(actions, now, out);
        if (known)
        {
            fail_request({it.request, base::error_kind::deadline_unreachable}, now, out);
        }
        return;
    }
    auto& state = found->second;
    ++state.open_attempts;
    attempts_[it.attempt] = attempt_state{it.request, it.upstream, it.at};
    start_attempt order;
    order.request = it.request;
    order.attempt = it.attempt;
    order.upstream = it.upstream;
    order.at = it.at;
    order.deadline = it.deadline;
    order.idempotent = state.idempotent;
    order.request_id = state.id_text;
    auto const service = services_.find(state.service);
    if (service != services_.end())
    {
        order.shed_statuses = service->second.declared->shed_statuses;
    }
    out.emplace_back(std::move(order));
}

bool engine::on_attempt_head(base::attempt_id attempt, unsigned status, base::time_point now,
                             engine_actions& out)
{
    detect_pause(now);
    auto const found = attempts_.find(attempt);
    if (found == attempts_.end())
    {
        return false;
    }
    auto const request = found->second.request;
    auto const state = requests_.find(request);
    bool const first = state != requests_.end() && !state->second.answered;
    routing::dispatch_actions actions;
    dispatcher_.on_attempt_head(attempt, now, actions);
    apply(actions, now, out);
    if (first)
    {
        state->second.answered = true;
        end_run(request, requests::run_result::ran, status, now, out);
    }
    return first && !state->second.caller_gone;
}

void engine::on_attempt_finished(base::attempt_id attempt, base::attempt_result result,
                                 unsigned status, bool leaving, base::time_point now,
                                 engine_actions& out)
{
    detect_pause(now);
    auto const found = attempts_.find(attempt);
    if (found == attempts_.end())
    {
        return;
    }
    auto const ended = found->second;
    attempts_.erase(found);
    if (leaving)
    {
        upstream_is_leaving(ended.upstream, ended.at, now, out);
    }
    auto const state = requests_.find(ended.request);
    if (state != requests_.end())
    {
        auto& request = state->second;
        --request.open_attempts;
        request.unknown = request.unknown || leaves_outcome_unknown(result);
        if (result == base::attempt_result::completed)
        {
            count(request, now <= request.deadline && status < first_failure_status);
            end_run(ended.request, requests::run_result::ran, status, now, out);
        }
        else if (!request.idempotent && !leaves_outcome_unknown(result))
        {
            claims_.on_attempt_not_run(ended.request);
        }
    }
    routing::dispatch_actions actions;
    dispatcher_.on_attempt_finished(attempt, result, now, actions);
    apply(actions, now, out);
    auto const remaining = requests_.find(ended.request);
    if (remaining != requests_.end())
    {
        auto& request = remaining->second;
        bool const abandoned = request.caller_gone && request.running && request.open_attempts == 0;
        if (abandoned)
        {
            end_run(ended.request, unanswered_result(request.unknown), 0, now, out);
        }
        erase_if_ended(requests_.find(ended.request));
    }
}

void engine::fail_request(routing::fail_request const& it, base::time_point now,
                          engine_actions& out)
{
    auto const found = requests_.find(it.request);
    if (found == requests_.end())
    {
        return;
    }
    auto& state = found->second;
    auto kind = it.kind;
    if (!state.idempotent)
    {
        bool const unknown = state.unknown;
        end_run(it.request, unanswered_result(unknown), 0, now, out);
        bool const reports_not_run =
            base::answer_for(kind).outcome == base::request_outcome::not_run;
        if (unknown)
        {
            kind = base::error_kind::may_have_run;
        }
        else if (!reports_not_run)
        {
            kind = base::error_kind::no_upstream;
        }
    }
    answer(it.request, state, kind, 0, now, out);
    erase_if_ended(found);
}

void engine::end_run(base::local_request_id id, requests::run_result result, std::uint32_t status,
                     base::time_point now, engine_actions& out)
{
    auto const found = requests_.find(id);
    if (found == requests_.end() || found->second.idempotent || !found->second.running)
    {
        return;
    }
    found->second.running = false;
    requests::claim_actions actions;
    claims_.on_result(id, result, status, now, actions);
    apply(actions, now, out);
}

void engine::answer(base::local_request_id id, request_state& it, base::error_kind kind,
                    std::uint32_t status, base::time_point now, engine_actions& out)
{
    if (it.answered)
    {
        return;
    }
    it.answered = true;
    bool const again = base::answer_for(kind).outcome == base::request_outcome::not_run;
    count(it, false);
    if (!it.caller_gone)
    {
        out.emplace_back(answer_error{id, kind, status, it.id_text,
                                      again && !it.idempotent ? claims_.issue_ticket(now) : ""});
    }
}

void engine::count(request_state const& it, bool on_time)
{
    auto const found = services_.find(it.service);
    if (found == services_.end() || it.request_class >= found->second.declared->classes.size())
    {
        return;
    }
    auto const& request_class = found->second.declared->classes[it.request_class];
    levels_.count(it.service, request_class.name, request_class.weight, on_time);
}

void engine::erase_if_ended(request_map::iterator it)
{
    if (it == requests_.end())
    {
        return;
    }
    auto const& state = it->second;
    bool const over = state.answered || state.caller_gone;
    if (over && !state.running && state.open_attempts == 0)
    {
        requests_.erase(it);
    }
}

void engine::on_caller_gone(base::local_request_id request, base::time_point now,
                            engine_actions& out)
{
    detect_pause(now);
    auto const found = requests_.find(request);
    if (found == requests_.end())
    {
        return;
    }
    found->second.caller_gone = true;
    bool const not_idempotent = !found->second.idempotent;
    routing::dispatch_actions dispatched;
    dispatcher_.on_caller_gone(request, now, dispatched);
    apply(dispatched, now, out);
    if (not_idempotent)
    {
        requests::claim_actions actions;
        claims_.on_caller_gone(request, now, actions);
        apply(actions, now, out);
        auto const state = requests_.find(request);
        if (state != requests_.end() && state->second.open_attempts == 0)
        {
            end_run(request, unanswered_result(state->second.unknown), 0, now, out);
        }
    }
    erase_if_ended(requests_.find(request));
}

} // namespace fuchsiaproxy::engine
