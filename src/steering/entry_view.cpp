#include "entry_view.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "hashing.hpp"

namespace fuchsiaproxy::steering
{

entry_view::entry_view(director_identity const& self, removal_grace_period const& removal_grace)
    : self_(self), removal_grace_(removal_grace)
{
}

void entry_view::replace_all(std::vector<entry_record> const& all, base::time_point now)
{
    std::set<base::instance_id> listed;
    doubtful_.clear();
    for (auto const& it : all)
    {
        listed.insert(it.id);
        if (removal_grace_.follows_restore(now) && departed_.count(it.id) != 0)
        {
            doubtful_.emplace(it.id, it);
            continue;
        }
        upsert(it);
    }
    std::vector<base::instance_id> missing;
    for (auto const& it : all_)
    {
        if (listed.count(it.first) == 0)
        {
            missing.push_back(it.first);
        }
    }
    for (auto const& it : missing)
    {
        remove(it, now);
    }
}

void entry_view::upsert(entry_record const& it)
{
    ++generation_;
    departed_.erase(it.id);
    doubtful_.erase(it.id);
    all_[it.id] = known_entry{it, hash_of(it.id.value()), std::nullopt};
}

void entry_view::erase(std::map<base::instance_id, known_entry>::iterator it)
{
    ++generation_;
    if (departed_.insert(it->first).second)
    {
        departed_order_.push_back(it->first);
    }
    while (departed_order_.size() > max_departed)
    {
        departed_.erase(departed_order_.front());
        departed_order_.pop_front();
    }
    all_.erase(it);
}

void entry_view::remove(base::instance_id const& id, base::time_point now)
{
    doubtful_.erase(id);
    auto const found = all_.find(id);
    if (found == all_.end())
    {
        return;
    }
    auto const due = removal_grace_.kept_until(now);
    if (!due)
    {
        erase(found);
        return;
    }
    found->second.removal_due = found->second.removal_due.value_or(*due);
}

void entry_view::store_regained(base::time_point now)
{
    for (auto& it : all_)
    {
        auto& due = it.second.removal_due;
        due = due ? removal_grace_.kept_until(now) : std::nullopt;
    }
}

void entry_view::tick(base::time_point now)
{
    for (auto it = all_.begin(); it != all_.end();)
    {
        auto const at = it++; // `erase` invalidates the current position.
        if (removal_grace_.is_due(at->second.removal_due, now))
        {
            erase(at);
        }
    }
    if (!doubtful_.empty() && !removal_grace_.follows_restore(now))
    {
        for (auto const& it : std::exchange(doubtful_, {}))
        {
            upsert(it.second);
        }
    }
}

base::time_point entry_view::next_wakeup() const
{
    auto first = base::time_point::max();
    for (auto const& it : all_)
    {
        first = removal_grace_.is_reachable()
                    ? std::min(first, it.second.removal_due.value_or(first))
                    : first;
    }
    return doubtful_.empty() ? first : std::min(first, removal_grace_.restore_end());
}

std::size_t entry_view::size() const
{
    return all_.size() + (all_.count(self_.id) == 0 ? 1 : 0);
}

std::size_t entry_view::rank_of_self(std::uint64_t key) const
{
    auto const own = weight_of(key, hash_of(self_.id.value()));
    return static_cast<std::size_t>(std::count_if(all_.begin(), all_.end(),
                                                  [&](auto const& it) {
                                                      return it.first != self_.id &&
                                                             weight_of(key, it.second.hash) > own;
                                                  }));
}

std::map<base::availability_zone_id, double> entry_view::caller_weights() const
{
    std::map<base::availability_zone_id, double> made{{self_.zone, 1}};
    for (auto const& it : all_)
    {
        made[it.second.record.zone] = 1;
    }
    return made;
}

std::map<base::region_id, double> entry_view::zones_per_region() const
{
    std::map<base::region_id, double> made;
    for (auto const& it : caller_weights())
    {
        auto const region = self_.zones.find(it.first);
        if (region != self_.zones.end())
        {
            made[region->second] += 1;
        }
    }
    return made;
}

std::size_t entry_view::entries_in_own_zone() const
{
    auto const others =
        std::count_if(all_.begin(), all_.end(),
                      [&](auto const& it)
                      { return it.first != self_.id && it.second.record.zone == self_.zone; });
    return static_cast<std::size_t>(others) + 1;
}

std::map<base::region_id, std::size_t> entry_view::entries_per_region() const
{
    std::map<base::region_id, std::size_t> made;
    for (auto const& it : all_)
    {
        ++made[it.second.record.region];
    }
    made[self_.region] += all_.count(self_.id) == 0 ? 1 : 0;
    return made;
}

peer_distance entry_view::distance_of(entry_record const& it) const
{
    if (it.region != self_.region)
    {
        return peer_distance::other_region;
    }
    return it.zone == self_.zone ? peer_distance::same_zone : peer_distance::same_region;
}

std::vector<std::pair<base::instance_id, peer_distance>> entry_view::other_entries() const
{
    std::vector<std::pair<base::instance_id, peer_distance>> made;
    for (auto const& it : all_)
    {
        if (it.first != self_.id)
        {
            made.emplace_back(it.first, distance_of(it.second.record));
        }
    }
    return made;
}

std::size_t entry_view::largest_zone_size() const
{
    std::map<base::availability_zone_id, std::size_t> sizes;
    std::size_t largest = 0;
    for (auto const& it : all_)
    {
        largest = std::max(largest, ++sizes[it.second.record.zone]);
    }
    return largest;
}

std::vector<model::endpoint> entry_view::peers(peer_distance distance) const
{
    std::vector<model::endpoint> made;
    for (auto const& it : all_)
    {
        auto const& record = it.second.record;
        if (it.first != self_.id && distance_of(record) == distance)
        {
            made.push_back(record.peer_endpoint);
        }
    }
    return made;
}

std::vector<std::string> entry_view::addresses_for(base::availability_zone_id const& zone,
                                                   std::size_t max_count, bool with_self) const
{
    auto const home = self_.zones.find(zone);
    std::vector<known_entry const*> near;
    std::vector<known_entry const*> far;
    auto const knows_others = all_.size() > all_.count(self_.id);
    for (auto const& it : all_)
    {
        if (!with_self && knows_others && it.first == self_.id)
        {
            continue;
        }
        auto const is_near = home != self_.zones.end() && it.second.record.region == home->second;
        (is_near ? near : far).push_back(&it.second);
    }
    auto& chosen = near.empty() ? far : near;
    if (chosen.size() > max_count)
    {
        // Each entry returns a different subset, but always the same one, since callers disconnect
        // from entries that are missing from a new answer.
        auto const key = hash_of(self_.id.value());
        std::nth_element(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(max_count),
                         chosen.end(),
                         [key](known_entry const* a, known_entry const* b)
                         { return weight_of(key, a->hash) > weight_of(key, b->hash); });
        chosen.resize(max_count);
    }
    std::vector<std::string> made;
    made.reserve(chosen.size());
    for (auto const* const it : chosen)
    {
        made.push_back(it->record.address);
    }
    return made;
}

} // namespace fuchsiaproxy::steering
