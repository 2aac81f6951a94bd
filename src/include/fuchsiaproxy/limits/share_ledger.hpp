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

/// Counts of a hub's decisions.
struct share_ledger_counters
{
    std::uint64_t commits = 0;
    std::uint64_t failed_commits = 0;
    std::uint64_t grants = 0;
    std::uint64_t ignored_returns = 0;
    std::uint64_t dead_owners = 0;
};

/// The hub's side of the reservations of one availability zone.
///
/// Use: `load` what the store has, feed events, and write what `prepare` returns by CAS on the
/// revision of the store's key that was read or written last. Report `on_committed` only when the
/// store confirmed the write; after a conflict or an unknown answer call `on_commit_failed`, read
/// the key and `load` it. An entry learns of a change only after the store has it, so two hubs that
/// both believe to be the hub never promise the same share.
///
/// A reduction enters the document one window and a margin after it was acknowledged, so whatever a
/// document shows as free can be granted at once, by any hub.
/// Thread safety: none. `now` must not decrease.
class share_ledger
{
public:
    /// Takes the parts of `zone`. Caps that are not in `config` have no part.
    void apply(model::configuration const& config, base::availability_zone_id const& zone);

    /// Starts from what the store has. Changes that were not committed are dropped, but what
    /// entries acknowledged stays known.
    void load(share_document document, base::time_point now);

    /// Takes the demand of an entry and repeats the grant that the store has for it. The entries
    /// repeat their demand, so it is not kept in the store.
    void on_request(share_owner const& owner, messages::share_request const& it,
                    base::time_point now, hub_actions& actions);

    /// Takes an entry's acknowledgement that it uses at most `it.amount` from now on.
    void on_return(share_owner const& owner, messages::share_return const& it,
                   base::time_point now);

    /// Takes the instance list: all entries that are live or leaving. Only listed entries get more
    /// than they have. An entry that leaves the list is dead, and so is one that has a reservation
    /// and was absent from all lists of a minute; a list that is older than the reservation may
    /// not name it yet. Precondition: a list is not older than the one of the previous call.
    void on_instance_list(std::set<base::instance_id> const& entries, base::time_point now);

    /// Takes the news that `owner` is alive, from its heartbeats; earlier processes of the instance
    /// are dead.
    void on_registered(share_owner const& owner, base::time_point now);

    /// Returns the document to write, or nothing: while a write is under way, before `load`, soon
    /// after the last write, without a change, or when another hub has written for a later version
    /// of the configuration than this one's.
    std::optional<share_document> prepare(base::time_point now);

    /// The store confirmed the last document of `prepare`.
    void on_committed(hub_actions& actions);

    /// The store refused the last document of `prepare`, or its answer is unknown.
    void on_commit_failed();

    share_ledger_counters const& counters() const noexcept
    {
        return counters_;
    }

private:
    /// A reduction that an entry acknowledged under the grant `revision`.
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

    void on_dead(share_owner const& owner, base::time_point now);
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
    /// `committed_` with the changes since; `pending_` is the copy that is being written.
    share_document working_;
    std::optional<share_document> pending_;
    std::vector<reduction> reductions_;
    std::map<share_owner, base::time_point> dead_;
    std::set<base::instance_id> listed_;
    std::map<base::instance_id, base::time_point> absent_since_;
    std::set<base::instance_id> gone_;
    base::config_version version_;
    base::time_point next_commit_;
    bool loaded_ = false;
    bool changed_ = false;
    share_ledger_counters counters_;
};

/// Divides `part` so that nobody gets more than it wants, and nobody who gets less than it wants
/// gets less than another one who does. The sum is at most `part`. Thread safe.
std::map<share_owner, std::uint64_t>
divide_fairly(std::uint64_t part, std::map<share_owner, std::uint64_t> const& wanted);

} // namespace fuchsiaproxy::limits

#endif
