#include "zone_shares.hpp"

#include <algorithm>

namespace fuchsiaproxy::steering
{
namespace
{

using zone_amounts = std::map<base::availability_zone_id, double>;

double sum_of(zone_amounts const& all)
{
    double sum = 0;
    for (auto const& it : all)
    {
        sum += it.second;
    }
    return sum;
}

double value_or_zero(zone_amounts const& all, base::availability_zone_id const& zone)
{
    auto const found = all.find(zone);
    return found == all.end() ? 0 : found->second;
}

/// Demand of each zone that its own capacity cannot serve, and capacity that is left there.
struct zone_balance
{
    zone_amounts missing;
    zone_amounts spare;
};

zone_balance balance_zones(zone_amounts const& demand, zone_amounts const& capacity)
{
    zone_balance made;
    for (auto const& it : demand)
    {
        made.missing[it.first] = std::max(0.0, it.second - value_or_zero(capacity, it.first));
    }
    for (auto const& it : capacity)
    {
        made.spare[it.first] = std::max(0.0, it.second - value_or_zero(demand, it.first));
    }
    return made;
}

double sum_in_region(zone_amounts const& all, zone_regions const& regions,
                     base::region_id const& region)
{
    double sum = 0;
    for (auto const& it : all)
    {
        auto const found = regions.find(it.first);
        sum += found != regions.end() && found->second == region ? it.second : 0;
    }
    return sum;
}

/// Moves missing demand to spare capacity of the same region, and adds what `home` gets of it to
/// `served`.
void serve_within_regions(zone_balance& it, zone_regions const& regions,
                          base::availability_zone_id const& home, zone_amounts& served)
{
    auto const before = it;
    for (auto const& one : regions)
    {
        auto const missing = sum_in_region(before.missing, regions, one.second);
        auto const spare = sum_in_region(before.spare, regions, one.second);
        if (missing <= 0 || spare <= 0)
        {
            continue;
        }
        auto const moved = std::min(missing, spare);
        if (it.missing.count(one.first) != 0)
        {
            it.missing[one.first] *= 1 - moved / missing;
        }
        auto const own = regions.at(home) == one.second ? value_or_zero(before.missing, home) : 0;
        served[one.first] += own * moved / missing * value_or_zero(before.spare, one.first) / spare;
        if (it.spare.count(one.first) != 0)
        {
            it.spare[one.first] *= 1 - moved / spare;
        }
    }
}

} // namespace

zone_shares shares_of_zone(base::availability_zone_id const& home, zone_regions const& regions,
                           std::map<base::availability_zone_id, double> const& callers,
                           std::map<base::availability_zone_id, double> const& capacity,
                           double utilization)
{
    zone_shares made;
    auto const total = sum_of(capacity);
    auto const weight = sum_of(callers);
    auto const own = value_or_zero(callers, home);
    if (total <= 0 || own <= 0 || regions.count(home) == 0)
    {
        for (auto const& it : capacity)
        {
            made[it.first] = total > 0 ? it.second / total : 0;
        }
        return made;
    }
    zone_amounts demand;
    for (auto const& it : callers)
    {
        demand[it.first] = it.second / weight * total * utilization;
    }
    auto balance = balance_zones(demand, capacity);
    zone_amounts served{{home, std::min(demand[home], value_or_zero(capacity, home))}};
    serve_within_regions(balance, regions, home, served);
    auto const spare = sum_of(balance.spare);
    for (auto const& it : balance.spare)
    {
        served[it.first] += spare > 0 ? balance.missing[home] * it.second / spare : 0;
    }
    for (auto const& it : served)
    {
        made[it.first] = it.second / demand[home];
    }
    return made;
}

} // namespace fuchsiaproxy::steering
