#include <algorithm>

#include "dispatcher_state.hpp"

namespace fuchsiaproxy::routing
{

namespace
{

template <class Id>
std::uint32_t find_index(std::unordered_map<Id, std::uint32_t> const& map, Id const& id)
{
    auto const it = map.find(id);
    return it == map.end() ? no_index : it->second;
}

} // namespace

dispatcher::state::state(dispatcher_identity identity, std::uint64_t seed, move_permit& gate,
                         dispatcher_settings const& values)
    : self(std::move(identity)), permit(gate), settings(values), loans(mix(seed)),
      random(mix(seed + 1))
{
}

std::uint32_t dispatcher::state::entry_index(base::instance_id const& id) const
{
    return find_index(entry_by_id, id);
}

std::uint32_t dispatcher::state::region_index(base::region_id const& id)
{
    return region_by_id.try_emplace(id, static_cast<std::uint32_t>(region_by_id.size()))
        .first->second;
}

std::uint32_t dispatcher::state::zone_index(base::availability_zone_id const& id)
{
    auto const [it, is_new] = zone_by_id.try_emplace(id, static_cast<std::uint32_t>(zones.size()));
    if (is_new)
    {
        zones.push_back({id, no_index, {}});
    }
    return it->second;
}

base::duration dispatcher::state::round_trip_to(std::uint32_t zone) const
{
    auto const& it = zones[zone];
    if (it.id == self.zone)
    {
        return 2 * settings.within_zone;
    }
    auto const region = find_index(region_by_id, self.region);
    return 2 * (it.region == region ? delays_.between_zones : delays_.between_regions);
}

void dispatcher::state::configure(model::configuration const& configuration, base::time_point now)
{
    configure_zones(configuration);
    for (auto& it : services)
    {
        it.active = false;
    }
    for (auto& it : places)
    {
        it.active = false;
        it.drained = false;
    }
    for (auto& it : upstreams)
    {
        it.active = false;
    }
    for (auto const& it : configuration.services)
    {
        configure_service(it);
    }
    for (auto const& it : configuration.places)
    {
        configure_place(it);
    }
    for (auto const& it : configuration.drains)
    {
        auto const place = find_index(place_by_id, it.place);
        if (place != no_index)
        {
            places[place].drained = true;
        }
    }
    configure_shifts(configuration);
    assign_owners(now);
}

void dispatcher::state::configure_zones(model::configuration const& configuration)
{
    delays_ = configuration.delays;
    self_zone = zone_index(self.zone);
    zones[self_zone].region = region_index(self.region);
    for (auto const& it : configuration.zones)
    {
        auto const zone = zone_index(it.id);
        zones[zone].region = region_index(it.region);
    }
    for (std::uint32_t n = 0; n < zones.size(); ++n)
    {
        zones[n].round_trip = round_trip_to(n);
    }
}

void dispatcher::state::configure_service(model::service const& from)
{
    auto const [it, is_new] =
        service_by_id.try_emplace(from.id, static_cast<std::uint32_t>(services.size()));
    if (is_new)
    {
        services.emplace_back(from.id, settings.queue_capacity, settings.retry_permille,
                              settings.hedge_permille, settings.budget_burst);
    }
    auto& service = services[it->second];
    service.active = true;
    service.largest_deadline = {};
    // Requests in progress refer to classes by index, so rows are never removed.
    for (std::size_t n = 0; n < from.classes.size(); ++n)
    {
        if (n == service.classes.size())
        {
            service.classes.push_back(
                {1, 0, false, false, {}, {settings.assumed_service_time, settings.hedge_quantile}});
        }
        auto& kind = service.classes[n];
        kind.weight = from.classes[n].weight.value();
        kind.idempotent = from.classes[n].idempotent;
        kind.deadline = from.classes[n].deadline;
        service.largest_deadline = std::max(service.largest_deadline, kind.deadline);
    }
    update_classes(service);
}

void dispatcher::state::configure_place(model::place const& from)
{
    auto const service = find_index(service_by_id, from.service);
    if (service == no_index)
    {
        return;
    }
    auto const [it, is_new] =
        place_by_id.try_emplace(from.id, static_cast<std::uint32_t>(places.size()));
    if (is_new)
    {
        places.emplace_back();
    }
    auto const zone = zone_index(from.zone);
    auto& place = places[it->second];
    place.id = from.id;
    place.service = service;
    place.zone = zone;
    place.round_trip = zones[zone].round_trip;
    place.active = true;
    for (auto const& up : from.upstreams)
    {
        configure_upstream(up, service, it->second);
    }
}

void dispatcher::state::configure_upstream(model::upstream const& from, std::uint32_t service,
                                           std::uint32_t place)
{
    auto const [it, is_new] =
        upstream_by_id.try_emplace(from.id, static_cast<std::uint32_t>(upstreams.size()));
    if (is_new)
    {
        upstreams.emplace_back();
        ledger.resize(upstreams.size());
    }
    auto& up = upstreams[it->second];
    up.id = from.id;
    up.at = from.at;
    up.hash = stable_hash(from.id.value());
    up.service = service;
    up.place = place;
    up.slots = from.slots.value();
    up.active = true;
    up.leaving = leaving.count(from.id) != 0;
    ledger.set_slots(it->second, up.slots);
}

void dispatcher::state::configure_shifts(model::configuration const& configuration)
{
    for (auto& it : services)
    {
        it.shifts.clear();
    }
    for (auto const& it : configuration.shifts)
    {
        auto const service = find_index(service_by_id, it.service);
        auto const from = find_index(place_by_id, it.from);
        auto const to = find_index(place_by_id, it.to);
        if (service != no_index && from != no_index && to != no_index)
        {
            services[service].shifts.push_back({from, to, std::min(it.percent, 100U), 0});
        }
    }
}

void dispatcher::state::set_entries(std::vector<messages::entry_info> const& live,
                                    base::time_point now)
{
    for (auto& it : entries)
    {
        it.live = false;
    }
    for (auto const& it : live)
    {
        auto const [found, is_new] =
            entry_by_id.try_emplace(it.id, static_cast<std::uint32_t>(entries.size()));
        if (is_new)
        {
            entries.emplace_back();
        }
        auto& entry = entries[found->second];
        entry.id = it.id;
        entry.hash = stable_hash(it.id.value());
        entry.zone = zone_index(it.zone);
        entry.region = region_index(it.region);
        zones[entry.zone].region = entry.region;
        entry.round_trip = round_trip_to(entry.zone);
        entry.live = true;
        entry.draining = it.draining;
    }
    self_index = entry_index(self.id);
    assign_owners(now);
}

std::vector<owner_candidate> dispatcher::state::live_candidates(bool with_self) const
{
    std::vector<owner_candidate> candidates;
    for (std::uint32_t n = 0; n < entries.size(); ++n)
    {
        auto const& it = entries[n];
        if (it.live && (with_self || n != self_index))
        {
            candidates.push_back({it.hash, n, it.zone, it.region, it.draining});
        }
    }
    return candidates;
}

std::uint32_t dispatcher::state::owner_among(upstream_row const& up,
                                             std::vector<owner_candidate> const& candidates) const
{
    auto const zone = places[up.place].zone;
    return owner_of(up.hash, zone, zones[zone].region, candidates);
}

void dispatcher::state::assign_owners(base::time_point now)
{
    auto const candidates = live_candidates(true);
    auto const others = live_candidates(false);
    for (std::uint32_t n = 0; n < upstreams.size(); ++n)
    {
        auto& up = upstreams[n];
        auto const owner = up.active ? owner_among(up, candidates) : no_index;
        auto const old_owner = up.owner;
        bool const was_owned = self_index != no_index && old_owner == self_index;
        up.owner = owner;
        if (self_index == no_index || owner != self_index)
        {
            if (was_owned)
            {
                // A new owner that gets no answer waits longer than this before it hands out the
                // slots.
                up.may_hand_over_until = now + settings.view_lag;
            }
            continue;
        }
        bool const lacks_previous_owner = !up.takeover_done && up.previous_owner == no_index;
        if (was_owned && !lacks_previous_owner)
        {
            continue;
        }
        // An entry that has just started has recorded no owner: it determines the one among the
        // other entries.
        auto const previous_owner =
            !was_owned && old_owner != no_index ? old_owner : owner_among(up, others);
        if (!was_owned)
        {
            begin_takeover(n, previous_owner, now, now);
        }
        else if (previous_owner != no_index)
        {
            up.previous_owner = previous_owner;
            timers.push({now, up.takeover, n, timer_kind::takeover_request_due});
        }
    }
    rebuild_lists();
}

void dispatcher::state::rebuild_lists()
{
    for (auto& service : services)
    {
        service.places.clear();
        service.upstreams.clear();
        service.usable_upstreams.clear();
        service.owned_slots = 0;
        service.home_place = no_index;
    }
    for (std::uint32_t n = 0; n < places.size(); ++n)
    {
        auto const& place = places[n];
        if (!place.active)
        {
            continue;
        }
        auto& service = services[place.service];
        service.places.push_back(n);
        if (service.home_place == no_index ||
            place.round_trip < places[service.home_place].round_trip)
        {
            service.home_place = n;
        }
    }
    for (std::uint32_t n = 0; n < upstreams.size(); ++n)
    {
        auto const& up = upstreams[n];
        auto& service = services[up.service];
        if (up.active)
        {
            service.upstreams.push_back(n);
        }
        if ((up.active && owned(up)) || up.borrowed > 0)
        {
            service.usable_upstreams.push_back(n);
            service.owned_slots += owned(up) ? up.slots : 0;
        }
    }
    auto const own_region = find_index(region_by_id, self.region);
    auto const peers_in_region = static_cast<std::uint32_t>(std::count_if(
        entries.begin(), entries.end(),
        [&](auto const& it) { return it.live && !it.draining && it.region == own_region; }));
    for (auto& service : services)
    {
        rebuild_lenders(service);
        service.nearest_round_trip = base::duration::max();
        std::uint32_t region_slots = 0;
        for (auto const n : service.upstreams)
        {
            auto const& place = places[upstreams[n].place];
            bool const in_region = zones[place.zone].region == own_region && !place.drained;
            region_slots += in_region ? upstreams[n].slots : 0;
            if (upstreams[n].owner != no_index && !place.drained)
            {
                service.nearest_round_trip = std::min(service.nearest_round_trip, place.round_trip);
            }
        }
        service.fair_slots = region_slots / std::max(peers_in_region, 1U);
    }
}

void dispatcher::state::rebuild_lenders(service_row& service)
{
    auto const old = std::move(service.lenders);
    service.lenders.clear();
    auto const own_region = find_index(region_by_id, self.region);
    std::vector<std::uint32_t> seen(entries.size(), no_index);
    for (auto const n : service.upstreams)
    {
        auto const& up = upstreams[n];
        if (up.owner == no_index || up.owner == self_index || seen[up.owner] != no_index)
        {
            continue;
        }
        seen[up.owner] = n;
        auto const& entry = entries[up.owner];
        lender_row row;
        row.entry = up.owner;
        row.round_trip = entry.round_trip;
        row.same_region = entry.region == own_region;
        row.place = up.place;
        service.lenders.push_back(row);
    }
    for (auto const& it : old)
    {
        if (auto* const row = lender_of(service, it.entry))
        {
            row->open = it.open;
            row->paused_until = it.paused_until;
        }
    }
    std::stable_sort(service.lenders.begin(), service.lenders.end(),
                     [](auto const& a, auto const& b) { return a.round_trip < b.round_trip; });
}

void dispatcher::state::set_leaving(base::upstream_id const& upstream, bool leaves)
{
    if (leaves)
    {
        leaving.insert(upstream);
    }
    else
    {
        leaving.erase(upstream);
    }
    auto const index = find_index(upstream_by_id, upstream);
    if (index != no_index)
    {
        upstreams[index].leaving = leaves;
    }
}

} // namespace fuchsiaproxy::routing
