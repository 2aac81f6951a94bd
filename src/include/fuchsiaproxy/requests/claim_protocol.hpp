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

/// Outcome of running a request.
enum class run_result
{
    /// An upstream answered it.
    ran,
    /// Definitely not run: no upstream ran it or will run it, and no further attempt is made.
    not_run,
    /// Bytes were sent and no answer arrived.
    unknown
};

/// The at-most-once protocol of one entry: as primary, as witness, and for ids of other entries.
///
/// A request id names its primary, the only entry that may run it, and usually a witness, which has
/// to grant the run first. Every non-idempotent request is passed to `on_request`. It gets exactly
/// one of the actions `run_request` and `refuse_request`, unless its caller disconnects first.
/// After `run_request` the owner of this object answers the caller itself, and reports the outcome
/// with `on_result`. Events may arrive in any order, repeatedly or not at all. Safety doesn't
/// depend on the time that is passed in, except that nothing is sent after its deadline.
/// Thread safety: none; a value, confined to its owner's thread. `now` must not decrease.
class claim_protocol
{
public:
    /// `self` is unique to this process; its number should be higher than that of every process
    /// that started earlier (see `witness_ledger`). Precondition: the instance id is a valid name.
    claim_protocol(entry_incarnation self, claim_limits const& limits, base::time_point now);

    /// Returns the ticket to hand out to callers at `now`, in text form.
    std::string issue_ticket(base::time_point now);

    /// Returns the generation of the tickets issued at `now`, for the heartbeat.
    std::uint32_t generation(base::time_point now);

    /// Sets the witness named by new tickets. Ids that name an earlier witness continue to use it.
    /// The caller should send a heartbeat to the witness at once, which registers this entry there.
    void set_witness(std::optional<entry_incarnation> witness);

    /// Handles a non-idempotent request; `id_text` is the value of its `Request-Id`. Returns the id
    /// to report to the caller, which is empty if the given one is not valid.
    /// Precondition: `local` was not used before.
    std::string on_request(base::local_request_id local, std::optional<std::string_view> id_text,
                           base::time_point deadline, base::time_point now, claim_actions& actions);

    /// Handles a message from another entry; `from` is the authenticated identity of its link.
    /// Messages that are not part of the protocol are ignored, except for heartbeats, which
    /// register a primary.
    void on_message(entry_incarnation const& from, messages::message const& body,
                    base::time_point now, claim_actions& actions);

    /// Handles the loss, or possible loss, of messages to `peer`.
    void on_peer_unreachable(base::instance_id const& peer, base::time_point now,
                             claim_actions& actions);

    /// Returns whether the request may be sent to an upstream now, and if so records it as sent.
    /// Call it just before each attempt, with the current time. After false, no attempt may be made
    /// and the run ends with `on_result(..., not_run)` unless an attempt is outstanding.
    bool may_send(base::local_request_id local, base::time_point now);

    /// Records that the last attempt definitely did not run; `may_send` may permit another one.
    void on_attempt_not_run(base::local_request_id local);

    /// Records the outcome of a run. `status` is the upstream's if `outcome` is `ran`. Has no
    /// effect on a request that is not running here.
    void on_result(base::local_request_id local, run_result outcome, std::uint32_t status,
                   base::time_point now, claim_actions& actions);

    /// Handles the disconnection of a caller. A request that is already running still needs
    /// `on_result`.
    void on_caller_gone(base::local_request_id local, base::time_point now, claim_actions& actions);

    /// Handles the timeouts that are due at `now`.
    void tick(base::time_point now, claim_actions& actions);

    /// Returns the time of the next timeout that `tick` has to handle. Discarding old records isn't
    /// counted, as it may happen at any later call.
    std::optional<base::time_point> next_timer() const;

    /// Returns the numbers of decisions so far.
    claim_counters const& counters() const noexcept
    {
        return counters_;
    }

    /// Returns the number of records as primary.
    std::size_t claims() const noexcept
    {
        return ledger_.size();
    }

    /// Returns the number of records as witness.
    std::size_t witness_records() const noexcept
    {
        return witnessed_.size();
    }

    /// Appends the complete state except the counters, in a canonical form.
    void append_state(std::string& out) const;

private:
    /// A local request that is the owner or a waiter of a record.
    struct local_request
    {
        std::string text;
        std::uint32_t generation = 0;
        base::time_point deadline;
        base::time_point timer;
    };

    /// An outcome reported to a witness, kept for a short time in case the message was lost.
    struct recent_outcome
    {
        base::instance_id witness;
        messages::message body;
        base::time_point at;
    };

    request_id make_id();
    void claim_new(base::local_request_id local, request_id const& id, std::string const& text,
                   base::time_point deadline, base::time_point now, claim_actions& actions);
    void wait_for_outcome(base::local_request_id local, request_id const& id,
                          std::string const& text, claim_record& record, base::time_point deadline,
                          claim_actions& actions);
    void start_run(claim_record& record, claim_actions& actions);
    void place_tombstone(claim_record& record, std::string const& text, base::error_kind kind,
                         base::time_point now, claim_actions& actions);
    void answer_waiters(claim_record& record, base::error_kind kind, std::uint32_t status,
                        claim_actions& actions);
    void report_to_witness(base::instance_id const& witness, messages::message body,
                           base::time_point now, claim_actions& actions);
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
    void remove_local_request(base::local_request_id local);
    void on_timer(base::local_request_id local, base::time_point now, claim_actions& actions);
    claim_record* record_of(base::local_request_id local);

    entry_incarnation self_;
    claim_limits limits_;
    std::optional<entry_incarnation> witness_;
    claim_ledger ledger_;
    witness_ledger witnessed_;
    resolver resolver_;
    std::unordered_map<base::local_request_id, local_request> local_requests_;
    std::set<std::pair<base::time_point, base::local_request_id>> timers_;
    std::deque<recent_outcome> recent_outcomes_;
    std::set<base::instance_id> unreachable_peers_;
    std::uint64_t next_nonce_ = 1;
    claim_counters counters_;
};

} // namespace fuchsiaproxy::requests

#endif
