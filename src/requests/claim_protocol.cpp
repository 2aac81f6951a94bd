#include "fuchsiaproxy/requests/claim_protocol.hpp"

#include <algorithm>
#include <chrono>
#include <variant>
#include <vector>

namespace fuchsiaproxy::requests
{
namespace
{

using base::error_kind;

// A link that receives nothing is closed after 3 heartbeat intervals of 1 s. Outcomes sent in that
// time may be lost with it and have to be resent.
constexpr base::duration resend_period = std::chrono::seconds{10};
constexpr std::size_t max_recent_outcomes = 4'096;
// Limits the memory that repetitions of one id can occupy.
constexpr std::size_t max_waiters = 16;

} // namespace

claim_protocol::claim_protocol(entry_incarnation self, claim_limits const& limits,
                               base::time_point now)
    : self_(std::move(self)), limits_(limits), ledger_(limits, now), witnessed_(limits),
      resolver_(self_, limits)
{
}

std::string claim_protocol::issue_ticket(base::time_point now)
{
    ledger_.rotate(now);
    return to_text(ticket{self_, witness_, ledger_.generation()});
}

std::uint32_t claim_protocol::generation(base::time_point now)
{
    ledger_.rotate(now);
    return ledger_.generation();
}

void claim_protocol::set_witness(std::optional<entry_incarnation> witness)
{
    witness_ = std::move(witness);
    if (witness_ && witness_->instance == self_.instance)
    {
        witness_.reset();
    }
}

request_id claim_protocol::make_id()
{
    request_id id{{self_, witness_, ledger_.generation()}, {}};
    do
    {
        id.nonce = "_" + std::to_string(next_nonce_++);
    } while (ledger_.find(id.issued.generation, to_text(id)) != nullptr);
    return id;
}

std::string claim_protocol::on_request(base::local_request_id local,
                                       std::optional<std::string_view> id_text,
                                       base::time_point deadline, base::time_point now,
                                       claim_actions& actions)
{
    ledger_.rotate(now);
    if (!id_text)
    {
        auto const id = make_id();
        auto text = to_text(id);
        claim_new(local, id, text, deadline, now, actions);
        return text;
    }
    auto const parsed = parse_request_id(*id_text);
    if (!parsed)
    {
        ++counters_.malformed_ids;
        // Entries of another version may accept this id, so it may have run.
        auto const kind = parsed.error().kind == error_kind::unsupported_version
                              ? error_kind::may_have_run
                              : error_kind::bad_request;
        append_answer(local, kind, 0, counters_, actions);
        return {};
    }
    auto const& id = parsed.value();
    std::string text{*id_text};
    if (id.issued.primary != self_)
    {
        resolver_.start(local, id, text, deadline, now, witnessed_, counters_, actions);
        return text;
    }
    if (auto* const record = ledger_.find(id.issued.generation, text))
    {
        ++counters_.duplicates;
        wait_for_outcome(local, id, text, *record, deadline, actions);
        return text;
    }
    switch (ledger_.state_of(id.issued.generation))
    {
    case generation_state::open:
        claim_new(local, id, text, deadline, now, actions);
        break;
    case generation_state::closed:
        append_answer(local, error_kind::claim_refused, 0, counters_, actions);
        break;
    case generation_state::discarded:
        resolver_.start(local, id, text, deadline, now, witnessed_, counters_, actions);
        break;
    case generation_state::future:
        // No ticket has this generation yet, so the id may still be accepted later.
        append_answer(local, error_kind::may_have_run, 0, counters_, actions);
        break;
    }
    return text;
}

void claim_protocol::claim_new(base::local_request_id local, request_id const& id,
                               std::string const& text, base::time_point deadline,
                               base::time_point now, claim_actions& actions)
{
    auto* const record = ledger_.insert(id.issued.generation, text);
    if (record == nullptr)
    {
        close_generation(now);
        append_answer(local, error_kind::overloaded, 0, counters_, actions);
        return;
    }
    if (deadline <= now)
    {
        record->state = claim_state::tombstoned;
        append_answer(local, error_kind::deadline_unreachable, 0, counters_, actions);
        return;
    }
    record->owner = local;
    record->claim_expires = now + limits_.claim_timeout;
    auto& it = local_requests_[local];
    it = {text, id.issued.generation, deadline, {}};
    if (!id.issued.witness)
    {
        ++counters_.runs_without_witness;
        start_run(*record, actions);
        return;
    }
    record->witness = id.issued.witness->instance;
    ++counters_.claims;
    set_timer(local, it, std::min(record->claim_expires, deadline));
    actions.emplace_back(send_message{record->witness, messages::claim{text}});
}

void claim_protocol::wait_for_outcome(base::local_request_id local, request_id const& id,
                                      std::string const& text, claim_record& record,
                                      base::time_point deadline, claim_actions& actions)
{
    switch (record.state)
    {
    case claim_state::claiming:
    case claim_state::running:
        if (record.waiters.size() < max_waiters)
        {
            record.waiters.push_back(local);
            auto& it = local_requests_[local];
            it = {text, id.issued.generation, deadline, {}};
            set_timer(local, it, deadline);
            return;
        }
        append_answer(local, error_kind::may_have_run, 0, counters_, actions);
        return;
    case claim_state::done:
        append_answer(local, error_kind::already_run, record.status, counters_, actions);
        return;
    case claim_state::outcome_unknown:
        append_answer(local, error_kind::may_have_run, 0, counters_, actions);
        return;
    case claim_state::tombstoned:
        append_answer(local, error_kind::claim_refused, 0, counters_, actions);
        return;
    }
}

void claim_protocol::start_run(claim_record& record, claim_actions& actions)
{
    record.state = claim_state::running;
    auto& it = local_requests_[*record.owner];
    timers_.erase({it.timer, *record.owner});
    ++counters_.runs;
    actions.emplace_back(run_request{*record.owner});
}

void claim_protocol::place_tombstone(claim_record& record, std::string const& text, error_kind kind,
                                     base::time_point now, claim_actions& actions)
{
    record.state = claim_state::tombstoned;
    if (record.owner)
    {
        append_answer(*record.owner, kind, 0, counters_, actions);
        remove_local_request(*record.owner);
        record.owner.reset();
    }
    answer_waiters(record, error_kind::claim_refused, 0, actions);
    report_to_witness(record.witness, messages::deny{text}, now, actions);
}

void claim_protocol::answer_waiters(claim_record& record, error_kind kind, std::uint32_t status,
                                    claim_actions& actions)
{
    for (auto const& waiter : record.waiters)
    {
        append_answer(waiter, kind, status, counters_, actions);
        remove_local_request(waiter);
    }
    record.waiters.clear();
}

void claim_protocol::report_to_witness(base::instance_id const& witness, messages::message body,
                                       base::time_point now, claim_actions& actions)
{
    if (witness.value().empty())
    {
        return;
    }
    while (!recent_outcomes_.empty() && (recent_outcomes_.size() >= max_recent_outcomes ||
                                         recent_outcomes_.front().at + resend_period <= now))
    {
        recent_outcomes_.pop_front();
    }
    recent_outcomes_.push_back({witness, body, now});
    actions.emplace_back(send_message{witness, std::move(body)});
}

void claim_protocol::resend_outcomes(base::instance_id const& peer, claim_actions& actions)
{
    for (auto const& it : recent_outcomes_)
    {
        if (it.witness == peer)
        {
            ++counters_.outcomes_resent;
            actions.emplace_back(send_message{peer, it.body});
        }
    }
}

void claim_protocol::close_generation(base::time_point now)
{
    ++counters_.generations_closed_early;
    ledger_.close_current(now);
}

bool claim_protocol::may_send(base::local_request_id local, base::time_point now)
{
    auto* const record = record_of(local);
    if (record == nullptr || record->state != claim_state::running || record->owner != local ||
        record->sent)
    {
        return false;
    }
    if (local_requests_[local].deadline <= now)
    {
        ++counters_.late_sends_prevented;
        return false;
    }
    record->sent = true;
    return true;
}

void claim_protocol::on_attempt_not_run(base::local_request_id local)
{
    auto* const record = record_of(local);
    if (record != nullptr && record->owner == local)
    {
        record->sent = false;
    }
}

void claim_protocol::on_result(base::local_request_id local, run_result outcome,
                               std::uint32_t status, base::time_point now, claim_actions& actions)
{
    auto* const record = record_of(local);
    if (record == nullptr || record->state != claim_state::running || record->owner != local)
    {
        return;
    }
    auto const text = local_requests_[local].text;
    record->owner.reset();
    remove_local_request(local);
    switch (outcome)
    {
    case run_result::ran:
        record->state = claim_state::done;
        record->status = status;
        answer_waiters(*record, error_kind::already_run, status, actions);
        report_to_witness(record->witness, messages::done{text, status}, now, actions);
        return;
    case run_result::unknown:
        record->state = claim_state::outcome_unknown;
        answer_waiters(*record, error_kind::may_have_run, 0, actions);
        return;
    case run_result::not_run:
        place_tombstone(*record, text, error_kind::claim_refused, now, actions);
        return;
    }
}

void claim_protocol::on_caller_gone(base::local_request_id local, base::time_point now,
                                    claim_actions& actions)
{
    resolver_.remove(local);
    auto* const record = record_of(local);
    if (record == nullptr)
    {
        return;
    }
    if (record->owner != local)
    {
        auto& waiters = record->waiters;
        waiters.erase(std::remove(waiters.begin(), waiters.end(), local), waiters.end());
        remove_local_request(local);
        return;
    }
    if (record->state != claim_state::claiming)
    {
        return;
    }
    auto const text = local_requests_[local].text;
    remove_local_request(local);
    record->owner.reset();
    if (record->waiters.empty())
    {
        place_tombstone(*record, text, error_kind::claim_refused, now, actions);
        return;
    }
    // Nothing was sent to an upstream yet, so the next caller's copy of the request can run
    // instead.
    record->owner = record->waiters.front();
    record->waiters.erase(record->waiters.begin());
    auto& next = local_requests_[*record->owner];
    set_timer(*record->owner, next, std::min(record->claim_expires, next.deadline));
}

void claim_protocol::on_peer_unreachable(base::instance_id const& peer, base::time_point now,
                                         claim_actions& actions)
{
    unreachable_peers_.insert(peer);
    std::vector<base::local_request_id> affected;
    for (auto const& [local, it] : local_requests_)
    {
        auto const* const record = ledger_.find(it.generation, it.text);
        if (record != nullptr && record->state == claim_state::claiming && record->owner == local &&
            record->witness == peer)
        {
            affected.push_back(local);
        }
    }
    std::sort(affected.begin(), affected.end());
    for (auto const& local : affected)
    {
        ++counters_.witness_unreachable;
        auto const text = local_requests_[local].text;
        place_tombstone(*record_of(local), text, error_kind::claim_unavailable, now, actions);
    }
    resolver_.on_peer_unreachable(peer, now, witnessed_, counters_, actions);
}

void claim_protocol::tick(base::time_point now, claim_actions& actions)
{
    ledger_.rotate(now);
    while (!timers_.empty() && timers_.begin()->first <= now)
    {
        auto const local = timers_.begin()->second;
        timers_.erase(timers_.begin());
        on_timer(local, now, actions);
    }
    resolver_.tick(now, witnessed_, counters_, actions);
    witnessed_.expire(now);
}

void claim_protocol::on_timer(base::local_request_id local, base::time_point now,
                              claim_actions& actions)
{
    auto& record = *record_of(local);
    auto const it = local_requests_[local];
    if (record.owner != local)
    {
        auto& waiters = record.waiters;
        waiters.erase(std::remove(waiters.begin(), waiters.end(), local), waiters.end());
        remove_local_request(local);
        append_answer(local, error_kind::may_have_run, 0, counters_, actions);
        return;
    }
    ++counters_.claims_timed_out;
    auto const kind =
        it.deadline <= now ? error_kind::deadline_unreachable : error_kind::claim_unavailable;
    place_tombstone(record, it.text, kind, now, actions);
}

std::optional<base::time_point> claim_protocol::next_timer() const
{
    auto next = resolver_.next_timer();
    if (!timers_.empty() && (!next || timers_.begin()->first < *next))
    {
        next = timers_.begin()->first;
    }
    return next;
}

void claim_protocol::set_timer(base::local_request_id local, local_request& it, base::time_point at)
{
    timers_.erase({it.timer, local});
    it.timer = at;
    timers_.emplace(at, local);
}

void claim_protocol::remove_local_request(base::local_request_id local)
{
    auto const it = local_requests_.find(local);
    timers_.erase({it->second.timer, local});
    local_requests_.erase(it);
}

claim_record* claim_protocol::record_of(base::local_request_id local)
{
    auto const it = local_requests_.find(local);
    return it == local_requests_.end() ? nullptr
                                       : ledger_.find(it->second.generation, it->second.text);
}

} // namespace fuchsiaproxy::requests
