#ifndef FUCHSIAPROXY_REQUESTS_CLAIM_PROTOCOL_HPP
#define FUCHSIAPROXY_REQUESTS_CLAIM_PROTOCOL_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/requests/claim_action.hpp"
#include "fuchsiaproxy/requests/claim_ledger.hpp"
#include "fuchsiaproxy/requests/claim_limits.hpp"
#include "fuchsiaproxy/requests/request_id.hpp"
#include "fuchsiaproxy/requests/resolver.hpp"
#include "fuchsiaproxy/requests/witness_ledger.hpp"

namespace fuchsiaproxy::requests
{

/// How the run of a request ended.
enum class run_result
{
    /// An upstream answered it.
    ran,
    /// Proven: no upstream ran it or will run it, and no further attempt is made.
    not_run,
    /// Bytes were sent and no answer arrived.
    unknown
};

/// The at-most-once protocol of one entry: as primary, as witness, and for ids of other entries.
///
/// Every non-idempotent request passes through `on_request`. It gets exactly one of the actions
/// `run_request` and `refuse_request`, unless its caller leaves first. After `run_request` the
/// owner of this object answers the caller itself, and reports the end of the run with
/// `on_result`. Events may come in any order, more than once or not at all; no promise depends on
/// the time that is passed in, except that nothing is sent after its deadline.
/// Thread safety: none; a value, confined to its owner's thread. `now` must not decrease.
class claim_protocol
{
public:
    /// `self` is unique to this process lifetime; its number should be higher than that of every
    /// process that started earlier (see `witness_ledger`). Precondition: the instance id is a
    /// valid name.
    claim_protocol(entry_incarnation self, claim_limits const& limits, base::time_point now);

    /// Returns the ticket to hand out to callers at `now`, in text form.
    std::string issue_ticket(base::time_point now);

    /// Returns the generation of the tickets issued at `now`, for the heartbeat.
    std::uint32_t generation(base::time_point now);

    /// Sets the witness that new tickets name. Ids that name an earlier witness stay with it. The
    /// caller should send a heartbeat to the witness at once, so that it knows this entry.
    void set_witness(std::optional<entry_incarnation> witness);

    /// Takes a non-idempotent request; `id_text` is the value of its `Request-Id`. Returns the id
    /// to report to the caller, which is empty if the given one is not valid.
    /// Precondition: `local` was not used before.
    std::string on_request(base::local_request_id local, std::optional<std::string_view> id_text,
                           base::time_point deadline, base::time_point now, claim_actions& actions);

    /// Takes a message from another entry; `from` is what its link proved. Messages that are not
    /// part of the protocol are ignored, except that heartbeats introduce a primary.
    void on_message(entry_incarnation const& from, messages::message const& body,
                    base::time_point now, claim_actions& actions);

    /// Takes the news that messages to `peer` were or may have been lost.
    void on_peer_unreachable(base::instance_id const& peer, base::time_point now,
                             claim_actions& actions);

    /// Returns whether the request may be sent to an upstream now, and if so notes that it was.
    /// Call it just before each attempt, with a fresh time. After false, no attempt may be made
    /// and the run ends with `on_result(..., not_run)` unless an attempt is outstanding.
    bool may_send(base::local_request_id local, base::time_point now);

    /// Takes the proof that the last attempt did not run; another one may follow `may_send`.
    void on_attempt_not_run(base::local_request_id local);

    /// Takes the end of the run of a request. `status` is the upstream's when it `ran`. Has no
    /// effect on a request that is not running here.
    void on_result(base::local_request_id local, run_result outcome, std::uint32_t status,
                   base::time_point now, claim_actions& actions);

    /// Takes the news that the caller does not wait any more. A request that is already running
    /// still needs `on_result`.
    void on_caller_gone(base::local_request_id local, base::time_point now, claim_actions& actions);

    /// Performs what is due at `now`.
    void tick(base::time_point now, claim_actions& actions);

    /// Returns when `tick` has something to do, apart from forgetting old records.
    std::optional<base::time_point> next_timer() const;

    /// Returns the counts of all decisions.
    claim_counters const& counters() const noexcept
    {
        return counters_;
    }

    /// Returns the records of this entry as primary.
    std::size_t claims() const noexcept
    {
        return ledger_.size();
    }

    /// Returns the records of this entry as witness.
    std::size_t witnessed() const noexcept
    {
        return witnessed_.size();
    }

    /// Appends the whole state except the counters, in a canonical form.
    void append_state(std::string& out) const;

private:
    /// A request that has a record here: its owner or a waiter.
    struct local_request
    {
        std::string text;
        std::uint32_t generation = 0;
        base::time_point deadline;
        base::time_point timer;
    };

    /// The outcome of a run, kept for a short time in case its message to the witness was lost.
    struct recent_outcome
    {
        base::instance_id witness;
        messages::message body;
        base::time_point at;
    };

    request_id make_id();
    void claim_new(base::local_request_id local, request_id const& id, std::string const& text,
                   base::time_point deadline, base::time_point now, claim_actions& actions);
    void join(base::local_request_id local, request_id const& id, std::string const& text,
              claim_record& record, base::time_point deadline, claim_actions& actions);
    void start_run(claim_record& record, claim_actions& actions);
    void place_tombstone(claim_record& record, std::string const& text, base::error_kind kind,
                         base::time_point now, claim_actions& actions);
    void answer_waiters(claim_record& record, base::error_kind kind, std::uint32_t status,
                        claim_actions& actions);
    void report(base::instance_id const& witness, messages::message body, base::time_point now,
                claim_actions& actions);
    void resend_outcomes(base::instance_id const& peer, claim_actions& actions);
    void close_generation(base::time_point now);

    void on_claim(entry_incarnation const& from, std::string const& text, base::time_point now,
                  claim_actions& actions);
    void on_grant(entry_incarnation const& from, std::string const& text, base::time_point now,
                  claim_actions& actions);
    void on_deny(entry_incarnation const& from, std::string const& text, base::time_point now,
                 claim_actions& actions);
    void on_done(entry_incarnation const& from, messages::done const& it, base::time_point now);
    void on_resolve(entry_incarnation const& from, std::string const& text, base::time_point now,
                    claim_actions& actions);
    void on_heartbeat(entry_incarnation const& from, messages::entry_info const& it,
                      base::time_point now);
    messages::resolution resolve_own(request_id const& id, std::string const& text,
                                     base::time_point now);

    void set_timer(base::local_request_id local, local_request& it, base::time_point at);
    void forget_local(base::local_request_id local);
    void on_timer(base::local_request_id local, base::time_point now, claim_actions& actions);
    claim_record* record_of(base::local_request_id local);

    entry_incarnation self_;
    claim_limits limits_;
    std::optional<entry_incarnation> witness_;
    claim_ledger ledger_;
    witness_ledger witnessed_;
    resolver resolver_;
    std::unordered_map<base::local_request_id, local_request> locals_;
    std::set<std::pair<base::time_point, base::local_request_id>> timers_;
    std::deque<recent_outcome> recent_;
    std::set<base::instance_id> unreachable_;
    std::uint64_t next_nonce_ = 1;
    claim_counters counters_;
};

} // namespace fuchsiaproxy::requests

#endif
