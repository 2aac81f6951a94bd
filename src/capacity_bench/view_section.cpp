#include <memory>
#include <string>
#include <vector>

#include "fuchsiaproxy/engine/engine.hpp"
#include "fuchsiaproxy/fleet/fleet_node.hpp"
#include "fuchsiaproxy/peers/codec.hpp"
#include "layout.hpp"
#include "measure.hpp"
#include "sections.hpp"

namespace fuchsiaproxy::capacity_bench
{
namespace
{

constexpr base::time_point start{std::chrono::hours(1)};
constexpr std::size_t look_ups = 400;
constexpr std::size_t target_entries = 1800;

// A view as a hub of the entry's zone sends it.
messages::envelope view_from(std::size_t entries, std::size_t sender)
{
    auto const zones = zones_of(entries);
    auto view = make_view(entries, zones);
    auto const from = view.entries[sender];
    return {from.id, from.incarnation, 1, std::move(view)};
}

void measure_bytes(std::vector<std::size_t> const& sizes, report& out)
{
    table t{"message bytes against entries",
            {"entries", "heartbeat B", "pull B", "digest none B", "digest 10 B", "digest full B",
             "encode full us", "decode full us"},
            {}};
    for (auto const n : sizes)
    {
        auto const full = make_view(n, zones_of(n));
        auto some = full;
        some.full = false;
        some.entries.resize(10);
        auto none = some;
        none.entries.resize(1); // the hub itself is in every digest
        auto const envelope = view_from(n, 0);
        auto const bytes = peers::encode(envelope).value();
        std::size_t const rounds = 20;
        t.rows.push_back(
            {double(n), double(encoded_size(messages::heartbeat{full.entries[1]})),
             double(
                 encoded_size(messages::pull{full.version, full.entries[0].incarnation, 100'000})),
             double(encoded_size(none)), double(encoded_size(some)), double(encoded_size(full)),
             ns_per_call(rounds, [&](std::size_t) { do_not_optimize(peers::encode(envelope)); }) /
                 1e3,
             ns_per_call(rounds, [&](std::size_t) { do_not_optimize(peers::decode(bytes)); }) /
                 1e3});
    }
    out.add(std::move(t));
    table changes{"digest bytes against changed entries", {"changes", "digest B"}, {}};
    for (std::size_t const k : {0, 1, 10, 62, 300})
    {
        auto it = make_view(k + 1, zones_of(1800));
        it.full = false;
        changes.rows.push_back({double(k), double(encoded_size(it))});
    }
    out.add(std::move(changes));
}

std::unique_ptr<engine::engine> engine_with_view(std::size_t entries)
{
    auto const zones = zones_of(entries);
    auto it = std::make_unique<engine::engine>(engine::engine_settings{},
                                               make_entry(entries, zones, 1), 7, start);
    auto config = std::make_shared<model::configuration>();
    config->version = base::config_version(70'000);
    for (std::size_t n = 0; n < zones; ++n)
    {
        auto const info = make_entry(n, zones, 0);
        config->zones.push_back({info.zone, info.region});
    }
    engine::engine_actions actions;
    it->on_configuration(config, "{}", start, actions);
    it->on_message(view_from(entries, 0), start, actions);
    return it;
}

void measure_node(std::vector<std::size_t> const& sizes, report& out)
{
    table t{"view of one entry against entries",
            {"entries", "view B", "B per entry", "adopt view us", "look_up us", "answer us"},
            {}};
    for (auto const n : sizes)
    {
        auto const zones = zones_of(n);
        auto const first = view_from(n, 0);
        auto const second = view_from(n, 1);
        auto const before = live_bytes();
        auto node = std::make_unique<fleet::fleet_node>(fleet::fleet_settings{},
                                                        make_entry(n, zones, 1), start);
        double adopt = 0;
        {
            fleet::fleet_actions actions;
            adopt = ns_per_call(1, [&](std::size_t) { node->on_message(first, start, actions); });
            node->on_message(second, start, actions);
        }
        auto const bytes = double(live_bytes() - before);
        auto const near = make_entry(1, zones, 0);
        double const node_ns =
            ns_per_call(look_ups, [&](std::size_t i)
                        { do_not_optimize(node->look_up(near.region, near.zone, i, 3)); });
        auto const engine = engine_with_view(n);
        double const answer_ns =
            ns_per_call(look_ups, [&](std::size_t i)
                        { do_not_optimize(engine->look_up(near.zone, i, start)); });
        t.rows.push_back(
            {double(n), bytes, bytes / double(n), adopt / 1e3, node_ns / 1e3, answer_ns / 1e3});
    }
    out.add(std::move(t));
}

} // namespace

void measure_view(report& out)
{
    auto const sizes = fleet_sizes(target_entries);
    measure_bytes(sizes, out);
    measure_node(sizes, out);
}

} // namespace fuchsiaproxy::capacity_bench
