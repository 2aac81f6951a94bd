#ifndef FUCHSIAPROXY_POLICY_BENCH_DEPLOYMENTS_HPP
#define FUCHSIAPROXY_POLICY_BENCH_DEPLOYMENTS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::policy_bench
{

/// Work of one request class. The times are assumptions of the bench: section 1.3 of the design
/// names none.
struct class_workload
{
    /// Share of the requests of the service.
    double share = 1;
    base::duration mean_work{};
    /// Long classes are what short work may be held up by.
    bool is_long = false;
};

/// One organisation's setup: its configuration, its entries and its workload.
struct deployment
{
    std::string name;
    model::configuration configuration;
    std::vector<messages::entry_info> entries;
    /// By service and class, in the order of the configuration.
    std::vector<std::vector<class_workload>> workload;
    /// Requests per second that may move between any two regions.
    std::uint64_t region_cap = 0;
};

/// Delay inside a zone, which the configuration does not declare.
constexpr base::duration within_zone = std::chrono::microseconds(100);

/// Varjuvõrk: three regions of two zones, catalog, orders and cutting.
deployment varjuvork();

/// Pamplemousses: three regions of two zones, catalogue, reservations and tresorerie.
deployment pamplemousses();

} // namespace fuchsiaproxy::policy_bench

#endif
