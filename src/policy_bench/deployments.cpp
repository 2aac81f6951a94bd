#include "deployments.hpp"

#include <utility>

namespace fuchsiaproxy::policy_bench
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned entries_per_zone = 2;

struct class_plan
{
    std::string name;
    bool idempotent;
    std::uint32_t weight;
    base::duration deadline;
    class_workload workload;
};

struct service_plan
{
    std::string name;
    unsigned upstreams;
    std::uint32_t slots;
    std::uint32_t max_connections;
    std::vector<class_plan> classes;
};

void add_zones(deployment& to, std::vector<std::string> const& regions)
{
    for (auto const& region : regions)
    {
        for (auto const* const suffix : {"-a", "-b"})
        {
            base::availability_zone_id const zone(region + suffix);
            to.configuration.zones.push_back({zone, base::region_id(region)});
            for (unsigned n = 1; n <= entries_per_zone; ++n)
            {
                messages::entry_info it;
                it.id = base::instance_id(zone.value() + "-" + std::to_string(n));
                it.region = base::region_id(region);
                it.zone = zone;
                to.entries.push_back(std::move(it));
            }
        }
    }
}

void add_service(deployment& to, service_plan const& plan)
{
    auto& configuration = to.configuration;
    model::service service;
    service.id = base::service_id(plan.name);
    std::vector<class_workload> workload;
    for (auto const& it : plan.classes)
    {
        service.classes.push_back({it.name, "", "/" + it.name, it.idempotent,
                                   base::request_weight(it.weight), it.deadline});
        workload.push_back(it.workload);
    }
    configuration.services.push_back(std::move(service));
    to.workload.push_back(std::move(workload));

    auto const first_place = configuration.places.size();
    for (auto const& zone : configuration.zones)
    {
        configuration.places.push_back({base::place_id(plan.name + "@" + zone.id.value()),
                                        base::service_id(plan.name),
                                        zone.id,
                                        {}});
    }
    for (unsigned n = 0; n < plan.upstreams; ++n)
    {
        auto& place = configuration.places[first_place + n % configuration.zones.size()];
        place.upstreams.push_back({base::upstream_id(plan.name + "-" + std::to_string(n)),
                                   {"10.0.0." + std::to_string(n + 1), 8080},
                                   base::slot_count(plan.slots),
                                   plan.max_connections});
    }
}

} // namespace

deployment varjuvork()
{
    deployment it;
    it.name = "varjuvork";
    it.configuration.delays = {500us, 20ms, 3ms};
    it.region_cap = 300;
    add_zones(it, {"harju", "tartu", "parnu"});
    add_service(it, {"catalog",
                     20,
                     4,
                     400,
                     {{"report", true, 2, 4s, {0.03, 200ms, true}},
                      {"lookup", true, 1, 600ms, {0.97, 20ms, false}}}});
    add_service(it, {"orders",
                     14,
                     4,
                     400,
                     {{"order", false, 10, 800ms, {0.7, 30ms, false}},
                      {"status", true, 1, 500ms, {0.3, 15ms, false}}}});
    add_service(it, {"cutting",
                     12,
                     3,
                     400,
                     {{"release", false, 5, 1s, {0.8, 40ms, false}},
                      {"plan", true, 5, 5s, {0.03, 300ms, true}},
                      {"query", true, 1, 600ms, {0.17, 20ms, false}}}});
    return it;
}

deployment pamplemousses()
{
    deployment it;
    it.name = "pamplemousses";
    it.configuration.delays = {1ms, 12ms, 3ms};
    it.region_cap = 300;
    add_zones(it, {"nord", "plaines", "sud"});
    add_service(it, {"catalogue",
                     16,
                     6,
                     350,
                     {{"export", true, 2, 4s, {0.03, 200ms, true}},
                      {"lookup", true, 1, 600ms, {0.97, 20ms, false}}}});
    add_service(it, {"reservations",
                     12,
                     5,
                     350,
                     {{"reserve", false, 10, 800ms, {0.6, 35ms, false}},
                      {"availability", true, 1, 600ms, {0.4, 20ms, false}}}});
    add_service(it, {"tresorerie",
                     12,
                     3,
                     350,
                     {{"payment", false, 10, 1s, {0.75, 40ms, false}},
                      {"statement", true, 4, 5s, {0.03, 300ms, true}},
                      {"balance", true, 1, 600ms, {0.22, 20ms, false}}}});
    return it;
}

} // namespace fuchsiaproxy::policy_bench
