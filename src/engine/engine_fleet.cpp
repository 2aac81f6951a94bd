// Engine events that concern other entries, the platform and the configuration.

#include <algorithm>
#include <type_traits>
#include <utility>

#include "fuchsiaproxy/engine/engine.hpp"
#include "fuchsiaproxy/requests/request_id.hpp"

#include "classify.hpp"

namespace fuchsiaproxy::engine
{
namespace
{

// Up to this number of entries, every entry stores the counts of all entries; in a larger fleet
// only the hubs do.
constexpr std::size_t small_fleet_size = 60;

// The period at which an entry sends its counts. It grows with the fleet, so that a hub receives
// about one message per 33 ms: at 1,800 entries the period is 60 s. Small fleets use the minimum.
constexpr base::duration shortest_counts_period = std::chrono::seconds(10);
constexpr base::duration counts_period_per_entry = std::chrono::milliseconds(33);

} // namespace

std::vector<offered_entry> engine::look_up(base::availability_zone_id const& zone,
                                           std::uint64_t salt, base::time_point now)
{
    std::vector<offered_entry> offered;
    if (!adoption_.ready())
    {
        return offered;
    }
    auto const near = zone.value().empty() ? fleet_.self().zone : zone;
    for (auto const& it : fleet_.look_up(region_of(near), near, salt, settings_.look_up_entries))
    {
        if (it.id == fleet_.self().id)
        {
            offered.push_back({it.id, it.caller_address, claims_.issue_ticket(now)});
            continue;
        }
        requests::ticket issued;
        issued.primary = {it.id, it.incarnation};
        issued.generation = it.generation;
        if (!it.witness.value().empty())
        {
            issued.witness = requests::entry_incarnation{it.witness, it.witness_incarnation};
        }
        offered.push_back({it.id, it.caller_address, requests::to_text(issued)});
    }
    return offered;
}

base::region_id engine::region_of(base::availability_zone_id const& zone) const
{
    for (auto const& it : adoption_.current()->zones)
    {
        if (it.id == zone)
        {
            return it.region;
        }
    }
    return fleet_.self().region;
}

void engine::on_message(messages::envelope const& it, base::time_point now, engine_actions& out)
{
    detect_pause(now);
    suspected_until_.erase(it.from);
    std::visit(
        [&](auto const& body)
        {
            using type = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<type, messages::loan_request> ||
                          std::is_same_v<type, messages::loan_answer> ||
                          std::is_same_v<type, messages::loan_return> ||
                          std::is_same_v<type, messages::takeover_request> ||
                          std::is_same_v<type, messages::takeover_answer>)
            {
                routing::dispatch_actions actions;
                dispatcher_.on_message(it.from, body, now, actions);
                apply(actions, now, out);
            }
            else if constexpr (std::is_same_v<type, messages::counters>)
            {
                levels_.record_reported(body);
            }
        },
        it.body);
    requests::claim_actions claim_actions;
    claims_.on_message({it.from, it.incarnation}, it.body, now, claim_actions);
    apply(claim_actions, now, out);
    shares_.on_message(it, now, out);
    fleet::fleet_actions fleet_actions;
    fleet_.on_message(it, now, fleet_actions);
    apply(fleet_actions, now, out);
}

void engine::on_peer_unreachable(base::instance_id const& peer, base::time_point now,
                                 engine_actions& out)
{
    suspected_until_[peer] = now + settings_.witness_suspicion;
    requests::claim_actions actions;
    claims_.on_peer_unreachable(peer, now, actions);
    apply(actions, now, out);
    update_witness(now, out);
}

bool engine::on_configuration(std::shared_ptr<model::configuration const> const& offered,
                              std::string document, base::time_point now, engine_actions& out)
{
    if (!adoption_.offer(offered))
    {
        return false;
    }
    services_.clear();
    for (auto const& it : offered->services)
    {
        services_[it.id] = service_state{offered, &it};
    }
    shares_.on_configuration(*offered, now, out);
    dispatcher_.configure(*offered, now);
    fleet::fleet_actions actions;
    fleet_.on_configuration_adopted(offered->version, std::move(document), now, actions);
    apply(actions, now, out);
    return true;
}

void engine::on_instances(std::vector<fleet::seed_entry> const& entries,
                          std::vector<base::upstream_id> const& leaving, base::time_point now,
                          engine_actions& out)
{
    fleet::fleet_actions actions;
    for (auto const& it : leaving)
    {
        fleet_.on_upstream_leaving(it, now, actions);
    }
    std::set<base::instance_id> listed;
    for (auto const& it : entries)
    {
        listed.insert(it.id);
    }
    shares_.on_instances(listed, now);
    fleet_.on_seeds(entries, now, actions);
    apply(actions, now, out);
}

void engine::apply(fleet::fleet_actions& actions, base::time_point now, engine_actions& out)
{
    bool changed = false;
    for (auto& action : actions)
    {
        if (auto* const message = std::get_if<send_message>(&action))
        {
            out.emplace_back(std::move(*message));
        }
        else if (auto* const address = std::get_if<use_address>(&action))
        {
            out.emplace_back(std::move(*address));
        }
        else if (auto const* const role = std::get_if<hub_role_changed>(&action))
        {
            out.emplace_back(*role);
        }
        else if (auto* const offer = std::get_if<fleet::offered_configuration>(&action))
        {
            out.emplace_back(parse_configuration{offer->version, std::move(offer->document)});
        }
        else if (std::holds_alternative<fleet::view_changed>(action))
        {
            changed = true;
        }
    }
    if (changed)
    {
        view_changed(now);
    }
}

void engine::view_changed(base::time_point now)
{
    dispatcher_.set_entries(fleet_.live_entries(), now);
    auto const known = fleet_.leaving_upstreams();
    std::set<base::upstream_id> const leaving(known.begin(), known.end());
    for (auto const& it : leaving)
    {
        if (leaving_.count(it) == 0)
        {
            dispatcher_.set_leaving(it);
        }
    }
    for (auto const& it : leaving_)
    {
        if (leaving.count(it) == 0)
        {
            dispatcher_.clear_leaving(it);
        }
    }
    leaving_ = leaving;
}

void engine::upstream_is_leaving(base::upstream_id const& id, model::endpoint const& at,
                                 base::time_point now, engine_actions& out)
{
    fleet::fleet_actions actions;
    fleet_.on_upstream_leaving(id, now, actions);
    apply(actions, now, out);
    out.emplace_back(upstream_retired{at});
}

base::result<routing_explanation> engine::explain(base::service_id const& service,
                                                  std::string_view method, std::string_view target,
                                                  base::time_point now) const
{
    if (!adoption_.ready())
    {
        return base::make_error(base::error_kind::not_ready,
                                "no configuration has been adopted yet");
    }
    auto const found = services_.find(service);
    if (found == services_.end())
    {
        return base::make_error(base::error_kind::unknown_service,
                                "service \"" + service.value() + "\" is not declared");
    }
    auto const index = class_of(*found->second.declared, method, target);
    return routing_explanation{found->second.declared->classes[index].name,
                               dispatcher_.explain(service, index, base::byte_count(), now)};
}

void engine::on_shares_loaded(limits::share_document document, base::time_point now)
{
    shares_.on_loaded(std::move(document), now);
}

void engine::on_shares_stored(bool committed, engine_actions& out)
{
    shares_.on_stored(committed, out);
}

void engine::drain()
{
    draining_ = true;
}

void engine::update_witness(base::time_point now, engine_actions& out)
{
    auto const usable = [&](messages::entry_info const& it)
    {
        auto const suspected = suspected_until_.find(it.id);
        return !it.draining && (suspected == suspected_until_.end() || suspected->second <= now);
    };
    if (witness_)
    {
        auto const* const current = fleet_.find(witness_->instance);
        bool const still_good =
            current != nullptr && current->incarnation == witness_->number && usable(*current);
        if (still_good)
        {
            return;
        }
    }
    auto const* const best = fleet_.best_witness(usable);
    auto const chosen = best == nullptr ? std::optional<requests::entry_incarnation>()
                                        : requests::entry_incarnation{best->id, best->incarnation};
    if (chosen == witness_)
    {
        return;
    }
    witness_ = chosen;
    claims_.set_witness(chosen);
    if (chosen)
    {
        out.emplace_back(send_message{chosen->instance, messages::heartbeat{fleet_.self()}});
    }
}

void engine::send_counts(engine_actions& out) const
{
    auto const live = fleet_.live_entries();
    std::vector<base::instance_id> receivers;
    if (live.size() <= small_fleet_size)
    {
        for (auto const& it : live)
        {
            receivers.push_back(it.id);
        }
    }
    else
    {
        receivers = fleet_.all_hubs();
    }
    messages::counters const own_counts{fleet_.self().id, fleet_.self().incarnation,
                                        levels_.own_counts()};
    for (auto const& it : receivers)
    {
        if (it != fleet_.self().id)
        {
            out.emplace_back(send_message{it, own_counts});
        }
    }
}

void engine::tick(base::time_point now, engine_actions& out)
{
    detect_pause(now);
    if (now >= next_counts_)
    {
        auto const entries = static_cast<std::int64_t>(fleet_.live_entries().size());
        next_counts_ = now + std::max(shortest_counts_period, entries * counts_period_per_entry);
        send_counts(out);
    }
    update_witness(now, out);
    auto const witness = witness_.value_or(requests::entry_incarnation{});
    fleet_.set_self(draining_, witness.instance, witness.number, claims_.generation(now),
                    dispatcher_.load_permille());
    if (draining_ && !drain_effective_at_)
    {
        // The new owners request the slots once they see the drain. Until then this entry keeps
        // assigning requests to them, because the slots would be idle otherwise.
        drain_effective_at_ = now + settings_.routing.view_lag;
    }
    if (drain_effective_at_ && now >= *drain_effective_at_)
    {
        drain_effective_at_ = base::time_point::max();
        view_changed(now);
    }
    fleet::fleet_actions fleet_actions;
    fleet_.tick(now, fleet_actions);
    apply(fleet_actions, now, out);
    shares_.set_hub(fleet_.first_hub());
    shares_.tick(now, out);
    requests::claim_actions claim_actions;
    claims_.tick(now, claim_actions);
    apply(claim_actions, now, out);
    routing::dispatch_actions dispatch_actions;
    dispatcher_.tick(now, dispatch_actions);
    apply(dispatch_actions, now, out);
}

base::time_point engine::next_wakeup(base::time_point now) const
{
    // The fleet node requires four ticks per heartbeat period.
    auto next = now + settings_.fleet.heartbeat_period / 4;
    next = std::min(next, dispatcher_.next_wakeup(now));
    return std::min(next, claims_.next_timer().value_or(next));
}

} // namespace fuchsiaproxy::engine
