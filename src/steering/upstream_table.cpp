#include "upstream_table.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaproxy::steering
{

upstream_table::upstream_table(std::map<base::availability_zone_id, base::region_id> const& zones,
                               removal_grace_period const& removal_grace)
    : zones_(zones), removal_grace_(removal_grace)
{
}

base::region_id upstream_table::region_of(base::availability_zone_id const& zone) const
{
    auto const it = zones_.find(zone);
    return it == zones_.end() ? base::region_id() : it->second;
}

void upstream_table::replace_all(std::vector<upstream_record> const& all, base::time_point now)
{
    std::set<base::upstream_id> listed;
    auto const may_be_outdated = removal_grace_.follows_restore(now);
    start_times at_address;
    if (may_be_outdated)
    {
        for (auto const& it : all_)
        {
            auto const& record = it.second->record;
            auto& started = at_address[{record.at.address, record.at.port}];
            started = std::max(started, record.started_at_ms);
        }
    }
    for (auto const& it : all)
    {
        if (may_be_outdated && is_of_earlier_lifetime(it, at_address))
        {
            continue;
        }
        listed.insert(it.id);
        upsert(it, now);
    }
    std::vector<base::upstream_id> missing;
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

void upstream_table::upsert(upstream_record const& it, base::time_point now)
{
    auto const found = all_.find(it.id);
    if (found == all_.end())
    {
        insert(it, now);
        return;
    }
    auto& known = *found->second;
    auto const same_incarnation = known.record.started_at_ms == it.started_at_ms &&
                                  known.record.at.address == it.at.address &&
                                  known.record.at.port == it.at.port &&
                                  known.record.service == it.service;
    if (!same_incarnation)
    {
        erase(found);
        insert(it, now);
        return;
    }
    // A write that was done late, or a record of an older copy of the store. Reports without a
    // number say nothing about their age, but do not end a drain.
    auto const outdated = it.started_at_ms != 0 && it.sequence < known.record.sequence &&
                          (it.sequence != 0 || (known.record.draining && !it.draining));
    if (outdated)
    {
        known.removal_due.reset();
        removals_due_.erase(it.id);
        return;
    }
    auto const starts_to_drain = it.draining && !known.record.draining;
    ++generation_;
    known.record = it;
    known.removal_due.reset();
    removals_due_.erase(it.id);
    known.cold_until = std::max(known.cold_until, now + it.remaining_warm_up);
    if (starts_to_drain)
    {
        retired_.push_back(it.at);
    }
}

bool upstream_table::is_of_earlier_lifetime(upstream_record const& it,
                                            start_times const& at_address) const
{
    if (it.started_at_ms == 0)
    {
        return false;
    }
    auto const known = all_.find(it.id);
    auto const other = at_address.find({it.at.address, it.at.port});
    return (known != all_.end() && it.started_at_ms < known->second->record.started_at_ms) ||
           (other != at_address.end() && it.started_at_ms < other->second) ||
           departed_.knows_later_lifetime(it);
}

void upstream_table::insert(upstream_record const& it, base::time_point now)
{
    auto const made = std::make_shared<upstream_state>(it, region_of(it.zone));
    made->zone_index =
        static_cast<std::size_t>(std::distance(zones_.begin(), zones_.find(it.zone)));
    made->evacuated = evacuated_.count(it.zone) != 0;
    made->cold_until = now + it.remaining_warm_up;
    departed_.restore(*made);
    all_.emplace(it.id, made);
    by_tag_[made->tag()] = made;
    by_service_[it.service].push_back(made);
    ++generation_;
}

void upstream_table::erase(map::iterator it)
{
    auto const known = it->second;
    ++generation_;
    known->removed = true;
    departed_.store(*known);
    removals_due_.erase(it->first);
    auto& same_service = by_service_[known->record.service];
    same_service.erase(std::remove(same_service.begin(), same_service.end(), known),
                       same_service.end());
    retired_.push_back(known->record.at);
    by_tag_.erase(known->tag());
    all_.erase(it);
}

void upstream_table::remove(base::upstream_id const& id, base::time_point now)
{
    auto const found = all_.find(id);
    if (found == all_.end())
    {
        return;
    }
    auto const due = removal_grace_.kept_until(now);
    if (!due || found->second->record.draining)
    {
        erase(found);
        return;
    }
    found->second->removal_due = found->second->removal_due.value_or(*due);
    removals_due_.insert(id);
}

void upstream_table::mark_replaced(upstream_state& it)
{
    it.removed = true;
    ++generation_;
}

template <class Change>
void upstream_table::change_lifetime(upstream_state& it, Change change)
{
    change(it);
    auto const found = all_.find(it.record.id);
    if (found == all_.end())
    {
        departed_.store(it);
        return;
    }
    auto& listed = *found->second;
    if (&listed != &it && listed.record.started_at_ms == it.record.started_at_ms)
    {
        change(listed);
    }
}

bool upstream_table::mark_leaving(upstream_state& it)
{
    if (it.leaving)
    {
        return false;
    }
    change_lifetime(it, [](upstream_state& one) { one.leaving = true; });
    ++generation_;
    retired_.push_back(it.record.at);
    return true;
}

bool upstream_table::pause(upstream_state& it, base::time_point until)
{
    auto const longer = until > it.paused_until;
    change_lifetime(it, [until](upstream_state& one) { one.pause(until); });
    return longer;
}

void upstream_table::set_evacuated_zones(
    std::set<base::availability_zone_id> const& zones,
    std::unordered_map<base::service_id, service> const& services, base::time_point now)
{
    ++generation_;
    for (auto const& it : all_)
    {
        auto& known = *it.second;
        auto const is_evacuated = zones.count(known.record.zone) != 0;
        if (known.evacuated && !is_evacuated)
        {
            auto const declared = services.find(known.record.service);
            auto const cold =
                declared == services.end() ? base::duration{} : declared->second.cold_start;
            known.cold_until = std::max(known.cold_until, now + cold);
        }
        known.evacuated = is_evacuated;
    }
    evacuated_ = zones;
}

void upstream_table::store_regained(base::time_point now)
{
    for (auto it = removals_due_.begin(); it != removals_due_.end();)
    {
        auto& due = all_.at(*it)->removal_due;
        due = removal_grace_.kept_until(now);
        it = due ? std::next(it) : removals_due_.erase(it);
    }
}

void upstream_table::tick(base::time_point now)
{
    for (auto it = removals_due_.begin(); it != removals_due_.end();)
    {
        auto const found = all_.find(*it);
        ++it; // `erase` invalidates the current position.
        if (removal_grace_.is_due(found->second->removal_due, now))
        {
            erase(found);
        }
    }
}

base::time_point upstream_table::next_wakeup() const
{
    auto first = base::time_point::max();
    if (removal_grace_.is_reachable())
    {
        for (auto const& it : removals_due_)
        {
            first = std::min(first, all_.at(it)->removal_due.value_or(first));
        }
    }
    return first;
}

std::vector<upstream_ptr> const& upstream_table::of_service(base::service_id const& service) const
{
    static std::vector<upstream_ptr> const none;
    auto const it = by_service_.find(service);
    return it == by_service_.end() ? none : it->second;
}

upstream_state* upstream_table::find_by_tag(upstream_tag tag) const
{
    auto const it = by_tag_.find(tag);
    return it == by_tag_.end() ? nullptr : it->second.get();
}

bool upstream_table::empty() const
{
    return all_.empty();
}

std::vector<model::endpoint> upstream_table::take_retired()
{
    return std::exchange(retired_, {});
}

} // namespace fuchsiaproxy::steering
