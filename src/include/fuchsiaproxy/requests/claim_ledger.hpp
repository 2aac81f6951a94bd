#ifndef FUCHSIAPROXY_REQUESTS_CLAIM_LEDGER_HPP
#define FUCHSIAPROXY_REQUESTS_CLAIM_LEDGER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/requests/claim_limits.hpp"

namespace fuchsiaproxy::requests
{

/// State of a request at its primary.
enum class claim_state
{
    /// The claim was sent to the witness; nothing was sent to an upstream.
    claiming,
    /// Granted: the request may have been sent to an upstream.
    running,
    /// An upstream answered.
    done,
    /// Bytes were sent and no answer arrived.
    outcome_unknown,
    /// The request did not run and is permanently refused.
    tombstoned
};

/// The primary's record of a request.
struct claim_record
{
    claim_state state = claim_state::claiming;
    /// Status of the upstream when `done`.
    std::uint32_t status = 0;
    /// Whether an attempt was sent to an upstream and may have run.
    bool sent = false;
    /// The request that is sent to the upstream; set while claiming or running.
    std::optional<base::local_request_id> owner;
    base::time_point claim_expires;
    /// Witness named by the id; empty when the primary decides alone.
    base::instance_id witness;
    /// Later requests with the same id, waiting for the outcome of `owner`.
    std::vector<base::local_request_id> waiters;
};

/// State of a generation of ids. It decides whether an id without a record may still run.
enum class generation_state
{
    /// Not started: no ticket of this generation was issued yet, and its ids may run later.
    future,
    /// Ids without a record may be claimed.
    open,
    /// Ids without a record did not run and are refused.
    closed,
    /// Records were discarded: the outcome of an id without a record is unknown.
    discarded
};

/// Requests of which this entry is the primary, by generation.
///
/// Closing a generation refuses all its ids that have no record, as a tombstone on each would. A
/// full ledger can still report that they did not run. Only ids of `discarded` generations resolve
/// to "unknown". A generation never returns to an earlier state.
/// Thread safety: none; a value, confined to its owner's thread.
class claim_ledger
{
public:
    /// Starts with generation 1 at `now`.
    claim_ledger(claim_limits const& limits, base::time_point now);

    /// Starts the generations that are due at `now`, closes those at least two behind the current
    /// one, and discards those past their retention that have no request in progress.
    void rotate(base::time_point now);

    /// Returns the generation of new tickets.
    std::uint32_t generation() const noexcept
    {
        return generation_;
    }

    /// Returns the state of `generation`, which applies to its ids that have no record.
    generation_state state_of(std::uint32_t generation) const noexcept;

    /// Returns the record of the id, or null. Valid until the next call of `insert` or `rotate`.
    claim_record* find(std::uint32_t generation, std::string const& text);

    /// Adds a record, or returns null when the ledger is full. Precondition: the id has no record
    /// and its generation is open.
    claim_record* insert(std::uint32_t generation, std::string const& text);

    /// Closes every generation up to the current one and starts the next.
    void close_current(base::time_point now);

    /// Returns the number of records.
    std::size_t size() const noexcept
    {
        return size_;
    }

    /// Appends the complete state in a canonical form: ledgers with equal state behave alike.
    void append_state(std::string& out) const;

private:
    using records = std::unordered_map<std::string, claim_record>;

    void drop_tombstones_of_closed();
    void discard_old();
    bool discard_lowest();

    claim_limits limits_;
    std::uint32_t generation_ = 1;
    std::uint32_t closed_ = 0;
    std::uint32_t discarded_ = 0;
    base::time_point rotates_at_;
    std::map<std::uint32_t, records> generations_;
    std::size_t size_ = 0;
};

} // namespace fuchsiaproxy::requests

#endif
