// Member functions of `claim_protocol` that handle messages from other entries, and `append_state`.

#include "fuchsiaproxy/requests/claim_protocol.hpp"

#include <algorithm>
#include <map>
#include <type_traits>
#include <variant>

namespace fuchsiaproxy::requests
{

using base::error_kind;
using messages::request_state;

void claim_protocol::on_message(entry_incarnation const& from, messages::message const& body,
                                base::time_point now, claim_actions& actions)
{
    ledger_.rotate(now);
    if (unreachable_peers_.erase(from.instance) != 0)
    {
        resend_outcomes(from.instance, actions);
    }
    if (auto const* const claim = std::get_if<messages::claim>(&body))
    {
        on_claim(from, claim->request_id, now, actions);
    }
    else if (auto const* const grant = std::get_if<messages::grant>(&body))
    {
        on_grant(from, grant->request_id, now, actions);
    }
    else if (auto const* const deny = std::get_if<messages::deny>(&body))
    {
        on_deny(from, deny->request_id, now, actions);
    }
    else if (auto const* const done = std::get_if<messages::done>(&body))
    {
        on_done(from, *done, now);
    }
    else if (auto const* const resolve = std::get_if<messages::resolve>(&body))
    {
        on_resolve(from, resolve->request_id, now, actions);
    }
    else if (auto const* const resolution = std::get_if<messages::resolution>(&body))
    {
        resolver_.on_resolution(from, *resolution, now, witnessed_, counters_, actions);
    }
    else if (auto const* const heartbeat = std::get_if<messages::heartbeat>(&body))
    {
        on_heartbeat(from, heartbeat->self, now);
    }
}

void claim_protocol::on_claim(entry_incarnation const& from, std::string const& text,
                              base::time_point now, claim_actions& actions)
{
    auto const parsed = parse_request_id(text);
    if (!parsed || parsed.value().issued.primary != from || !parsed.value().issued.witness ||
        parsed.value().issued.witness->instance != self_.instance)
    {
        ++counters_.ignored_messages;
        return;
    }
    auto const& id = parsed.value();
    // If the id names an earlier incarnation of this instance, that process may have placed a
    // tombstone on it, of which this process has no record.
    if (*id.issued.witness == self_ && witnessed_.grant(id, text, now))
    {
        ++counters_.grants_given;
        actions.emplace_back(send_message{from.instance, messages::grant{text}});
        return;
    }
    ++counters_.grants_refused;
    actions.emplace_back(send_message{from.instance, messages::deny{text}});
}

void claim_protocol::on_grant(entry_incarnation const& from, std::string const& text,
                              base::time_point now, claim_actions& actions)
{
    auto const parsed = parse_request_id(text);
    if (!parsed || parsed.value().issued.primary != self_ || parsed.value().issued.witness != from)
    {
        ++counters_.ignored_messages;
        return;
    }
    auto* const record = ledger_.find(parsed.value().issued.generation, text);
    if (record == nullptr)
    {
        return;
    }
    if (record->state == claim_state::tombstoned)
    {
        // The first `deny` may have been lost; without it the witness keeps the grant.
        report_to_witness(record->witness, messages::deny{text}, now, actions);
        return;
    }
    if (record->state != claim_state::claiming)
    {
        return;
    }
    auto const deadline = local_requests_[*record->owner].deadline;
    if (deadline <= now)
    {
        place_tombstone(*record, text, error_kind::deadline_unreachable, now, actions);
        return;
    }
    if (record->claim_expires <= now)
    {
        ++counters_.claims_timed_out;
        place_tombstone(*record, text, error_kind::claim_unavailable, now, actions);
        return;
    }
    start_run(*record, actions);
}

void claim_protocol::on_deny(entry_incarnation const& from, std::string const& text,
                             base::time_point now, claim_actions& actions)
{
    auto const parsed = parse_request_id(text);
    if (!parsed || !parsed.value().issued.witness)
    {
        ++counters_.ignored_messages;
        return;
    }
    auto const& id = parsed.value();
    if (id.issued.primary == self_ && id.issued.witness->instance == from.instance)
    {
        auto* const record = ledger_.find(id.issued.generation, text);
        if (record != nullptr && record->state == claim_state::claiming)
        {
            ++counters_.claims_denied;
            place_tombstone(*record, text, error_kind::claim_refused, now, actions);
        }
        return;
    }
    if (id.issued.primary != from || *id.issued.witness != self_)
    {
        ++counters_.ignored_messages;
        return;
    }
    if (!witnessed_.withdraw(id, text, now))
    {
        ++counters_.contradictions;
    }
}

void claim_protocol::on_done(entry_incarnation const& from, messages::done const& it,
                             base::time_point now)
{
    auto const parsed = parse_request_id(it.request_id);
    if (!parsed || parsed.value().issued.primary != from || parsed.value().issued.witness != self_)
    {
        ++counters_.ignored_messages;
        return;
    }
    if (!witnessed_.record_done(parsed.value(), it.request_id, it.status, now))
    {
        ++counters_.contradictions;
    }
}

void claim_protocol::on_resolve(entry_incarnation const& from, std::string const& text,
                                base::time_point now, claim_actions& actions)
{
    auto const parsed = parse_request_id(text);
    if (!parsed)
    {
        ++counters_.ignored_messages;
        return;
    }
    auto const& id = parsed.value();
    messages::resolution answer{text, request_state::unknown, 0};
    if (id.issued.primary == self_)
    {
        answer = resolve_own(id, text, now);
    }
    else if (id.issued.witness == self_)
    {
        auto const known = witnessed_.resolve(id, text, now);
        answer.state = known.state;
        answer.status = known.status;
    }
    if (answer.state == request_state::tombstoned)
    {
        ++counters_.tombstones_for_others;
    }
    actions.emplace_back(send_message{from.instance, std::move(answer)});
}

messages::resolution claim_protocol::resolve_own(request_id const& id, std::string const& text,
                                                 base::time_point now)
{
    auto const generation = id.issued.generation;
    if (auto const* const record = ledger_.find(generation, text))
    {
        auto state = request_state::unknown;
        switch (record->state)
        {
        case claim_state::claiming:
        case claim_state::running:
            state = request_state::running;
            break;
        case claim_state::done:
            state = request_state::done;
            break;
        case claim_state::tombstoned:
            state = request_state::tombstoned;
            break;
        case claim_state::outcome_unknown:
            break;
        }
        return {text, state, record->status};
    }
    switch (ledger_.state_of(generation))
    {
    case generation_state::open:
        if (auto* const added = ledger_.insert(generation, text))
        {
            added->state = claim_state::tombstoned;
        }
        else
        {
            close_generation(now);
        }
        return {text, request_state::tombstoned, 0};
    case generation_state::closed:
        return {text, request_state::tombstoned, 0};
    case generation_state::future:
    case generation_state::discarded:
        break;
    }
    return {text, request_state::unknown, 0};
}

void claim_protocol::on_heartbeat(entry_incarnation const& from, messages::entry_info const& it,
                                  base::time_point now)
{
    if (it.id == from.instance && it.witness == self_.instance &&
        it.witness_incarnation == self_.number && from.instance != self_.instance)
    {
        witnessed_.register_primary(from, it.generation, now);
    }
}

void claim_protocol::append_state(std::string& out) const
{
    auto const number = [&out](auto value) { out.append(std::to_string(value)).append(","); };
    number(self_.number.value());
    if (witness_)
    {
        out.append(witness_->instance.value()).append("/");
        number(witness_->number.value());
    }
    ledger_.append_state(out);
    witnessed_.append_state(out);
    resolver_.append_state(out);
    std::map<base::local_request_id, local_request> const sorted(local_requests_.begin(),
                                                                 local_requests_.end());
    for (auto const& [local, it] : sorted)
    {
        number(local.value());
        number(it.deadline.time_since_epoch().count());
        number(it.timer.time_since_epoch().count());
    }
    for (auto const& it : recent_outcomes_)
    {
        out.append(it.witness.value());
        number(it.body.index());
        number(it.at.time_since_epoch().count());
    }
    for (auto const& it : unreachable_peers_)
    {
        out.append(it.value()).append(",");
    }
    number(next_nonce_);
}

} // namespace fuchsiaproxy::requests
