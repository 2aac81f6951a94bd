#include "evacuations.hpp"

#include <algorithm>
#include <iterator>

namespace fuchsiaproxy::steering
{
namespace
{

using zone_set = std::set<base::availability_zone_id>;

zone_set difference(zone_set const& all, zone_set const& without)
{
    zone_set made;
    std::set_difference(all.begin(), all.end(), without.begin(), without.end(),
                        std::inserter(made, made.end()));
    return made;
}

zone_set common(zone_set const& a, zone_set const& b)
{
    zone_set made;
    std::set_intersection(a.begin(), a.end(), b.begin(), b.end(), std::inserter(made, made.end()));
    return made;
}

} // namespace

evacuations::evacuations(removal_grace_period const& grace) : grace_(grace) {}

void evacuations::list(std::set<base::availability_zone_id> const& zones, base::time_point now)
{
    auto const before = in_force();
    listed_ = zones;
    kept_.clear();
    ignored_.clear();
    if (grace_.follows_restore(now))
    {
        kept_ = difference(before, zones);
        ignored_ = common(zones, difference(taken_back_, before));
        return;
    }
    auto const gone = difference(before, zones);
    taken_back_.insert(gone.begin(), gone.end());
    taken_back_ = difference(taken_back_, zones);
}

void evacuations::change(base::availability_zone_id const& zone, bool evacuated)
{
    kept_.erase(zone);
    ignored_.erase(zone);
    if (evacuated)
    {
        listed_.insert(zone);
        taken_back_.erase(zone);
        return;
    }
    listed_.erase(zone);
    taken_back_.insert(zone);
}

bool evacuations::tick(base::time_point now)
{
    if ((kept_.empty() && ignored_.empty()) || grace_.follows_restore(now))
    {
        return false;
    }
    list(zone_set(listed_), now);
    return true;
}

base::time_point evacuations::next_wakeup() const
{
    return kept_.empty() && ignored_.empty() ? base::time_point::max() : grace_.restore_end();
}

std::set<base::availability_zone_id> evacuations::in_force() const
{
    auto made = difference(listed_, ignored_);
    made.insert(kept_.begin(), kept_.end());
    return made;
}

} // namespace fuchsiaproxy::steering
