#ifndef FUCHSIAPROXY_STEERING_UPSTREAM_TABLE_HPP
#define FUCHSIAPROXY_STEERING_UPSTREAM_TABLE_HPP

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lifetime_memory.hpp"
#include "removal_grace_period.hpp"
#include "upstream_state.hpp"

namespace fuchsiaproxy::steering
{

/// Upstreams listed by discovery, with the state that this entry keeps for each.
///
/// A record that is removed while the store is unreachable, or shortly after its recovery, may only
/// have expired: its upstream is kept for a grace period, unless it was draining. After the store
/// has returned from an older copy, a listing may contain records of earlier lifetimes: until that
/// grace period ends, they are ignored, also at an address that a later lifetime has taken over.
///
/// Thread safety: none.
class upstream_table
{
public:
    /// Both arguments must outlive the table.
    upstream_table(std::map<base::availability_zone_id, base::region_id> const& zones,
                   removal_grace_period const& removal_grace);

    /// Replaces all records; records that are not in `all` are removed as by `remove`.
    void replace_all(std::vector<upstream_record> const& all, base::time_point now);
    void upsert(upstream_record const& it, base::time_point now);
    void remove(base::upstream_id const& id, base::time_point now);

    /// Replaces the set of evacuated zones. Upstreams of a zone that is no longer evacuated count
    /// as cold, since their records may predate their last start.
    void set_evacuated_zones(std::set<base::availability_zone_id> const& zones,
                             std::unordered_map<base::service_id, service> const& services,
                             base::time_point now);

    /// Updates pending removals after the store's recovery. Call `store_regained` of the grace
    /// period first.
    void store_regained(base::time_point now);

    /// Removes the records whose grace period has ended.
    void tick(base::time_point now);
    /// Returns when `tick` must be called next; the largest time if never.
    base::time_point next_wakeup() const;

    /// Returns the upstreams of a service, in no particular order.
    std::vector<upstream_ptr> const& of_service(base::service_id const& service) const;

    /// Returns a number that changes with the list of upstreams, their records, and whether they
    /// accept requests.
    std::uint64_t generation() const
    {
        return generation_;
    }

    /// Marks an upstream of this table as removed, because another one answers at its address.
    void mark_replaced(upstream_state& it);

    /// Excludes an upstream for the rest of its lifetime, because it has stated that it is leaving.
    /// Returns false if it was excluded so already.
    bool mark_leaving(upstream_state& it);

    /// Excludes an upstream until `until`. Returns false if it is paused for longer already.
    bool pause(upstream_state& it, base::time_point until);

    bool empty() const;

    /// Returns the upstream with the given tag, or null.
    upstream_state* find_by_tag(upstream_tag tag) const;

    /// Calls `use` for each upstream.
    template <class Use>
    void for_each(Use use) const
    {
        for (auto const& it : all_)
        {
            use(*it.second);
        }
    }

    /// Returns the endpoints of the upstreams that began to drain or were removed since the last
    /// call.
    std::vector<model::endpoint> take_retired();

private:
    using map = std::unordered_map<base::upstream_id, upstream_ptr>;

    void erase(map::iterator it);
    /// Start time of the upstream that is known at an address.
    using start_times = std::map<std::pair<std::string, std::uint16_t>, std::uint64_t>;
    /// Returns whether a record belongs to an earlier lifetime than one that is known under its id
    /// or at its address.
    bool is_of_earlier_lifetime(upstream_record const& it, start_times const& at_address) const;
    /// Applies `change` to the state of a lifetime: `it`, the state of its record if it has been
    /// listed anew since, and what is remembered while it has none.
    template <class Change>
    void change_lifetime(upstream_state& it, Change change);
    void insert(upstream_record const& it, base::time_point now);
    base::region_id region_of(base::availability_zone_id const& zone) const;

    std::map<base::availability_zone_id, base::region_id> const& zones_;
    removal_grace_period const& removal_grace_;
    map all_;
    std::unordered_map<upstream_tag, upstream_ptr> by_tag_;
    std::unordered_map<base::service_id, std::vector<upstream_ptr>> by_service_;
    std::set<base::availability_zone_id> evacuated_;
    /// Records that are kept for a grace period.
    std::set<base::upstream_id> removals_due_;
    std::vector<model::endpoint> retired_;
    lifetime_memory departed_;
    std::uint64_t generation_ = 0;
};

} // namespace fuchsiaproxy::steering

#endif
