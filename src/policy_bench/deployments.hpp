#ifndef FUCHSIAPROXY_POLICY_BENCH_DEPLOYMENTS_HPP
#define FUCHSIAPROXY_POLICY_BENCH_DEPLOYMENTS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::policy_bench
{

/// Workload of one request class. The service times are assumptions of the benchmark: section 1.3
/// of the design specifies none.
struct class_workload
{
    /// Fraction of the service's requests that belong to this class.
    double share = 1;
    base::duration mean_work{};
    /// Whether requests of this class run long enough to delay short requests behind them.
    bool is_long = false;
};

/// Configuration, entries and workload of one organisation.
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

/// One-way delay inside a zone; the configuration declares only the longer delays.
constexpr base::duration within_zone = std::chrono::microseconds(100);

/// Varjuvõrk: three regions of two zones, catalog, orders and cutting.
deployment varjuvork();

/// Pamplemousses: three regions of two zones, catalogue, reservations and tresorerie.
deployment pamplemousses();

} // namespace fuchsiaproxy::policy_bench

#endif
