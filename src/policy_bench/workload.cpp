#include "workload.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <unordered_map>

namespace fuchsiaproxy::policy_bench
{

namespace
{

using namespace std::chrono_literals;

// A few requests run many times longer than the rest.
constexpr double straggler_share = 0.005;
constexpr double straggler_factor = 15;
// The part of a service time that does not vary.
constexpr double fixed_part = 0.3;
// The two entries of a zone do not get quite the same number of requests.
constexpr std::array<double, 2> entry_skew{0.9, 1.1};

constexpr double moment_speed = 0.2;
constexpr base::duration mean_time_between_moments = 10s;
constexpr base::duration shortest_moment = 100ms;
constexpr base::duration moment_variation = 200ms;
constexpr double slowed_speed = 0.1;

base::duration scaled(base::duration by, double factor)
{
    return base::duration(
        static_cast<base::duration::rep>(static_cast<double>(by.count()) * factor));
}

bool used(class_workload const& it, scenario const& what)
{
    return what.stragglers || !it.is_long;
}

double mean_work_ns(std::vector<class_workload> const& classes, scenario const& what)
{
    double work = 0;
    double share = 0;
    for (auto const& it : classes)
    {
        if (used(it, what))
        {
            work += it.share * static_cast<double>(it.mean_work.count());
            share += it.share;
        }
    }
    double const factor = what.stragglers ? 1 + straggler_share * (straggler_factor - 1) : 1;
    return work / share * factor;
}

std::uint32_t pick_class(std::vector<class_workload> const& classes, scenario const& what,
                         random_source& random)
{
    double total = 0;
    for (auto const& it : classes)
    {
        total += used(it, what) ? it.share : 0;
    }
    double left = random.uniform() * total;
    std::uint32_t last = 0;
    for (std::uint32_t n = 0; n < classes.size(); ++n)
    {
        if (!used(classes[n], what))
        {
            continue;
        }
        last = n;
        left -= classes[n].share;
        if (left < 0)
        {
            break;
        }
    }
    return last;
}

} // namespace

std::uint64_t random_source::next() noexcept
{
    state_ += 0x9e3779b97f4a7c15ULL;
    auto z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

double random_source::uniform() noexcept
{
    return static_cast<double>(next() >> 11U) * 0x1.0p-53;
}

double random_source::exponential() noexcept
{
    return -std::log(1 - uniform());
}

layout::layout(deployment const& from) : source(from)
{
    std::unordered_map<std::string, std::uint32_t> zones;
    std::unordered_map<std::string, std::uint32_t> regions;
    std::unordered_map<std::string, std::uint32_t> services;
    for (auto const& it : from.configuration.zones)
    {
        zones.emplace(it.id.value(), static_cast<std::uint32_t>(zones.size()));
        auto const region =
            regions.try_emplace(it.region.value(), static_cast<std::uint32_t>(regions.size()));
        region_of_zone.push_back(region.first->second);
    }
    for (auto const& it : from.configuration.services)
    {
        services.emplace(it.id.value(), static_cast<std::uint32_t>(services.size()));
    }
    for (auto const& it : from.entries)
    {
        entry_zone.push_back(zones.at(it.zone.value()));
    }
    for (std::uint32_t place = 0; place < from.configuration.places.size(); ++place)
    {
        auto const& it = from.configuration.places[place];
        auto const zone = zones.at(it.zone.value());
        zone_of_place.push_back(zone);
        for (auto const& up : it.upstreams)
        {
            upstreams.push_back({up.id, services.at(it.service.value()), place, zone,
                                 region_of_zone[zone], up.slots.value()});
        }
    }
}

base::duration layout::delay(std::uint32_t zone_a, std::uint32_t zone_b) const
{
    if (zone_a == zone_b)
    {
        return within_zone;
    }
    auto const& delays = source.configuration.delays;
    return region_of_zone[zone_a] == region_of_zone[zone_b] ? delays.between_zones
                                                            : delays.between_regions;
}

std::vector<arrival> make_arrivals(layout const& where, scenario const& what)
{
    random_source random(what.seed);
    std::vector<arrival> list;
    for (std::uint32_t service = 0; service < where.source.workload.size(); ++service)
    {
        auto const& classes = where.source.workload[service];
        std::vector<double> zone_slots(where.region_of_zone.size());
        for (auto const& it : where.upstreams)
        {
            zone_slots[it.zone] += it.service == service ? it.slots : 0;
        }
        for (std::uint32_t entry = 0; entry < where.entry_zone.size(); ++entry)
        {
            auto const slots = zone_slots[where.entry_zone[entry]] / 2 * entry_skew[entry % 2];
            double const gap = mean_work_ns(classes, what) / (slots * what.load);
            double at = static_cast<double>(what.first_arrival.count());
            for (;;)
            {
                at += random.exponential() * gap;
                if (at >= static_cast<double>(what.end.count()))
                {
                    break;
                }
                arrival it;
                it.at = base::duration(static_cast<base::duration::rep>(at));
                it.entry = entry;
                it.service = service;
                it.request_class = pick_class(classes, what, random);
                auto const& kind = classes[it.request_class];
                bool const straggles = random.uniform() < straggler_share && what.stragglers;
                double const variation = fixed_part + (1 - fixed_part) * random.exponential();
                it.work = scaled(kind.mean_work, variation * (straggles ? straggler_factor : 1));
                it.is_short = !straggles && !kind.is_long;
                list.push_back(it);
            }
        }
    }
    std::sort(list.begin(), list.end(), [](auto const& a, auto const& b) { return a.at < b.at; });
    return list;
}

std::vector<std::uint32_t> slowed_upstreams(layout const& where)
{
    std::vector<std::uint32_t> found;
    for (std::uint32_t region = 0; region < 2; ++region)
    {
        for (std::uint32_t n = 0; n < where.upstreams.size(); ++n)
        {
            if (where.upstreams[n].service == 0 && where.upstreams[n].region == region)
            {
                found.push_back(n);
                break;
            }
        }
    }
    return found;
}

std::vector<std::vector<speed_step>> make_speeds(layout const& where, scenario const& what)
{
    random_source random(what.seed ^ 0x5eedULL);
    auto const slowed =
        what.what == fault::slow_upstreams ? slowed_upstreams(where) : std::vector<std::uint32_t>{};
    std::vector<std::vector<speed_step>> all;
    for (std::uint32_t n = 0; n < where.upstreams.size(); ++n)
    {
        bool const is_slowed = std::find(slowed.begin(), slowed.end(), n) != slowed.end();
        std::vector<speed_step> steps{{base::duration::zero(), 1}};
        base::duration at{};
        for (;;)
        {
            at += scaled(mean_time_between_moments, random.exponential());
            auto const length = shortest_moment + scaled(moment_variation, random.uniform());
            if (at + length >= (is_slowed ? what.fault_at : what.end))
            {
                break;
            }
            steps.push_back({at, moment_speed});
            steps.push_back({at + length, 1});
            at += length;
        }
        if (is_slowed)
        {
            steps.push_back({what.fault_at, slowed_speed});
        }
        all.push_back(std::move(steps));
    }
    return all;
}

base::duration end_of_work(std::vector<speed_step> const& speeds, base::duration start,
                           base::duration work)
{
    auto it = std::upper_bound(speeds.begin(), speeds.end(), start,
                               [](auto at, auto const& step) { return at < step.from; });
    auto left = static_cast<double>(work.count());
    auto at = static_cast<double>(start.count());
    for (;; ++it)
    {
        double const speed = std::prev(it)->speed;
        double const end = at + left / speed;
        if (it == speeds.end() || end <= static_cast<double>(it->from.count()))
        {
            return base::duration(static_cast<base::duration::rep>(end));
        }
        left -= (static_cast<double>(it->from.count()) - at) * speed;
        at = static_cast<double>(it->from.count());
    }
}

double achievable_weight(layout const& where, scenario const& what,
                         std::vector<arrival> const& arrivals,
                         std::vector<std::vector<speed_step>> const& speeds)
{
    auto const services = where.source.workload.size();
    std::vector<double> capacity(services);
    for (std::uint32_t n = 0; n < where.upstreams.size(); ++n)
    {
        auto const& up = where.upstreams[n];
        if (what.what == fault::zone_lost && up.zone == lost_zone)
        {
            continue;
        }
        for (std::size_t k = 0; k < speeds[n].size(); ++k)
        {
            auto const from = std::max(speeds[n][k].from, what.fault_at);
            auto const to = k + 1 < speeds[n].size() ? speeds[n][k + 1].from : what.end;
            capacity[up.service] += std::max(0.0, static_cast<double>((to - from).count())) *
                                    speeds[n][k].speed * up.slots;
        }
    }
    double total = 0;
    for (std::uint32_t service = 0; service < services; ++service)
    {
        struct sum
        {
            double weight = 0;
            double work = 0;
        };
        std::vector<sum> classes(where.source.workload[service].size());
        for (auto const& it : arrivals)
        {
            if (it.service == service && it.at >= what.fault_at)
            {
                auto const& kind =
                    where.source.configuration.services[service].classes[it.request_class];
                classes[it.request_class].weight += kind.weight.value();
                classes[it.request_class].work += static_cast<double>(it.work.count());
            }
        }
        std::sort(classes.begin(), classes.end(),
                  [](auto const& a, auto const& b)
                  { return a.weight * b.work > b.weight * a.work; });
        double left = capacity[service];
        for (auto const& it : classes)
        {
            double const share = it.work > 0 ? std::min(1.0, left / it.work) : 1;
            total += share * it.weight;
            left -= share * it.work;
        }
    }
    return total;
}

} // namespace fuchsiaproxy::policy_bench
