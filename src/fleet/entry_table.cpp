#include "fuchsiaproxy/fleet/entry_table.hpp"

#include <cstddef>

namespace fuchsiaproxy::fleet
{
namespace
{

// Removals kept for incremental digests; a receiver that is further behind gets a full one.
constexpr std::size_t max_removals = 256;

// Load is published in steps of this size: smaller changes are not worth a message to every member
// of the zone.
constexpr std::uint32_t load_step_permille = 125;

bool same_published_state(messages::entry_info const& a, messages::entry_info const& b)
{
    return a.incarnation == b.incarnation && a.draining == b.draining && a.witness == b.witness &&
           a.witness_incarnation == b.witness_incarnation && a.generation == b.generation &&
           a.version == b.version && a.caller_address == b.caller_address &&
           a.peer_address == b.peer_address &&
           a.load_permille / load_step_permille == b.load_permille / load_step_permille;
}

} // namespace

bool entry_table::record(messages::entry_info const& info, base::time_point now)
{
    auto const found = entries_.find(info.id);
    if (found == entries_.end())
    {
        entries_[info.id] = known_entry{info, now, ++revision_};
        return true;
    }
    auto& known = found->second;
    if (info.incarnation < known.info.incarnation)
    {
        return false;
    }
    if (!same_published_state(known.info, info))
    {
        known.revision = ++revision_;
    }
    known.info = info;
    known.last_heard = now;
    return true;
}

void entry_table::refresh(base::instance_id const& id, base::time_point now)
{
    auto const found = entries_.find(id);
    if (found != entries_.end() && found->second.last_heard < now)
    {
        found->second.last_heard = now;
    }
}

void entry_table::remove(base::instance_id const& id, base::incarnation last)
{
    auto const found = entries_.find(id);
    if (found == entries_.end() || found->second.info.incarnation > last)
    {
        return;
    }
    entries_.erase(found);
    record_removal(id);
}

std::size_t entry_table::expire(base::time_point oldest)
{
    std::size_t n = 0;
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        if (it->second.last_heard >= oldest)
        {
            ++it;
            continue;
        }
        record_removal(it->first);
        it = entries_.erase(it);
        ++n;
    }
    return n;
}

known_entry const* entry_table::find(base::instance_id const& id) const
{
    auto const found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

void entry_table::record_removal(base::instance_id const& id)
{
    removals_[++revision_] = id;
    if (removals_.size() > max_removals)
    {
        oldest_removal_ = removals_.begin()->first;
        removals_.erase(removals_.begin());
    }
}

} // namespace fuchsiaproxy::fleet
