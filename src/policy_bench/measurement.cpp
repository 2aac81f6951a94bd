#include "measurement.hpp"

#include <algorithm>
#include <array>
#include <memory>

#include "baselines.hpp"
#include "dispatcher_policy.hpp"
#include "simulation.hpp"

namespace fuchsiaproxy::policy_bench
{

namespace
{

double to_ms(base::duration it)
{
    return std::chrono::duration<double, std::milli>(it).count();
}

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    auto const n = std::min(values.size() - 1,
                            static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
}

/// Totals over a set of requests.
struct request_totals
{
    std::size_t requests = 0;
    double weight = 0;
    double weight_on_time = 0;
    std::size_t on_time = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::vector<double> latencies;
};

double share(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

/// Adds one request to the totals. A request refused on arrival adds no latency; a failed one adds
/// the time that its caller waited, and one still open at the end of the run counts as failed with
/// twice its deadline.
void add_request(request_totals& to, request_result const& result, model::request_class const& kind,
                 bool with_latency)
{
    bool const on_time = result.end == request_end::served && result.latency <= kind.deadline;
    bool const open = result.end == request_end::open;
    ++to.requests;
    to.weight += kind.weight.value();
    to.weight_on_time += on_time ? kind.weight.value() : 0;
    to.on_time += on_time ? 1 : 0;
    to.refused += result.end == request_end::refused ? 1 : 0;
    to.failed += result.end == request_end::failed || open ? 1 : 0;
    if (with_latency && result.end != request_end::refused)
    {
        to.latencies.push_back(to_ms(open ? 2 * kind.deadline : result.latency));
    }
}

/// Fills in the figures that are derived from the results of the requests.
void summarise(simulation const& sim, double achievable, measurement& to)
{
    auto const& services = sim.topo().source.configuration.services;
    request_totals all;
    std::vector<std::vector<request_totals>> by_class;
    by_class.reserve(services.size());
    for (auto const& it : services)
    {
        by_class.emplace_back(it.classes.size());
    }
    for (std::size_t n = 0; n < sim.arrivals().size(); ++n)
    {
        auto const& it = sim.arrivals()[n];
        auto const& result = sim.results()[n];
        if (it.at >= sim.current_scenario().fault_at && result.end != request_end::lost)
        {
            auto const& kind = services[it.service].classes[it.request_class];
            add_request(all, result, kind, it.is_short);
            add_request(by_class[it.service][it.request_class], result, kind, true);
        }
    }
    to.requests = all.requests;
    to.refused_share = share(all.refused, all.requests);
    to.failed_share = share(all.failed, all.requests);
    to.weight_on_time = all.weight > 0 ? all.weight_on_time / all.weight : 0;
    to.weight_of_achievable = achievable > 0 ? all.weight_on_time / achievable : 0;
    to.short_p50_ms = quantile(all.latencies, 0.5);
    to.short_p99_ms = quantile(all.latencies, 0.99);
    to.max_slot_use = sim.max_slot_use();
    to.moves_over_cap = sim.moves_over_cap();
    to.utilisation = sim.utilisation();
    to.drain_ms = to_ms(sim.drain_time());
    for (std::size_t service = 0; service < services.size(); ++service)
    {
        for (std::size_t n = 0; n < by_class[service].size(); ++n)
        {
            auto& it = by_class[service][n];
            to.classes.push_back(
                {services[service].id.value() + "/" + services[service].classes[n].name,
                 it.requests, share(it.on_time, it.requests), share(it.refused, it.requests),
                 share(it.failed, it.requests), quantile(it.latencies, 0.5),
                 quantile(it.latencies, 0.99)});
        }
    }
}

} // namespace

std::string_view policy_name(std::size_t policy)
{
    static constexpr std::array<std::string_view, policy_count> names{
        "round robin", "random", "two choices", "least reported", "dispatcher"};
    return names.at(policy);
}

std::string_view fault_name(fault injected_fault)
{
    static constexpr std::array<std::string_view, 5> names{"none", "two slowed", "zone lost",
                                                           "drain", "shift"};
    return names.at(static_cast<std::size_t>(injected_fault));
}

measurement measure(deployment const& setup, scenario const& spec, std::size_t policy_index,
                    routing::dispatcher_settings const& settings)
{
    topology const topo_by_index(setup);
    auto arrivals = make_arrivals(topo_by_index, spec);
    auto speeds = make_speeds(topo_by_index, spec);
    auto const achievable = achievable_weight(topo_by_index, spec, arrivals, speeds);
    auto const total = static_cast<double>(std::max<std::size_t>(arrivals.size(), 1));
    simulation sim(topo_by_index, spec, std::move(arrivals), std::move(speeds));
    measurement it;
    if (policy_index == dispatcher_index)
    {
        dispatcher_policy under_test(sim, settings);
        sim.run(under_test);
        auto const& c = under_test.counters();
        it.hedge_share = static_cast<double>(c.hedges) / total;
        it.retry_share = static_cast<double>(c.retries) / total;
        it.messages = static_cast<double>(c.borrows_sent + c.loans_granted + c.borrows_refused +
                                          c.loans_received) /
                      total;
        it.ejections = c.ejections;
        it.loans_lapsed = c.loans_lapsed;
    }
    else
    {
        auto const under_test = make_baseline(sim, static_cast<baseline_kind>(policy_index));
        sim.run(*under_test);
    }
    summarise(sim, achievable, it);
    return it;
}

} // namespace fuchsiaproxy::policy_bench
