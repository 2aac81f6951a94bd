#include "fuchsiaproxy/routing/dispatcher.hpp"

#include <algorithm>
#include <utility>

#include "dispatcher_state.hpp"

namespace fuchsiaproxy::routing
{

void dispatcher::state::tick(base::time_point now, dispatch_actions& actions)
{
    timer_entry it;
    while (timers.pop_due(now, it))
    {
        on_timer(it, now, actions);
    }
}

void dispatcher::state::on_timer(timer_entry const& it, base::time_point now,
                                 dispatch_actions& actions)
{
    switch (it.kind)
    {
    case timer_kind::queue_expiry:
        if (requests[it.index].serial == it.subject_id && requests[it.index].queued)
        {
            on_queue_expiry(it.index, now, actions);
        }
        break;
    case timer_kind::hedge_due:
        on_hedge_due(it.index, it.subject_id, now, actions);
        break;
    case timer_kind::slot_release_due:
        return_slot(it.index, static_cast<std::uint32_t>(it.subject_id), now, actions);
        break;
    case timer_kind::loan_expiry:
        on_loan_expiry(it.index, it.subject_id, now, actions);
        break;
    case timer_kind::loan_idle:
        on_loan_idle(it.index, it.subject_id, now, actions);
        break;
    case timer_kind::borrow_timeout:
        on_borrow_timeout(it.index, it.subject_id, now);
        break;
    case timer_kind::pending_expiry:
        expire_pending(it.index, now, actions);
        break;
    case timer_kind::probe_due:
        on_probe_due(it.index, now);
        break;
    case timer_kind::recheck:
        services[it.index].recheck_armed = false;
        dispatch(it.index, now, actions);
        break;
    case timer_kind::takeover_end:
        if (owned(upstreams[it.index]) && upstreams[it.index].takeover == it.subject_id)
        {
            end_takeover(it.index, now, actions);
        }
        break;
    case timer_kind::takeover_request_due:
        if (owned(upstreams[it.index]) && upstreams[it.index].takeover == it.subject_id)
        {
            send_takeover_request(it.index, now, actions);
        }
        break;
    }
}

dispatcher::dispatcher(dispatcher_identity self, std::uint64_t seed, move_permit& permit,
                       dispatcher_settings const& settings)
    : state_(std::make_unique<state>(std::move(self), seed, permit, settings))
{
}

dispatcher::~dispatcher() = default;
dispatcher::dispatcher(dispatcher&&) noexcept = default;
dispatcher& dispatcher::operator=(dispatcher&&) noexcept = default;

void dispatcher::configure(model::configuration const& configuration, base::time_point now)
{
    state_->configure(configuration, now);
}

void dispatcher::set_entries(std::vector<messages::entry_info> const& entries, base::time_point now)
{
    state_->set_entries(entries, now);
}

void dispatcher::set_leaving(base::upstream_id const& upstream)
{
    state_->set_leaving(upstream, true);
}

void dispatcher::clear_leaving(base::upstream_id const& upstream)
{
    state_->set_leaving(upstream, false);
}

void dispatcher::on_resumed(base::time_point now)
{
    state_->restart_takeovers(now);
}

void dispatcher::enqueue(queued_request const& request, base::time_point now,
                         dispatch_actions& actions)
{
    state_->enqueue(request, now, actions);
}

void dispatcher::on_attempt_head(base::attempt_id attempt, base::time_point now,
                                 dispatch_actions& actions)
{
    state_->on_head(attempt, now, actions);
}

void dispatcher::on_attempt_finished(base::attempt_id attempt, attempt_result outcome,
                                     base::time_point now, dispatch_actions& actions)
{
    state_->on_finished(attempt, outcome, now, actions);
}

void dispatcher::on_caller_gone(base::local_request_id request, base::time_point now,
                                dispatch_actions& actions)
{
    state_->on_caller_gone(request, now, actions);
}

void dispatcher::on_message(base::instance_id const& from, messages::loan_request const& message,
                            base::time_point now, dispatch_actions& actions)
{
    auto const entry = state_->entry_index(from);
    if (entry != no_index)
    {
        state_->on_loan_request(entry, message, now, actions);
    }
}

void dispatcher::on_message(base::instance_id const& from, messages::loan_answer const& message,
                            base::time_point now, dispatch_actions& actions)
{
    auto const entry = state_->entry_index(from);
    if (entry != no_index)
    {
        state_->on_loan_answer(entry, message, now, actions);
    }
}

void dispatcher::on_message(base::instance_id const& from, messages::loan_return const& message,
                            base::time_point now, dispatch_actions& actions)
{
    auto const entry = state_->entry_index(from);
    if (entry != no_index)
    {
        state_->on_loan_return(entry, message, now, actions);
    }
}

void dispatcher::on_message(base::instance_id const& from,
                            messages::takeover_request const& message, base::time_point now,
                            dispatch_actions& actions)
{
    auto const entry = state_->entry_index(from);
    if (entry != no_index)
    {
        state_->on_takeover_request(entry, message, now, actions);
    }
}

void dispatcher::on_message(base::instance_id const& from, messages::takeover_answer const& message,
                            base::time_point now, dispatch_actions& actions)
{
    auto const entry = state_->entry_index(from);
    if (entry != no_index)
    {
        state_->on_takeover_answer(entry, message, now, actions);
    }
}

void dispatcher::tick(base::time_point now, dispatch_actions& actions)
{
    state_->tick(now, actions);
}

base::time_point dispatcher::next_wakeup(base::time_point) const
{
    return state_->timers.next();
}

std::vector<candidate_info> dispatcher::explain(base::service_id const& service,
                                                std::size_t request_class, base::byte_count size,
                                                base::time_point now) const
{
    return state_->explain(service, request_class, size, now);
}

std::size_t dispatcher::queued(base::service_id const& service) const
{
    auto const found = state_->service_by_id.find(service);
    return found == state_->service_by_id.end() ? 0 : state_->services[found->second].queue.size();
}

std::uint32_t dispatcher::load_permille() const
{
    std::uint64_t busy = 0;
    std::uint64_t slots = 0;
    for (auto const& it : state_->services)
    {
        busy += it.queue.size() + it.in_flight;
        slots += it.owned_slots;
    }
    return static_cast<std::uint32_t>(busy * 1000 / std::max<std::uint64_t>(slots, 1));
}

dispatcher_counters const& dispatcher::counters() const noexcept
{
    return state_->counts;
}

} // namespace fuchsiaproxy::routing
