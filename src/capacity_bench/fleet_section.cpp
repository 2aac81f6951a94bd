#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "layout.hpp"
#include "sections.hpp"
#include "simulated_fleet.hpp"

namespace fuchsiaproxy::capacity_bench
{
namespace
{

// Longest simulated start of a whole fleet.
constexpr std::size_t max_start_seconds = 20;
// A cold start of 300 entries takes minutes to simulate, because it does not converge.
constexpr std::size_t max_cold_entries = 300;
constexpr std::size_t window_seconds = 4;
// Long enough for hubs (3 s) and members (5 s) to drop lost entries.
constexpr std::size_t loss_seconds = 8;
// Size of the distributed configuration; the section `configuration` measures real sizes.
constexpr std::size_t document_bytes = 1'000;

constexpr std::size_t value_columns = 11;

std::vector<std::string> columns()
{
    return {"entries",    "mean out B/s", "max out B/s", "mean in B/s", "max in B/s", "far out B/s",
            "far in B/s", "out msg/s",    "in msg/s",    "node us/s",   "codec us/s", "members"};
}

/// The tables of one scenario: a row for members and one for hubs for each size.
struct scenario
{
    explicit scenario(std::string const& name)
        : members{name + ", member", columns(), {}}, hubs{name + ", hub", columns(), {}}
    {
    }

    void add_to(report& out)
    {
        out.add(std::move(members));
        out.add(std::move(hubs));
    }

    table members;
    table hubs;
};

std::vector<double> row_of(std::size_t entries, std::vector<tally> const& all, double seconds)
{
    std::vector<double> row(value_columns + 1, 0.0);
    row[0] = double(entries);
    if (all.empty())
    {
        return row;
    }
    for (auto const& it : all)
    {
        row[1] += double(it.sent.bytes);
        row[2] = std::max(row[2], double(it.sent.bytes));
        row[3] += double(it.received.bytes);
        row[4] = std::max(row[4], double(it.received.bytes));
        row[5] += double(it.sent.far_bytes);
        row[6] += double(it.received.far_bytes);
        row[7] += double(it.sent.messages);
        row[8] += double(it.received.messages);
        row[9] += it.node_ns / 1e3;
        row[10] += it.codec_ns / 1e3;
    }
    for (std::size_t n = 1; n < value_columns; ++n)
    {
        row[n] /= n == 2 || n == 4 ? seconds : seconds * double(all.size());
    }
    row[value_columns] = double(all.size());
    return row;
}

void record(simulated_fleet const& fleet, std::size_t entries, std::size_t seconds, scenario& out)
{
    out.members.rows.push_back(row_of(entries, fleet.tallies(false), double(seconds)));
    out.hubs.rows.push_back(row_of(entries, fleet.tallies(true), double(seconds)));
}

void add_calls(simulated_fleet const& fleet, std::size_t entries, bool of_hubs, table& out)
{
    std::vector<double> row{double(entries)};
    for (auto const& it : fleet.costs(of_hubs))
    {
        row.push_back(it.count == 0 ? 0 : it.ns / 1e3 / double(it.count));
    }
    row.resize(5); // later kinds do not occur in the steady state
    out.rows.push_back(std::move(row));
}

std::size_t start_all(simulated_fleet& fleet)
{
    std::size_t seconds = 0;
    while (seconds < max_start_seconds && fleet.complete() < fleet.size())
    {
        fleet.run(1);
        ++seconds;
    }
    return seconds;
}

/// Replaces one entry and returns {seconds until it is complete, bytes in, bytes out}.
std::vector<double> replace_one(simulated_fleet& fleet, std::size_t entries)
{
    std::size_t const index = entries - 1;
    fleet.stop(make_entry(index, zones_of(entries), 0).id);
    auto const id = fleet.start_replacement(index);
    std::size_t seconds = 0;
    while (seconds < max_start_seconds && !fleet.is_complete(id))
    {
        fleet.run(1);
        ++seconds;
    }
    auto const& it = fleet.tally_of(id);
    std::vector<double> out{double(seconds), double(it.received.bytes), double(it.sent.bytes)};
    fleet.run(loss_seconds - std::min(loss_seconds, seconds));
    return out;
}

} // namespace

void measure_start(std::size_t max_entries, report& out)
{
    scenario start("start of the whole fleet");
    table starts{"start of the whole fleet, end", {"entries", "seconds", "complete"}, {}};
    std::string const document(document_bytes, 'x');
    for (auto const n : fleet_sizes(std::min(max_entries, max_cold_entries)))
    {
        simulated_fleet fleet(n, document, false);
        std::size_t const seconds = start_all(fleet);
        record(fleet, n, std::max<std::size_t>(seconds, 1), start);
        starts.rows.push_back({double(n), double(seconds), double(fleet.complete())});
    }
    start.add_to(out);
    out.add(std::move(starts));
}

void measure_fleet(std::size_t max_entries, report& out)
{
    scenario steady("steady state");
    scenario generations("steady state with ticket generations");
    scenario replaced("8 s with one replacement");
    scenario version("4 s with one new version of 1,000 B");
    scenario zone_lost("8 s after the loss of a zone");
    table member_calls{
        "us per call, member", {"entries", "tick", "heartbeat", "pull", "digest"}, {}};
    table hub_calls = member_calls;
    hub_calls.name = "us per call, hub";
    table ones{"start of one entry", {"entries", "seconds", "in B", "out B"}, {}};
    std::string const document(document_bytes, 'x');
    for (auto const n : fleet_sizes(max_entries))
    {
        std::fprintf(stderr, "fleet of %zu entries\n", n);
        simulated_fleet fleet(n, document, true);
        fleet.run(4);
        fleet.reset_tallies();
        fleet.run(window_seconds);
        record(fleet, n, window_seconds, steady);
        add_calls(fleet, n, false, member_calls);
        add_calls(fleet, n, true, hub_calls);

        fleet.reset_tallies();
        fleet.run(window_seconds, true);
        record(fleet, n, window_seconds, generations);

        fleet.reset_tallies();
        fleet.adopt_next_version();
        fleet.run(window_seconds);
        record(fleet, n, window_seconds, version);

        fleet.reset_tallies();
        auto one = replace_one(fleet, n);
        record(fleet, n, loss_seconds, replaced);
        one.insert(one.begin(), double(n));
        ones.rows.push_back(std::move(one));

        fleet.reset_tallies();
        fleet.stop_zone_of_first();
        fleet.run(loss_seconds);
        record(fleet, n, loss_seconds, zone_lost);
    }
    out.add(std::move(member_calls));
    out.add(std::move(hub_calls));
    steady.add_to(out);
    generations.add_to(out);
    replaced.add_to(out);
    version.add_to(out);
    zone_lost.add_to(out);
    out.add(std::move(ones));
}

} // namespace fuchsiaproxy::capacity_bench
