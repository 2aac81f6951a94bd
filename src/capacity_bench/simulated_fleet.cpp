#include "simulated_fleet.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "fuchsiaproxy/peers/codec.hpp"
#include "layout.hpp"
#include "measure.hpp"

namespace fuchsiaproxy::capacity_bench
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration tick_period = 250ms;
constexpr std::size_t generation_seconds = 60;

call_kind kind_of(messages::message const& it)
{
    switch (it.index())
    {
    case 0:
        return call_kind::heartbeat;
    case 1:
        return call_kind::pull;
    case 2:
        return call_kind::digest;
    case 3:
        return call_kind::config_push;
    case 4:
        return call_kind::config_fetch;
    default:
        return call_kind::other;
    }
}

void count(traffic& it, std::size_t bytes, bool far)
{
    ++it.messages;
    it.bytes += bytes;
    it.far_bytes += far ? bytes : 0;
}

} // namespace

simulated_fleet::simulated_fleet(std::size_t entries, std::string document, bool warm)
    : zones_(zones_of(entries)), next_name_(entries), document_(std::move(document))
{
    for (std::size_t n = 0; n < entries; ++n)
    {
        add(n, n);
    }
    perform(nodes_.begin()->second, call_kind::other,
            [&](auto& node, auto& out) {
                node.on_configuration_adopted(base::config_version(version_), document_, now_, out);
            });
}

base::instance_id simulated_fleet::add(std::size_t index, std::size_t name)
{
    auto info = make_entry(index, zones_, ++incarnation_);
    auto const by_name = make_entry(name, zones_, 0);
    info.id = by_name.id;
    info.peer_address = by_name.peer_address;
    info.caller_address = by_name.caller_address;
    member it;
    it.index = index;
    it.node = std::make_unique<fleet::fleet_node>(fleet::fleet_settings{}, info, now_);
    nodes_.emplace(info.id, std::move(it));
    seeds_.push_back({info.id, info.peer_address});
    return info.id;
}

void simulated_fleet::run(std::size_t seconds, bool advance_generations)
{
    std::vector<base::instance_id> ids;
    for (auto const end = now_ + std::chrono::seconds(seconds); now_ < end; now_ += tick_period)
    {
        ids.clear();
        for (auto const& it : nodes_)
        {
            ids.push_back(it.first);
        }
        for (auto const& id : ids)
        {
            step(id, advance_generations);
        }
    }
}

void simulated_fleet::step(base::instance_id const& id, bool advance_generations)
{
    auto& it = nodes_.at(id);
    bool const whole_second = now_.time_since_epoch() % 1s == 0s;
    if (whole_second)
    {
        auto const second = std::size_t(now_.time_since_epoch() / 1s);
        bool const advances = (second + it.index) % generation_seconds == 0;
        it.generation += advance_generations && advances ? 1 : 0;
        refresh_self(it);
    }
    perform(it, call_kind::tick, [&](auto& node, auto& out) { node.tick(now_, out); });
    bool const reads_list = it.node->is_hub() || it.node->self().version.value() == 0;
    if (whole_second && reads_list)
    {
        perform(it, call_kind::other,
                [&](auto& node, auto& out) { node.on_seeds(seeds_, now_, out); });
    }
}

void simulated_fleet::refresh_self(member& it)
{
    auto const& self = it.node->self();
    auto witness = self.witness;
    auto incarnation = self.witness_incarnation;
    auto const* const known = witness.value().empty() ? nullptr : it.node->find(witness);
    if (known == nullptr)
    {
        auto const* const best =
            it.node->best_witness([](messages::entry_info const& e) { return !e.draining; });
        witness = best == nullptr ? base::instance_id() : best->id;
        incarnation = best == nullptr ? base::incarnation() : best->incarnation;
    }
    it.node->set_self(false, witness, incarnation, it.generation, 300);
}

template <class Call>
void simulated_fleet::perform(member& it, call_kind kind, Call&& call)
{
    actions_.clear();
    double const begin = processor_ns();
    call(*it.node, actions_);
    double const spent = processor_ns() - begin;
    it.counts.node_ns += spent;
    auto& cost = costs_[it.node->is_hub() ? 1 : 0][static_cast<std::size_t>(kind)];
    cost.ns += spent;
    ++cost.count;
    auto const actions = std::move(actions_);
    apply(it, actions);
    deliver();
}

void simulated_fleet::apply(member& it, fleet::fleet_actions const& actions)
{
    for (auto const& action : actions)
    {
        if (auto const* const message = std::get_if<messages::send_message>(&action))
        {
            send(it, *message);
        }
        else if (auto const* const offer = std::get_if<fleet::offered_configuration>(&action))
        {
            fleet::fleet_actions more;
            it.node->on_configuration_adopted(offer->version, offer->document, now_, more);
            apply(it, more);
        }
    }
}

void simulated_fleet::send(member& it, messages::send_message const& action)
{
    auto const& self = it.node->self();
    messages::envelope const envelope{self.id, self.incarnation, ++sequence_, action.body};
    double const begin = processor_ns();
    auto bytes = peers::encode(envelope).value();
    it.counts.codec_ns += processor_ns() - begin;
    auto const to = nodes_.find(action.to);
    bool const far = to != nodes_.end() && to->second.node->self().zone != self.zone;
    count(it.counts.sent, bytes.size(), far);
    queue_.push_back({action.to, std::move(bytes), far});
}

void simulated_fleet::deliver()
{
    if (delivering_)
    {
        return;
    }
    delivering_ = true;
    while (!queue_.empty())
    {
        auto const next = std::move(queue_.front());
        queue_.pop_front();
        auto const found = nodes_.find(next.to);
        if (found == nodes_.end())
        {
            continue;
        }
        auto& it = found->second;
        count(it.counts.received, next.bytes.size(), next.far);
        double const begin = processor_ns();
        auto const message = peers::decode(next.bytes).value();
        it.counts.codec_ns += processor_ns() - begin;
        perform(it, kind_of(message.body),
                [&](auto& node, auto& out) { node.on_message(message, now_, out); });
    }
    delivering_ = false;
}

void simulated_fleet::stop(base::instance_id const& id)
{
    nodes_.erase(id);
    seeds_.erase(
        std::remove_if(seeds_.begin(), seeds_.end(), [&](auto const& it) { return it.id == id; }),
        seeds_.end());
}

base::instance_id simulated_fleet::start_replacement(std::size_t n)
{
    return add(n, next_name_++);
}

void simulated_fleet::stop_zone_of_first()
{
    auto const zone = nodes_.begin()->second.node->self().zone;
    std::vector<base::instance_id> ids;
    for (auto const& it : nodes_)
    {
        if (it.second.node->self().zone == zone)
        {
            ids.push_back(it.first);
        }
    }
    for (auto const& id : ids)
    {
        stop(id);
    }
}

void simulated_fleet::adopt_next_version()
{
    auto const hub = nodes_.begin()->second.node->first_hub();
    ++version_;
    perform(nodes_.at(hub), call_kind::other,
            [&](auto& node, auto& out) {
                node.on_configuration_adopted(base::config_version(version_), document_, now_, out);
            });
}

bool simulated_fleet::is_complete(base::instance_id const& id) const
{
    auto const& node = *nodes_.at(id).node;
    if (node.self().version.value() < version_)
    {
        return false;
    }
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [&](auto const& it)
                       { return it.first == id || node.find(it.first) != nullptr; });
}

std::size_t simulated_fleet::complete() const
{
    return std::size_t(std::count_if(nodes_.begin(), nodes_.end(),
                                     [&](auto const& it) { return is_complete(it.first); }));
}

void simulated_fleet::reset_tallies()
{
    for (auto& it : nodes_)
    {
        it.second.counts = tally();
    }
    costs_ = {};
}

std::vector<tally> simulated_fleet::tallies(bool of_hubs) const
{
    std::vector<tally> all;
    for (auto const& it : nodes_)
    {
        if (it.second.node->is_hub() == of_hubs)
        {
            all.push_back(it.second.counts);
        }
    }
    return all;
}

} // namespace fuchsiaproxy::capacity_bench
