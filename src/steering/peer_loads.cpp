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
        auto& total = totals_[one.upstream];
        total.in_flight += one.in_flight;
        total.without_work += one.open_work == base::duration{} ? one.in_flight : 0;
        total.work += one.open_work;
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
        auto const found = totals_.find(one.upstream);
        if (found == totals_.end())
        {
            continue;
        }
        auto& total = found->second;
        total.without_work -= one.open_work == base::duration{} ? one.in_flight : 0;
        total.work -= one.open_work;
        if ((total.in_flight -= one.in_flight) == 0)
        {
            totals_.erase(found);
        }
    }
}

std::uint32_t peer_loads::in_flight_at(upstream_tag upstream) const
{
    auto const it = totals_.find(upstream);
    return it == totals_.end() ? 0 : it->second.in_flight;
}

double peer_loads::work_at(upstream_tag upstream, double typical_work) const
{
    auto const it = totals_.find(upstream);
    if (it == totals_.end())
    {
        return 0;
    }
    return std::chrono::duration<double>(it->second.work).count() +
           it->second.without_work * typical_work;
}

std::size_t peer_loads::entry_count() const
{
    return entries_.size();
}

} // namespace fuchsiaproxy::steering
