#ifndef FUCHSIAPROXY_REQUESTS_RESOLVER_HPP
#define FUCHSIAPROXY_REQUESTS_RESOLVER_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/requests/claim_action.hpp"
#include "fuchsiaproxy/requests/claim_limits.hpp"
#include "fuchsiaproxy/requests/request_id.hpp"
#include "fuchsiaproxy/requests/witness_ledger.hpp"

namespace fuchsiaproxy::requests
{

/// Resolves the outcome of requests recorded at other entries, and answers their callers.
///
/// It queries the primary, and also the witness while the primary does not answer, until one of
/// them reports the outcome, neither can report it any more, or the caller's deadline passes. An
/// answer is used only if it comes from the incarnation that the id names.
/// Thread safety: none; a value, confined to its owner's thread.
class resolver
{
public:
    /// `self` is this entry, whose own witness records are read without sending a message.
    resolver(entry_incarnation self, claim_limits const& limits)
        : self_(std::move(self)), limits_(limits)
    {
    }

    /// Answers `local` as soon as the outcome of `id` is known. Preconditions: `local` is unique;
    /// this entry has no record of the id as its primary.
    void start(base::local_request_id local, request_id const& id, std::string const& text,
               base::time_point deadline, base::time_point now, witness_ledger& witness_records,
               claim_counters& counters, claim_actions& actions);

    /// Handles the answer of another entry to `resolve`.
    void on_resolution(entry_incarnation const& from, messages::resolution const& it,
                       base::time_point now, witness_ledger& witness_records,
                       claim_counters& counters, claim_actions& actions);

    /// Queries the witnesses of the requests whose primary is `peer`.
    void on_peer_unreachable(base::instance_id const& peer, base::time_point now,
                             witness_ledger& witness_records, claim_counters& counters,
                             claim_actions& actions);

    /// Removes a request whose caller has disconnected.
    void remove(base::local_request_id local);

    /// Repeats the queries that are due and answers the callers whose deadline has passed.
    void tick(base::time_point now, witness_ledger& witness_records, claim_counters& counters,
              claim_actions& actions);

    /// Returns the time of the next timeout that `tick` has to handle.
    std::optional<base::time_point> next_timer() const;

    /// Appends the complete state in a canonical form.
    void append_state(std::string& out) const;

private:
    /// Progress of the query to one of the two entries that an id names.
    enum class source_state
    {
        /// Not queried yet, or the answer is outstanding.
        open,
        /// Did not answer within the resolve interval, or was reported as unreachable.
        silent,
        /// Answered that the request was granted and may be running.
        running,
        /// Cannot report the outcome: no such entry, restarted process, or discarded records.
        outcome_lost
    };

    struct task
    {
        request_id id;
        source_state primary = source_state::open;
        source_state witness = source_state::open;
        bool primary_queried = false;
        base::time_point timer_at;
        base::time_point next_query_at;
        std::map<base::local_request_id, base::time_point> waiters;
    };

    using tasks = std::unordered_map<std::string, task>;

    void query_sources(tasks::iterator it, base::time_point now, witness_ledger& witness_records,
                       claim_counters& counters, claim_actions& actions);
    bool query_witness(tasks::iterator it, base::time_point now, witness_ledger& witness_records,
                       claim_counters& counters, claim_actions& actions);
    bool finish_if_unresolvable(tasks::iterator it, claim_counters& counters,
                                claim_actions& actions);
    bool apply_answer(tasks::iterator it, source_state& source, messages::request_state state,
                      std::uint32_t status, claim_counters& counters, claim_actions& actions);
    void finish(tasks::iterator it, base::error_kind kind, std::uint32_t status,
                claim_counters& counters, claim_actions& actions);
    void answer_expired_waiters(tasks::iterator it, base::time_point now, claim_counters& counters,
                                claim_actions& actions);
    void schedule(tasks::iterator it);
    void erase(tasks::iterator it);

    entry_incarnation self_;
    claim_limits limits_;
    tasks tasks_;
    std::unordered_map<base::local_request_id, std::string> id_texts_;
    std::set<std::pair<base::time_point, std::string>> timers_;
};

/// Appends the answer of a request and counts it. Thread safety: none.
void append_answer(base::local_request_id local, base::error_kind kind, std::uint32_t status,
                   claim_counters& counters, claim_actions& actions);

} // namespace fuchsiaproxy::requests

#endif
