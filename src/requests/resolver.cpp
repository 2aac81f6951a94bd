#include "fuchsiaproxy/requests/resolver.hpp"

#include <algorithm>

namespace fuchsiaproxy::requests
{

using base::error_kind;
using messages::request_state;

void append_answer(base::local_request_id local, error_kind kind, std::uint32_t status,
                   claim_counters& counters, claim_actions& actions)
{
    switch (base::answer_for(kind).outcome)
    {
    case base::request_outcome::not_run:
        ++counters.answered_not_run;
        break;
    case base::request_outcome::already_run:
        ++counters.answered_already_run;
        break;
    case base::request_outcome::run:
    case base::request_outcome::may_have_run:
        ++counters.answered_may_have_run;
        break;
    }
    actions.emplace_back(refuse_request{local, kind, status});
}

void resolver::start(base::local_request_id local, request_id const& id, std::string const& text,
                     base::time_point deadline, base::time_point now,
                     witness_ledger& witness_records, claim_counters& counters,
                     claim_actions& actions)
{
    if (id_texts_.size() >= limits_.max_pending_resolutions)
    {
        ++counters.resolutions_refused;
        append_answer(local, error_kind::may_have_run, 0, counters, actions);
        return;
    }
    ++counters.resolutions_started;
    auto const [it, added] = tasks_.try_emplace(text);
    id_texts_[local] = text;
    it->second.waiters[local] = deadline;
    if (!added)
    {
        schedule(it);
        return;
    }
    auto& t = it->second;
    t.id = id;
    auto const& issued = id.issued;
    // An id that names this instance as primary is resolved here only if an earlier incarnation
    // issued it or its records were discarded, so this entry can't report the outcome.
    t.primary =
        issued.primary.instance == self_.instance ? source_state::outcome_lost : source_state::open;
    auto const is_own_earlier =
        issued.witness && issued.witness->instance == self_.instance && *issued.witness != self_;
    t.witness = !issued.witness || is_own_earlier ? source_state::outcome_lost : source_state::open;
    if (issued.witness && *issued.witness == self_ &&
        query_witness(it, now, witness_records, counters, actions))
    {
        return;
    }
    query_sources(it, now, witness_records, counters, actions);
}

void resolver::on_resolution(entry_incarnation const& from, messages::resolution const& it,
                             base::time_point now, witness_ledger& witness_records,
                             claim_counters& counters, claim_actions& actions)
{
    auto const found = tasks_.find(it.request_id);
    if (found == tasks_.end())
    {
        return;
    }
    auto& t = found->second;
    auto const& issued = t.id.issued;
    auto const is_primary = from.instance == issued.primary.instance;
    auto const is_witness = issued.witness && from.instance == issued.witness->instance;
    if (!is_primary && !is_witness)
    {
        ++counters.ignored_messages;
        return;
    }
    auto const& named = is_primary ? issued.primary : *issued.witness;
    auto& source = is_primary ? t.primary : t.witness;
    // A restarted process has no records of ids that name an earlier incarnation.
    auto const state = from == named ? it.state : request_state::unknown;
    auto const previous = source;
    if (apply_answer(found, source, state, it.status, counters, actions))
    {
        return;
    }
    if (is_primary && t.primary == source_state::outcome_lost &&
        previous != source_state::outcome_lost)
    {
        query_sources(found, now, witness_records, counters, actions);
    }
}

void resolver::on_peer_unreachable(base::instance_id const& peer, base::time_point now,
                                   witness_ledger& witness_records, claim_counters& counters,
                                   claim_actions& actions)
{
    std::vector<std::string> affected;
    for (auto const& [text, t] : tasks_)
    {
        if (t.id.issued.primary.instance == peer && t.primary != source_state::outcome_lost)
        {
            affected.push_back(text);
        }
    }
    std::sort(affected.begin(), affected.end());
    for (auto const& text : affected)
    {
        auto const it = tasks_.find(text);
        it->second.primary = source_state::silent;
        query_sources(it, now, witness_records, counters, actions);
    }
}

void resolver::remove(base::local_request_id local)
{
    auto const text = id_texts_.find(local);
    if (text == id_texts_.end())
    {
        return;
    }
    auto const it = tasks_.find(text->second);
    id_texts_.erase(text);
    it->second.waiters.erase(local);
    if (it->second.waiters.empty())
    {
        erase(it);
    }
}

void resolver::tick(base::time_point now, witness_ledger& witness_records, claim_counters& counters,
                    claim_actions& actions)
{
    while (!timers_.empty() && timers_.begin()->first <= now)
    {
        auto const it = tasks_.find(timers_.begin()->second);
        timers_.erase(timers_.begin());
        answer_expired_waiters(it, now, counters, actions);
        if (it->second.waiters.empty())
        {
            erase(it);
        }
        else if (it->second.next_query_at <= now)
        {
            query_sources(it, now, witness_records, counters, actions);
        }
        else
        {
            schedule(it);
        }
    }
}

std::optional<base::time_point> resolver::next_timer() const
{
    if (timers_.empty())
    {
        return std::nullopt;
    }
    return timers_.begin()->first;
}

void resolver::query_sources(tasks::iterator it, base::time_point now,
                             witness_ledger& witness_records, claim_counters& counters,
                             claim_actions& actions)
{
    auto& t = it->second;
    if (t.primary_queried && t.primary == source_state::open)
    {
        t.primary = source_state::silent;
    }
    if (t.primary != source_state::outcome_lost)
    {
        t.primary_queried = true;
        // If the primary doesn't answer this query, the next one sets its state to `silent`.
        if (t.primary == source_state::running)
        {
            t.primary = source_state::open;
        }
        actions.emplace_back(
            send_message{t.id.issued.primary.instance, messages::resolve{it->first}});
    }
    auto const primary_answers = t.primary == source_state::open;
    if (!primary_answers && query_witness(it, now, witness_records, counters, actions))
    {
        return;
    }
    if (finish_if_unresolvable(it, counters, actions))
    {
        return;
    }
    t.next_query_at = now + limits_.resolve_interval;
    schedule(it);
}

bool resolver::query_witness(tasks::iterator it, base::time_point now,
                             witness_ledger& witness_records, claim_counters& counters,
                             claim_actions& actions)
{
    auto& t = it->second;
    if (t.witness == source_state::outcome_lost)
    {
        return false;
    }
    auto const& witness = *t.id.issued.witness;
    if (witness != self_)
    {
        actions.emplace_back(send_message{witness.instance, messages::resolve{it->first}});
        return false;
    }
    auto const known = witness_records.resolve(t.id, it->first, now);
    return apply_answer(it, t.witness, known.state, known.status, counters, actions);
}

bool resolver::apply_answer(tasks::iterator it, source_state& source, request_state state,
                            std::uint32_t status, claim_counters& counters, claim_actions& actions)
{
    switch (state)
    {
    case request_state::tombstoned:
        finish(it, error_kind::claim_refused, 0, counters, actions);
        return true;
    case request_state::done:
        finish(it, error_kind::already_run, status, counters, actions);
        return true;
    case request_state::running:
        if (source != source_state::outcome_lost)
        {
            source = source_state::running;
        }
        break;
    case request_state::unknown:
        source = source_state::outcome_lost;
        break;
    }
    return finish_if_unresolvable(it, counters, actions);
}

bool resolver::finish_if_unresolvable(tasks::iterator it, claim_counters& counters,
                                      claim_actions& actions)
{
    auto const& t = it->second;
    // If the primary is lost, the witness never receives the outcome of a granted request.
    if (t.primary != source_state::outcome_lost ||
        (t.witness != source_state::outcome_lost && t.witness != source_state::running))
    {
        return false;
    }
    finish(it, error_kind::may_have_run, 0, counters, actions);
    return true;
}

void resolver::finish(tasks::iterator it, error_kind kind, std::uint32_t status,
                      claim_counters& counters, claim_actions& actions)
{
    for (auto const& [local, deadline] : it->second.waiters)
    {
        append_answer(local, kind, status, counters, actions);
    }
    erase(it);
}

void resolver::answer_expired_waiters(tasks::iterator it, base::time_point now,
                                      claim_counters& counters, claim_actions& actions)
{
    auto& waiters = it->second.waiters;
    for (auto waiter = waiters.begin(); waiter != waiters.end();)
    {
        if (waiter->second > now)
        {
            ++waiter;
            continue;
        }
        append_answer(waiter->first, error_kind::may_have_run, 0, counters, actions);
        id_texts_.erase(waiter->first);
        waiter = waiters.erase(waiter);
    }
}

void resolver::schedule(tasks::iterator it)
{
    auto& t = it->second;
    timers_.erase({t.timer_at, it->first});
    t.timer_at = t.next_query_at;
    for (auto const& [local, deadline] : t.waiters)
    {
        t.timer_at = std::min(t.timer_at, deadline);
    }
    timers_.emplace(t.timer_at, it->first);
}

void resolver::erase(tasks::iterator it)
{
    timers_.erase({it->second.timer_at, it->first});
    for (auto const& [local, deadline] : it->second.waiters)
    {
        id_texts_.erase(local);
    }
    tasks_.erase(it);
}

void resolver::append_state(std::string& out) const
{
    auto const number = [&out](auto value) { out.append(std::to_string(value)).append(","); };
    std::map<std::string, task> const sorted(tasks_.begin(), tasks_.end());
    for (auto const& [text, t] : sorted)
    {
        out.append(text).append(":");
        number(static_cast<int>(t.primary));
        number(static_cast<int>(t.witness));
        number(t.primary_queried ? 1 : 0);
        number(t.next_query_at.time_since_epoch().count());
        for (auto const& [local, deadline] : t.waiters)
        {
            number(local.value());
            number(deadline.time_since_epoch().count());
        }
    }
}

} // namespace fuchsiaproxy::requests
