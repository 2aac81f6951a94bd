#ifndef FUCHSIAPROXY_STEERING_ENTRY_VIEW_HPP
#define FUCHSIAPROXY_STEERING_ENTRY_VIEW_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaproxy/steering/director.hpp"
#include "fuchsiaproxy/steering/records.hpp"
#include "removal_grace_period.hpp"

namespace fuchsiaproxy::steering
{

/// Distance of another entry.
enum class peer_distance
{
    same_zone,
    same_region,
    other_region
};

/// Live entries according to their leases in the store. An entry whose lease expired while the
/// store was unreachable is kept for a grace period, like upstream records. An entry that has left
/// and is in a listing again, because the store has returned from an older copy, is not named until
/// its record is written again or that grace period ends.
///
/// Thread safety: none.
class entry_view
{
public:
    /// Both arguments must outlive the view.
    entry_view(director_identity const& self, removal_grace_period const& removal_grace);

    void replace_all(std::vector<entry_record> const& all, base::time_point now);
    void upsert(entry_record const& it);
    void remove(base::instance_id const& id, base::time_point now);
    /// Updates pending removals after the store's recovery. Call `store_regained` of the grace
    /// period first.
    void store_regained(base::time_point now);
    void tick(base::time_point now);
    /// Returns when `tick` must be called next; the largest time if never.
    base::time_point next_wakeup() const;

    base::region_id const& own_region() const
    {
        return self_.region;
    }

    base::availability_zone_id const& own_zone() const
    {
        return self_.zone;
    }

    /// Returns all zones of the deployment with their regions.
    std::map<base::availability_zone_id, base::region_id> const& zone_regions() const
    {
        return self_.zones;
    }

    /// Returns a number that changes with the list of entries and their records.
    std::uint64_t generation() const
    {
        return generation_;
    }

    /// Returns the number of live entries, this one included.
    std::size_t size() const;

    /// Returns the rank of this entry among the live entries by rendezvous weight for `key`; 0 is
    /// the highest.
    std::size_t rank_of_self(std::uint64_t key) const;

    /// Returns the number of zones with live entries, by region.
    std::map<base::region_id, double> zones_per_region() const;

    /// Returns the weight of the callers of each zone: 1 for those with live entries.
    std::map<base::availability_zone_id, double> caller_weights() const;

    /// Returns the number of live entries of this entry's zone, this one included.
    std::size_t entries_in_own_zone() const;

    /// Returns the number of live entries by region, this one included.
    std::map<base::region_id, std::size_t> entries_per_region() const;

    /// Returns the ids and distances of the other live entries.
    std::vector<std::pair<base::instance_id, peer_distance>> other_entries() const;

    /// Returns the number of live entries in the zone that has most.
    std::size_t largest_zone_size() const;

    /// Returns the peer addresses of the other entries at `distance`.
    std::vector<model::endpoint> peers(peer_distance distance) const;

    /// Returns up to `max_count` addresses for callers in `zone`: those in its region, or in all
    /// other regions if its region has none. If there are more than `max_count`, each entry returns
    /// a different but stable subset. Without `with_self`, this entry is left out unless it is the
    /// only one.
    std::vector<std::string> addresses_for(base::availability_zone_id const& zone,
                                           std::size_t max_count, bool with_self = true) const;

private:
    static constexpr std::size_t max_departed = 4096;

    struct known_entry
    {
        entry_record record;
        std::uint64_t hash = 0;
        std::optional<base::time_point> removal_due;
    };

    peer_distance distance_of(entry_record const& it) const;
    void erase(std::map<base::instance_id, known_entry>::iterator it);

    director_identity const& self_;
    removal_grace_period const& removal_grace_;
    std::map<base::instance_id, known_entry> all_;
    /// Entries that have left, the most recent `max_departed` of them.
    std::set<base::instance_id> departed_;
    std::deque<base::instance_id> departed_order_;
    /// Listed records of entries that have left, until the grace period ends.
    std::map<base::instance_id, entry_record> doubtful_;
    std::uint64_t generation_ = 0;
};

} // namespace fuchsiaproxy::steering

#endif
