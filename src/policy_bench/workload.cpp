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

// A small share of the requests runs many times longer than the rest.
constexpr double straggler_share = 0.005;
constexpr double straggler_factor = 15;
// Share of the mean service time that is constant; the rest is exponentially distributed.
constexpr double fixed_work_share = 0.3;
// The two entries of a zone receive slightly different request rates.
constexpr std::array<double, 2> entry_skew{0.9, 1.1};

constexpr double slow_period_speed = 0.2;
constexpr base::duration mean_time_between_slow_periods = 10s;
constexpr base::duration min_slow_period = 100ms;
constexpr base::duration slow_period_variation = 200ms;
constexpr double slowed_upstream_speed = 0.1;

base::duration scaled(base::duration unscaled, double factor)
{
    return base::duration(
        static_cast<base::duration::rep>(static_cast<double>(unscaled.count()) * factor));
}

bool class_enabled(class_workload const& it, scenario const& spec)
{
    return spec.stragglers || !it.is_long;
}

double mean_work_ns(std::vector<class_workload> const& classes, scenario const& spec)
{
    double work = 0;
    double share = 0;
    for (auto const& it : classes)
    {
        if (class_enabled(it, spec))
        {
            work += it.share * static_cast<double>(it.mean_work.count());
            share += it.share;
        }
    }
    double const factor = spec.stragglers ? 1 + straggler_share * (straggler_factor - 1) : 1;
    return work / share * factor;
}

std::uint32_t pick_class(std::vector<class_workload> const& classes, scenario const& spec,
                         random_source& random)
{
    double total = 0;
    for (auto const& it : classes)
    {
        total += class_enabled(it, spec) ? it.share : 0;
    }
    double left = random.uniform() * total;
    std::uint32_t last = 0;
    for (std::uint32_t n = 0; n < classes.size(); ++n)
    {
        if (!class_enabled(classes[n], spec))
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

topology::topology(deployment const& from) : source(from)
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

base::duration topology::delay(std::uint32_t zone_a, std::uint32_t zone_b) const
{
    if (zone_a == zone_b)
    {
        return within_zone;
    }
    auto const& delays = source.configuration.delays;
    return region_of_zone[zone_a] == region_of_zone[zone_b] ? delays.between_zones
                                                            : delays.between_regions;
}

std::vector<arrival> make_arrivals(topology const& topo, scenario const& spec)
{
    random_source random(spec.seed);
    std::vector<arrival> list;
    for (std::uint32_t service = 0; service < topo.source.workload.size(); ++service)
    {
        auto const& classes = topo.source.workload[service];
        std::vector<double> zone_slots(topo.region_of_zone.size());
        for (auto const& it : topo.upstreams)
        {
            zone_slots[it.zone] += it.service == service ? it.slots : 0;
        }
        for (std::uint32_t entry = 0; entry < topo.entry_zone.size(); ++entry)
        {
            auto const slots = zone_slots[topo.entry_zone[entry]] / 2 * entry_skew[entry % 2];
            double const gap = mean_work_ns(classes, spec) / (slots * spec.load);
            double at = static_cast<double>(spec.first_arrival.count());
            for (;;)
            {
                at += random.exponential() * gap;
                if (at >= static_cast<double>(spec.end.count()))
                {
                    break;
                }
                arrival it;
                it.at = base::duration(static_cast<base::duration::rep>(at));
                it.entry = entry;
                it.service = service;
                it.request_class = pick_class(classes, spec, random);
                auto const& kind = classes[it.request_class];
                bool const is_straggler = random.uniform() < straggler_share && spec.stragglers;
                double const variation =
                    fixed_work_share + (1 - fixed_work_share) * random.exponential();
                it.work = scaled(kind.mean_work, variation * (is_straggler ? straggler_factor : 1));
                it.is_short = !is_straggler && !kind.is_long;
                list.push_back(it);
            }
        }
    }
    std::sort(list.begin(), list.end(), [](auto const& a, auto const& b) { return a.at < b.at; });
    return list;
}

std::vector<std::uint32_t> slowed_upstreams(topology const& topo)
{
    std::vector<std::uint32_t> found;
    for (std::uint32_t region = 0; region < 2; ++region)
    {
        for (std::uint32_t n = 0; n < topo.upstreams.size(); ++n)
        {
            if (topo.upstreams[n].service == 0 && topo.upstreams[n].region == region)
            {
                found.push_back(n);
                break;
            }
        }
    }
    return found;
}

std::vector<std::vector<speed_step>> make_speeds(topology const& topo, scenario const& spec)
{
    random_source random(spec.seed ^ 0x5eedULL);
    auto const slowed = spec.injected_fault == fault::slow_upstreams ? slowed_upstreams(topo)
                                                                     : std::vector<std::uint32_t>{};
    std::vector<std::vector<speed_step>> all;
    for (std::uint32_t n = 0; n < topo.upstreams.size(); ++n)
    {
        bool const is_slowed = std::find(slowed.begin(), slowed.end(), n) != slowed.end();
        std::vector<speed_step> steps{{base::duration::zero(), 1}};
        base::duration at{};
        for (;;)
        {
            at += scaled(mean_time_between_slow_periods, random.exponential());
            auto const length = min_slow_period + scaled(slow_period_variation, random.uniform());
            if (at + length >= (is_slowed ? spec.fault_at : spec.end))
            {
                break;
            }
            steps.push_back({at, slow_period_speed});
            steps.push_back({at + length, 1});
            at += length;
        }
        if (is_slowed)
        {
            steps.push_back({spec.fault_at, slowed_upstream_speed});
        }
        all.push_back(std::move(steps));
    }
    return all;
}

base::duration completion_time(std::vector<speed_step> const& speeds, base::duration start,
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

double achievable_weight(topology const& topo, scenario const& spec,
                         std::vector<arrival> const& arrivals,
                         std::vector<std::vector<speed_step>> const& speeds)
{
    auto const services = topo.source.workload.size();
    std::vector<double> capacity(services);
    for (std::uint32_t n = 0; n < topo.upstreams.size(); ++n)
    {
        auto const& up = topo.upstreams[n];
        if (spec.injected_fault == fault::zone_lost && up.zone == lost_zone)
        {
            continue;
        }
        for (std::size_t k = 0; k < speeds[n].size(); ++k)
        {
            auto const from = std::max(speeds[n][k].from, spec.fault_at);
            auto const to = k + 1 < speeds[n].size() ? speeds[n][k + 1].from : spec.end;
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
        std::vector<sum> classes(topo.source.workload[service].size());
        for (auto const& it : arrivals)
        {
            if (it.service == service && it.at >= spec.fault_at)
            {
                auto const& kind =
                    topo.source.configuration.services[service].classes[it.request_class];
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
