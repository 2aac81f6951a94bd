#include "peer_loads.hpp"

namespace fuchsiaproxy::steering
{

void peer_loads::apply(peer_load const& it, base::time_point now)
{
    auto& known = entries_[it.from];
    if (it.sequence <= known.last.sequence)
    {
        return;
    }
    subtract(known);
    known = entry_load{it, now};
    for (auto const& one : it.upstreams)
    {
        totals_[one.upstream] += one.in_flight;
    }
}

void peer_loads::remove_entry(base::instance_id const& entry)
{
    auto const it = entries_.find(entry);
    if (it != entries_.end())
    {
        subtract(it->second);
        entries_.erase(it);
    }
}

void peer_loads::tick(base::time_point now, base::duration max_age)
{
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        if (now - it->second.received_at <= max_age)
        {
            ++it;
            continue;
        }
        subtract(it->second);
        it = entries_.erase(it);
    }
}

void peer_loads::subtract(entry_load const& it)
{
    for (auto const& one : it.last.upstreams)
    {
        auto const total = totals_.find(one.upstream);
        if (total != totals_.end() && (total->second -= one.in_flight) == 0)
        {
            totals_.erase(total);
        }
    }
}

std::uint32_t peer_loads::in_flight_at(upstream_tag upstream) const
{
    auto const it = totals_.find(upstream);
    return it == totals_.end() ? 0 : it->second;
}

std::size_t peer_loads::entry_count() const
{
    return entries_.size();
}

} // namespace fuchsiaproxy::steering
