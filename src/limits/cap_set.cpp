#include "fuchsiaproxy/limits/cap_set.hpp"

#include <algorithm>

namespace fuchsiaproxy::limits
{
namespace
{

using model::cap_unit;

constexpr std::uint64_t bits_per_byte = 8;
constexpr std::uint64_t bits_per_kilobit = 1'000;

bool end_matches(model::cap_end const& end, base::place_id const& place,
                 base::region_id const& region)
{
    if (!end.place.value().empty())
    {
        return end.place == place;
    }
    return end.region.value().empty() || end.region == region;
}

} // namespace

std::size_t cap_set::route_hash::operator()(route const& it) const
{
    // The factor makes the hash of a route differ from that of the reverse route.
    return std::hash<base::place_id>{}(it.first) * 31 + std::hash<base::place_id>{}(it.second);
}

void cap_set::apply(model::configuration const& config)
{
    routes_.clear();
    std::map<base::cap_id, gate> gates;
    for (auto const& it : config.caps)
    {
        auto const known = gates_.find(it.id);
        if (known != gates_.end() && known->second.definition.unit == it.unit)
        {
            gates[it.id] = std::move(known->second);
        }
        gates[it.id].definition = it;
    }
    gates_ = std::move(gates);
    std::unordered_map<base::availability_zone_id, base::region_id> regions;
    for (auto const& it : config.zones)
    {
        regions[it.id] = it.region;
    }
    std::unordered_map<base::service_id, base::organisation_id> owners;
    for (auto const& it : config.services)
    {
        owners[it.id] = it.organisation;
    }
    places_.clear();
    for (auto const& it : config.places)
    {
        places_[it.id] = {regions[it.zone], owners[it.service]};
    }
}

void cap_set::set_share(base::cap_id const& cap, std::uint64_t amount)
{
    auto const it = gates_.find(cap);
    if (it == gates_.end())
    {
        return;
    }
    if (it->second.definition.unit == cap_unit::requests_per_second)
    {
        it->second.moves.set_limit(amount);
    }
    else
    {
        it->second.bits.set_limit(amount * bits_per_kilobit);
    }
}

bool cap_set::admits(base::place_id const& from, base::place_id const& to, base::byte_count size,
                     base::time_point now)
{
    if (from == to)
    {
        return true;
    }
    auto const* const gates = gates_of(from, to);
    auto const bits = size.value() * bits_per_byte;
    return gates != nullptr && std::all_of(gates->begin(), gates->end(),
                                           [&](gate* const it) { return passes(*it, bits, now); });
}

base::cap_id const* cap_set::try_charge(base::place_id const& from, base::place_id const& to,
                                        base::byte_count size, base::time_point now)
{
    if (from == to)
    {
        return nullptr;
    }
    auto const* const gates = gates_of(from, to);
    if (gates == nullptr)
    {
        return &unknown_place();
    }
    auto const bits = size.value() * bits_per_byte;
    base::cap_id const* refused = nullptr;
    for (auto* const it : *gates)
    {
        it->demand += it->definition.unit == cap_unit::requests_per_second ? 1 : bits;
        if (refused == nullptr && !passes(*it, bits, now))
        {
            refused = &it->definition.id;
        }
    }
    if (refused != nullptr)
    {
        return refused;
    }
    for (auto* const it : *gates)
    {
        if (it->definition.unit == cap_unit::requests_per_second)
        {
            it->moves.charge(now);
        }
        else
        {
            it->bits.charge(bits, now);
        }
    }
    return nullptr;
}

std::vector<cap_demand> cap_set::take_demand()
{
    std::vector<cap_demand> all;
    all.reserve(gates_.size());
    for (auto& [id, it] : gates_)
    {
        auto const unit =
            it.definition.unit == cap_unit::requests_per_second ? 1 : bits_per_kilobit;
        all.push_back({id, (it.demand + unit - 1) / unit});
        it.demand = 0;
    }
    return all;
}

base::cap_id const& cap_set::unknown_place()
{
    static base::cap_id const id{"unknown-place"};
    return id;
}

std::vector<cap_set::gate*> const* cap_set::gates_of(base::place_id const& from,
                                                     base::place_id const& to)
{
    auto const known = routes_.find({from, to});
    if (known != routes_.end())
    {
        return &known->second;
    }
    if (places_.count(from) == 0 || places_.count(to) == 0)
    {
        return nullptr;
    }
    auto& added = routes_[{from, to}];
    for (auto& [id, it] : gates_)
    {
        if (matches(it, from, to))
        {
            added.push_back(&it);
        }
    }
    return &added;
}

bool cap_set::matches(gate const& it, base::place_id const& from, base::place_id const& to) const
{
    auto const& source = places_.at(from);
    auto const& target = places_.at(to);
    auto const& cap = it.definition;
    auto const is_owned = cap.organisation.value().empty() ||
                          cap.unit == cap_unit::kilobits_per_second ||
                          cap.organisation == source.organisation;
    return is_owned && end_matches(cap.from, from, source.region) &&
           end_matches(cap.to, to, target.region);
}

bool cap_set::passes(gate& it, std::uint64_t bits, base::time_point now)
{
    return it.definition.unit == cap_unit::requests_per_second ? it.moves.admits(now)
                                                               : it.bits.admits(bits, now);
}

} // namespace fuchsiaproxy::limits
