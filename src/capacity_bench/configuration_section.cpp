#include <algorithm>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include "fuchsiaproxy/engine/engine.hpp"
#include "fuchsiaproxy/model/json.hpp"
#include "fuchsiaproxy/model/manifest.hpp"
#include "fuchsiaproxy/model/validate.hpp"
#include "layout.hpp"
#include "measure.hpp"
#include "sections.hpp"

namespace fuchsiaproxy::capacity_bench
{
namespace
{

constexpr base::time_point start{std::chrono::hours(1)};
constexpr std::size_t target_zones = 29;
// Members of an availability zone at the target size, without the hub that pushes.
constexpr std::size_t receivers = 61;

struct configuration_size
{
    std::size_t services = 0;
    std::size_t places = 0;
    std::size_t upstreams_per_place = 0;
};

std::string numbered(std::string const& prefix, std::size_t n)
{
    return prefix + "-" + std::to_string(n);
}

model::service make_service(std::size_t n)
{
    model::service it;
    it.id = base::service_id(numbered("service", n));
    it.organisation = base::organisation_id("varjuvork");
    it.shed_statuses = {503};
    model::request_class queries;
    queries.name = "queries";
    queries.method = "GET";
    queries.path_prefix = "/";
    queries.idempotent = true;
    queries.deadline = std::chrono::milliseconds(500);
    model::request_class other;
    other.name = "other";
    other.deadline = std::chrono::milliseconds(1000);
    it.classes = {queries, other};
    return it;
}

model::place make_place(std::size_t n, configuration_size const& counts)
{
    auto const zone = n % target_zones;
    model::place it;
    it.id = base::place_id(numbered("place", n));
    it.service = base::service_id(numbered("service", n % counts.services));
    it.zone = make_entry(zone, target_zones, 0).zone;
    for (std::size_t k = 0; k < counts.upstreams_per_place; ++k)
    {
        std::size_t const number = n * counts.upstreams_per_place + k;
        auto const address =
            "10.30." + std::to_string(number / 250) + "." + std::to_string(number % 250);
        it.upstreams.push_back({base::upstream_id(numbered("upstream", number)),
                                {address, 9000},
                                base::slot_count(4),
                                400});
    }
    return it;
}

model::configuration make_configuration(configuration_size const& counts)
{
    model::configuration it;
    it.version = base::config_version(70'000);
    for (std::size_t n = 0; n < target_zones; ++n)
    {
        auto const entry = make_entry(n, target_zones, 0);
        it.zones.push_back({entry.zone, entry.region});
    }
    it.delays = {std::chrono::milliseconds(1), std::chrono::milliseconds(20),
                 std::chrono::milliseconds(3)};
    it.members = {
        {base::organisation_id("varjuvork"),
         {{base::operator_id("operator-1"), std::string(32, 'a'), std::string(64, 'b')}}}};
    for (std::size_t n = 0; n < counts.services; ++n)
    {
        it.services.push_back(make_service(n));
    }
    for (std::size_t n = 0; n < counts.places; ++n)
    {
        it.places.push_back(make_place(n, counts));
    }
    return it;
}

model::manifest make_manifest(model::configuration const& config)
{
    model::manifest head;
    head.version = config.version;
    for (auto const& it : model::split_into_segments(config))
    {
        head.segments.push_back({it.name, it.hash});
    }
    for (std::size_t n = 0; n < model::max_logged_commands; ++n)
    {
        head.commands.append({base::command_id("command-0000000000" + std::to_string(n)),
                              base::operator_id("operator-1"), base::organisation_id("varjuvork"),
                              base::config_version(n), model::wall_time(),
                              model::content_hash(std::to_string(n))});
    }
    return head;
}

double adopt_ns(std::shared_ptr<model::configuration const> const& config, std::string const& text)
{
    engine::engine it({}, make_entry(0, target_zones, 1), 7, start);
    engine::engine_actions actions;
    return ns_per_call(1, [&](std::size_t) { it.on_configuration(config, text, start, actions); });
}

std::vector<double> measure(configuration_size const& counts)
{
    auto const config = std::make_shared<model::configuration>(make_configuration(counts));
    if (auto const valid = model::validate(*config); !valid)
    {
        throw std::runtime_error("the generated configuration is invalid: " +
                                 valid.error().message);
    }
    auto const text = model::to_json(*config);
    auto const segments = model::split_into_segments(*config);
    std::size_t largest = 0;
    std::size_t sum = 0;
    for (auto const& it : segments)
    {
        largest = std::max(largest, it.document.size());
        sum += it.document.size();
    }
    // One service changes: its segment and the manifest.
    auto const service =
        std::find_if(segments.begin(), segments.end(),
                     [](auto const& it) { return it.name == "service-service-0"; });
    auto const head = model::to_json(make_manifest(*config));
    auto const push = encoded_size(messages::config_push{config->version, text});
    auto const before = live_bytes();
    auto const parsed =
        std::make_unique<model::configuration>(model::parse_configuration(text).value());
    double const held = double(live_bytes() - before);
    std::size_t const rounds = 5;
    return {0,
            double(text.size()),
            double(head.size()),
            double(segments.size()),
            double(service->document.size()),
            double(largest),
            ns_per_call(rounds,
                        [&](std::size_t) { do_not_optimize(model::parse_configuration(text)); }) /
                1e6,
            ns_per_call(rounds, [&](std::size_t) { do_not_optimize(model::validate(*config)); }) /
                1e6,
            adopt_ns(config, text) / 1e6,
            held,
            double(push * receivers),
            double((service->document.size() + head.size()) * receivers)};
}

std::vector<std::string> columns(char const* size)
{
    return {
        size,       "JSON B",   "manifest B", "segments", "service seg B", "largest seg B",
        "parse ms", "valid ms", "adopt ms",   "held B",   "push zone B",   "seg+manifest zone B"};
}

} // namespace

void measure_configuration(report& out)
{
    table places{
        "configuration against places (10 per service, 12 upstreams each)", columns("places"), {}};
    for (std::size_t const n : {12, 120, 320, 1000})
    {
        auto row = measure({std::max<std::size_t>(1, n / 10), n, 12});
        row[0] = double(n);
        places.rows.push_back(std::move(row));
    }
    out.add(std::move(places));
    table services{
        "configuration against services (one place of 2 upstreams each)", columns("services"), {}};
    for (std::size_t const n : {10, 100, 1000})
    {
        auto row = measure({n, n, 2});
        row[0] = double(n);
        services.rows.push_back(std::move(row));
    }
    out.add(std::move(services));
}

} // namespace fuchsiaproxy::capacity_bench
