#ifndef FUCHSIAPROXY_REQUESTS_WITNESS_LEDGER_HPP
#define FUCHSIAPROXY_REQUESTS_WITNESS_LEDGER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/requests/claim_limits.hpp"
#include "fuchsiaproxy/requests/request_id.hpp"

namespace fuchsiaproxy::requests
{

/// A witness's record of a request; also its answer to `resolve`.
struct witness_record
{
    messages::request_state state = messages::request_state::unknown;
    std::uint32_t status = 0;
};

/// Requests of other primaries that this entry granted or refused.
///
/// A primary is registered by its first heartbeat or claim; ids of an unregistered one resolve to
/// `unknown`. A primary that was evicted to make room is never accepted again, because the
/// tombstones on its ids are lost: `highest_evicted_` is the highest incarnation that was evicted,
/// and no primary with an incarnation up to it is added. Incarnations should therefore rise with
/// the start time of the process; otherwise primaries are refused needlessly.
/// Thread safety: none; a value, confined to its owner's thread.
class witness_ledger
{
public:
    explicit witness_ledger(claim_limits const& limits) : limits_(limits) {}

    /// Registers `primary` or updates its last contact and its current `generation`, and closes the
    /// generations that it no longer accepts. Returns false if the primary cannot be registered.
    /// Precondition: the generation comes from a message of the primary itself.
    bool register_primary(entry_incarnation const& primary, std::uint32_t generation,
                          base::time_point now);

    /// Returns whether the claim of `id` is granted; a refusal is permanent. Precondition: the
    /// claim came from the primary's incarnation, and the id names this entry's incarnation as its
    /// witness.
    bool grant(request_id const& id, std::string const& text, base::time_point now);

    /// Returns the record of `id`, and places a tombstone on the id if it was not granted.
    /// Precondition: the id names this entry's incarnation as its witness.
    witness_record resolve(request_id const& id, std::string const& text, base::time_point now);

    /// Records that the request ran. Returns false if this contradicts the record. Preconditions
    /// as for `grant`.
    bool record_done(request_id const& id, std::string const& text, std::uint32_t status,
                     base::time_point now);

    /// Records that the primary placed a tombstone, before or after the grant. Returns false if
    /// this contradicts the record. Preconditions as for `grant`.
    bool withdraw(request_id const& id, std::string const& text, base::time_point now);

    /// Discards the generations whose retention has passed at `now`.
    void expire(base::time_point now);

    /// Returns the number of records.
    std::size_t size() const noexcept
    {
        return size_;
    }

    /// Returns the number of registered primaries.
    std::size_t primaries() const noexcept
    {
        return primaries_.size();
    }

    /// Appends the complete state in a canonical form: ledgers with equal state behave alike.
    void append_state(std::string& out) const;

private:
    struct generation_records
    {
        std::unordered_map<std::string, witness_record> all;
        base::time_point last_change;
    };

    struct primary_records
    {
        /// Highest generation that the primary itself reported.
        std::uint32_t highest_generation = 0;
        /// Ids up to this generation are not granted any more.
        std::uint32_t closed = 0;
        /// Records up to this generation were discarded; at most `closed`.
        std::uint32_t discarded = 0;
        /// Time of the primary's last heartbeat or claim.
        base::time_point last_contact;
        std::map<std::uint32_t, generation_records> generations;
    };

    primary_records* add_primary(entry_incarnation const& primary, base::time_point now);
    bool evict_silent_primary(base::time_point now);
    primary_records* find_primary(request_id const& id);
    witness_record* find(primary_records& primary, std::uint32_t generation,
                         std::string const& text);
    bool insert(primary_records& primary, std::uint32_t generation, std::string const& text,
                messages::request_state state, base::time_point now);
    void close(primary_records& primary, std::uint32_t generation);
    bool discard_oldest();
    void discard_lowest(primary_records& primary);

    claim_limits limits_;
    std::map<entry_incarnation, primary_records> primaries_;
    base::incarnation highest_evicted_{0};
    std::size_t size_ = 0;
};

} // namespace fuchsiaproxy::requests

#endif
