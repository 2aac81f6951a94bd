#ifndef FUCHSIAPROXY_LIMITS_SHARE_LEDGER_HPP
#define FUCHSIAPROXY_LIMITS_SHARE_LEDGER_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/limits/share_document.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::limits
{

/// Counters of a hub's decisions.
struct share_ledger_counters
{
    std::uint64_t commits = 0;
    std::uint64_t failed_commits = 0;
    std::uint64_t grants = 0;
    std::uint64_t ignored_returns = 0;
    std::uint64_t dead_owners = 0;
};

/// Hub side of the share protocol: divides the parts of one availability zone among its entries.
///
/// Usage: `load` the document from the store, pass events, and write the result of `prepare` by
/// compare-and-swap on the revision of the store's key that was read or written last. Call
/// `on_committed` only if the store confirmed the write; after a conflict or an unknown result call
/// `on_commit_failed`, read the key and `load` it again. Grants are sent only after the store has
/// committed them, so two entries that act as hub at the same time never grant the same share.
///
/// A reduction is written to the document one window and a margin after it was acknowledged, so the
/// amount that is free in a document can be granted at once, by any hub.
/// Thread safety: none. `now` must not decrease.
class share_ledger
{
public:
    /// Applies the parts of `zone`. Caps that are not in `config` have no part.
    void apply(model::configuration const& config, base::availability_zone_id const& zone);

    /// Replaces the state by the document in the store. Uncommitted changes are discarded, but
    /// acknowledged reductions are kept.
    void load(share_document document, base::time_point now);

    /// Records the demand of an entry and resends its committed grant. The demand is not stored,
    /// because the entries repeat it.
    void on_request(share_owner const& owner, messages::share_request const& it,
                    base::time_point now, hub_actions& actions);

    /// Handles an entry's acknowledgement that it uses at most `it.amount` from now on.
    void on_return(share_owner const& owner, messages::share_return const& it,
                   base::time_point now);

    /// Handles the instance list: all entries that are live or leaving. Only the shares of listed
    /// entries are raised. An entry is dead once it disappears from the list, or if it has a
    /// reservation and was absent from all lists of one minute; a shorter absence proves nothing,
    /// because the list may be older than the reservation. Precondition: `entries` is not older
    /// than in the previous call.
    void on_instance_list(std::set<base::instance_id> const& entries, base::time_point now);

    /// Records that `owner` is alive, for example after a heartbeat. Earlier processes of the same
    /// instance are dead.
    void on_owner_alive(share_owner const& owner, base::time_point now);

    /// Returns the document to write, or nothing if no document is loaded, a write is in progress,
    /// the last write was too recent, nothing changed, or another hub has written for a later
    /// version of the configuration.
    std::optional<share_document> prepare(base::time_point now);

    /// Handles the store's confirmation of the last document of `prepare`; adds the messages with
    /// its new grants to `actions`.
    void on_committed(hub_actions& actions);

    /// Handles a failed write of the last document of `prepare`, or one with an unknown result.
    /// `load` has to follow.
    void on_commit_failed();

    share_ledger_counters const& counters() const noexcept
    {
        return counters_;
    }

private:
    /// A reduction that an entry acknowledged for the grant `revision`.
    struct reduction
    {
        base::cap_id cap;
        share_owner owner;
        std::uint64_t amount = 0;
        std::uint64_t revision = 0;
        base::time_point effective_at;
    };

    struct demand
    {
        std::uint64_t amount = 0;
        base::time_point asked_at;
    };

    using reservations = std::map<share_owner, share_reservation>;

    void mark_dead(share_owner const& owner, base::time_point now);
    void apply_reductions(base::time_point now);
    void remove_dead(base::time_point now);
    std::uint64_t part_of(base::cap_id const& cap) const;
    void allocate(base::cap_id const& cap);
    void reduce(base::cap_id const& cap, reservations& all,
                std::map<share_owner, std::uint64_t> const& fair);
    void raise(base::cap_id const& cap, reservations& all,
               std::map<share_owner, std::uint64_t> const& fair);
    std::map<share_owner, std::uint64_t> wanted(base::cap_id const& cap,
                                                reservations const& all) const;
    void drop_old_demand(base::time_point now);

    std::map<base::cap_id, std::uint64_t> parts_;
    std::map<std::pair<base::cap_id, share_owner>, demand> demands_;
    std::map<base::instance_id, base::incarnation> newest_;
    share_document committed_;
    /// `committed_` with later changes; `pending_` is the copy that is being written.
    share_document working_;
    std::optional<share_document> pending_;
    std::vector<reduction> reductions_;
    std::map<share_owner, base::time_point> dead_;
    std::set<base::instance_id> listed_;
    std::map<base::instance_id, base::time_point> absent_since_;
    std::set<base::instance_id> disappeared_;
    base::config_version version_;
    base::time_point next_commit_;
    bool loaded_ = false;
    bool changed_ = false;
    share_ledger_counters counters_;
};

/// Divides `part` by max-min fairness: an owner gets at most what it wants, and those that get less
/// share the rest equally, up to rounding. The sum is at most `part`. Thread safe.
std::map<share_owner, std::uint64_t>
divide_fairly(std::uint64_t part, std::map<share_owner, std::uint64_t> const& wanted);

} // namespace fuchsiaproxy::limits

#endif
