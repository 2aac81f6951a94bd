// Handling of control-plane events and of peer loads in the director.
#include <algorithm>
#include <utility>

#include "director_state.hpp"

namespace fuchsiaproxy::steering
{

void director::state::replace_configuration(std::shared_ptr<configuration const> const& offered,
                                            director_actions& out)
{
    if (config && offered->version <= config->version)
    {
        counters.stale_configurations += offered->version < config->version ? 1 : 0;
        return;
    }
    config = offered;
    routes = route_index(config->routes);
    access.replace(config);
    split_credit.clear();
    allowance_is_outdated = true;
    out.push_back(limits_changed{config->limits});
}

void director::state::report_retired(director_actions& out)
{
    for (auto& it : upstreams.take_retired())
    {
        out.push_back(upstream_retired{std::move(it)});
    }
}

base::duration director::state::load_interval(std::size_t full_rate_receivers) const
{
    auto const others = std::max<std::size_t>(1, full_rate_receivers) - 1;
    auto const factor = std::max<std::size_t>(1, others / settings.full_rate_peers);
    return settings.load_interval * static_cast<base::duration::rep>(factor);
}

load_message_intervals director::state::load_intervals() const
{
    if (!config || !config->has_uneven_demand())
    {
        return {1, 1, settings.cross_region_load_interval};
    }
    return config->tenants.empty()
               ? load_message_intervals{1, settings.cross_zone_load_interval,
                                        settings.distant_load_interval}
               : load_message_intervals{1, settings.tenant_cross_zone_load_interval,
                                        settings.tenant_distant_load_interval};
}

base::duration director::state::own_load_interval() const
{
    auto const by_zone = config && config->has_uneven_demand();
    return load_interval(by_zone ? entries.entries_in_own_zone()
                                 : entries.entries_per_region()[self.region]);
}

base::duration director::state::load_max_age() const
{
    std::size_t largest_region = 0;
    for (auto const& it : entries.entries_per_region())
    {
        largest_region = std::max(largest_region, it.second);
    }
    auto const longest = load_interval(largest_region) *
                         static_cast<base::duration::rep>(load_intervals().other_regions);
    return std::max(settings.peer_load_max_age, 2 * longest + settings.load_delivery_margin);
}

bool director::state::has_enough_peers() const
{
    // If fewer than half of the entries have reported, the upstreams' own load reports are the
    // better estimate.
    return peers.entry_count() * 2 + 1 >= entries.size();
}

void director::state::apply_peer_loads(base::service_id const& service) const
{
    auto const enough_peers = has_enough_peers();
    for (auto const& it : upstreams.of_service(service))
    {
        it->peers_in_flight = enough_peers
                                  ? std::optional<std::uint32_t>(peers.in_flight_at(it->tag()))
                                  : std::nullopt;
    }
}

void director::state::apply_evacuations(base::time_point now)
{
    static std::unordered_map<base::service_id, service> const none;
    upstreams.set_evacuated_zones(zones.in_force(), config ? config->services : none, now);
}

void director::set_bounds(operator_bounds const& bounds)
{
    state_->settings.bounds = bounds;
    state_->budgets.clear();
    state_->allowance_is_outdated = true;
    state_->hedge_budgets.clear();
}

void director::drain_until(base::time_point end)
{
    state_->ends_at = end;
}

void director::on_peer_load(peer_load const& it, base::time_point now, director_actions& out)
{
    auto& my = *state_;
    if (it.from == my.self.id)
    {
        return;
    }
    my.peers.apply(it, now);
    my.refresh_allowance(now);
    my.allowance.on_report(it.from, {it.sequence, it.tenants, it.unheard}, now);
    if (it.position > my.highest_peer_position)
    {
        my.highest_peer_position = it.position;
        if (it.position > my.position)
        {
            out.push_back(newer_position_seen{it.position});
        }
    }
    for (auto const& one : it.upstreams)
    {
        auto const known =
            one.service_time_percent == 0 ? nullptr : my.upstreams.find_by_tag(one.upstream);
        if (known != nullptr)
        {
            known->apply_service_time(one.service_time_percent, now);
        }
    }
}

peer_load director::load(base::time_point now)
{
    auto& my = *state_;
    my.peers.tick(now, my.load_max_age());
    peer_load made;
    made.from = my.self.id;
    made.sequence = ++my.load_sequence;
    made.position = my.position;
    my.refresh_allowance(now);
    auto usage = my.allowance.report(now);
    made.tenants = std::move(usage.tenants);
    made.unheard = std::move(usage.unheard);
    my.upstreams.for_each(
        [&](upstream_state& it)
        {
            auto const percent = std::exchange(it.unsent_service_time_percent, 0);
            if (it.in_flight > 0 || percent > 0)
            {
                upstream_load load{it.tag(), it.in_flight, percent};
                if (it.own_work.size() > 0)
                {
                    auto const slowdown = it.lasting_slowdown(now, my.settings.report_decay_time);
                    auto const left =
                        it.own_work.remaining(now, slowdown, my.costs.straggler_rest());
                    // 0 would mean that it is unknown; messages have a resolution of 10 ms.
                    load.open_work =
                        std::max<base::duration>(std::chrono::duration_cast<base::duration>(
                                                     std::chrono::duration<double>(left)),
                                                 std::chrono::milliseconds(10));
                }
                made.upstreams.push_back(load);
            }
        });
    return made;
}

base::duration director::load_interval() const
{
    return state_->own_load_interval();
}

std::vector<model::endpoint> director::load_receivers(std::uint64_t sequence) const
{
    auto const intervals = state_->load_intervals();
    std::vector<model::endpoint> made;
    for (auto const distance :
         {peer_distance::same_zone, peer_distance::same_region, peer_distance::other_region})
    {
        if (sequence % intervals.at(distance) == 0)
        {
            auto const found = state_->entries.peers(distance);
            made.insert(made.end(), found.begin(), found.end());
        }
    }
    return made;
}

void director::on_control(control_event const& event, base::time_point now, director_actions& out)
{
    auto& my = *state_;
    struct visitor
    {
        state& my;
        base::time_point now;
        director_actions& out;

        void operator()(upstreams_listed const& it) const
        {
            my.upstreams.replace_all(it.all, now);
        }
        void operator()(upstream_changed const& it) const
        {
            my.upstreams.upsert(it.it, now);
        }
        void operator()(upstream_removed const& it) const
        {
            my.upstreams.remove(it.id, now);
        }
        void operator()(entries_listed const& it) const
        {
            my.entries.replace_all(it.all, now);
            my.has_entry_list = true;
        }
        void operator()(entry_changed const& it) const
        {
            my.entries.upsert(it.it);
        }
        void operator()(entry_removed const& it) const
        {
            my.entries.remove(it.id, now);
            my.peers.remove_entry(it.id);
        }
        void operator()(zones_evacuated const& it) const
        {
            my.zones.list(it.zones, now);
            my.apply_evacuations(now);
        }
        void operator()(evacuation_changed const& it) const
        {
            my.zones.change(it.zone, it.evacuated);
            my.apply_evacuations(now);
        }
        void operator()(configuration_accepted const& it) const
        {
            my.replace_configuration(it.it, out);
        }
        void operator()(caught_up const& it) const
        {
            my.position = std::max(my.position, it.at);
        }
        void operator()(followed const& it) const
        {
            my.access.proof.advance(it.as_of);
        }
        void operator()(store_lost const&) const
        {
            my.removal_grace.tick(now);
            my.removal_grace.store_lost();
        }
        void operator()(store_regained const& it) const
        {
            my.removal_grace.store_regained(it.last_unavailable_at, it.longest_silence, now);
            my.upstreams.store_regained(now);
            my.entries.store_regained(now);
        }
        void operator()(store_restored const& it) const
        {
            my.removal_grace.store_restored(it.last_unavailable_at, now);
            my.upstreams.store_regained(now);
            my.entries.store_regained(now);
        }
    };
    std::visit(visitor{my, now, out}, event);
    my.report_retired(out);
}

} // namespace fuchsiaproxy::steering
