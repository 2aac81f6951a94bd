#ifndef FUCHSIAPROXY_STEERING_SELECTOR_HPP
#define FUCHSIAPROXY_STEERING_SELECTOR_HPP

#include <cstdint>
#include <limits>
#include <random>
#include <unordered_map>
#include <vector>

#include "cost_model.hpp"
#include "entry_view.hpp"
#include "object_order.hpp"
#include "round_trip_times.hpp"
#include "upstream_state.hpp"
#include "work_times.hpp"

namespace fuchsiaproxy::steering
{

/// Properties of a request that its upstream is selected by.
struct selection_query
{
    route const* matched_route = nullptr;
    service const* declared = nullptr;
    base::service_id const* service_id = nullptr;
    /// `upstream_table::generation` of the candidates.
    std::uint64_t upstream_generation = 0;
    /// Whether the order of an object's upstreams follows zones rather than regions. It then takes
    /// a copy of the object in each zone, which only large answers are worth.
    bool by_zone = false;
    /// Number of first ranks that keep an object warm; upstreams of later ranks are expected to
    /// serve it cold, whatever was measured for them. 0 if the measured times decide.
    std::size_t home_ranks = 0;
    route_work const* work = nullptr;
    /// Learned costs of the request, and the model that they are from; null if demand is even.
    request_costs const* costs = nullptr;
    cost_model const* model = nullptr;
    /// Hash of the object that the request concerns; zero if none.
    std::uint64_t object = 0;
    /// Upstreams to which the request was sent already.
    std::vector<upstream_ptr> const* tried = nullptr;
    /// Regions in which the tenant's requests may run, in addition to the route's restriction; null
    /// if all.
    std::vector<base::region_id> const* tenant_regions = nullptr;
};

/// The selected upstream; null if no upstream may get the request now.
struct selection
{
    upstream_ptr upstream;
    /// Its rank for the request's object; `distinct_ranks` if it is not among the first ones.
    std::size_t rank = distinct_ranks;
    /// Expected time to the answer, in seconds.
    double expected = 0;
    /// Expected wait for a slot, in seconds.
    double wait = 0;
    /// Expected work, if the query has learned costs.
    work_estimate work;
    /// Lowest expected time among the other upstreams that may get the request, in seconds;
    /// infinite if there is none.
    double fastest_other = std::numeric_limits<double>::infinity();
    /// Value that upstreams are compared by, in seconds: the expected time plus the price of the
    /// slot time and the costs of load and failures.
    double cost = 0;
    /// Load per slot over the upstreams of the service.
    double service_load = 0;
    /// Earliest end of a pause of the upstreams; the largest time if none is paused. Complete only
    /// if no upstream was selected.
    base::time_point first_pause_end = base::time_point::max();
};

/// Returns the work by which an upstream of `rank` is compared with others, in seconds. Behind the
/// home ranks it is between the measured work and that of a cold object, and rises with the rank:
/// by the measured one alone, an upstream that has served an object once draws more requests for
/// it, until each upstream serves more objects than it keeps warm. Thread safe.
double compared_work(std::size_t rank, std::size_t home_ranks, double measured, double cold,
                     double cold_weight);

/// Selects the upstream with the lowest cost, based on the expected time to the answer: round trip,
/// wait for a slot and work. Requests for one object prefer the same few upstreams on all entries,
/// which keeps the object warm there.
///
/// Thread safety: none.
class selector
{
public:
    /// All arguments must outlive the selector.
    selector(director_settings const& settings, entry_view const& entries,
             round_trip_times const& round_trips, std::uint64_t seed);

    /// Selects one of the upstreams of a service.
    selection pick(std::vector<upstream_ptr> const& candidates, selection_query const& query,
                   base::time_point now);

    /// Records that a request is sent to a cold upstream, and sets the time of the next one.
    void record_cold_send(upstream_state& it, service const& declared, base::time_point now) const;

private:
    bool is_eligible(upstream_state const& it, selection_query const& query,
                     base::time_point now) const;
    bool cold_send_allowed(upstream_state const& it, service const& declared,
                           base::time_point now) const;
    region_shares shares(std::vector<upstream_ptr> const& candidates) const;
    zone_shares shares_by_zone(std::vector<upstream_ptr> const& candidates) const;
    /// Returns the weights of the candidates in the order of objects. They change only with the
    /// upstreams and the entries.
    std::vector<double> const& weights(std::vector<upstream_ptr> const& candidates,
                                       selection_query const& query);
    /// Returns the load per slot over the upstreams that accept requests.
    double load_per_slot(std::vector<upstream_ptr> const& candidates, base::time_point now) const;
    /// Returns the estimates for one candidate; `upstream` of the result is not set.
    selection estimate(upstream_state const& it, selection_query const& query, std::size_t rank,
                       double slot_price, base::time_point now);

    selection estimate_by_work(upstream_state const& it, selection_query const& query,
                               std::size_t rank, double slot_price, base::time_point now);

    struct cached_weights
    {
        std::uint64_t upstream_generation = 0;
        std::uint64_t entry_generation = 0;
        std::vector<double> weights;
    };

    director_settings const& settings_;
    entry_view const& entries_;
    round_trip_times const& round_trips_;
    std::mt19937_64 random_;
    object_order order_;
    /// By service, for the orders that follow regions and zones. A service may have requests of
    /// both.
    std::unordered_map<base::service_id, cached_weights> region_weights_;
    std::unordered_map<base::service_id, cached_weights> zone_weights_;
    /// Round-trip times in seconds by zone index, for the selection in progress.
    std::vector<double> round_trip_s_;
    /// Weight of a cold object's work behind the home ranks, for the selection in progress.
    double cold_weight_ = 0;
};

} // namespace fuchsiaproxy::steering

#endif
