#ifndef FUCHSIAPROXY_STEERING_SELECTOR_HPP
#define FUCHSIAPROXY_STEERING_SELECTOR_HPP

#include <cstdint>
#include <random>
#include <vector>

#include "entry_view.hpp"
#include "object_order.hpp"
#include "trip_times.hpp"
#include "upstream_state.hpp"
#include "work_times.hpp"

namespace fuchsiaproxy::steering
{

/// What the choice of an upstream depends on.
struct selection_query
{
    route const* of = nullptr;
    service const* declared = nullptr;
    route_work const* work = nullptr;
    /// Hash of the object that the request concerns; zero if none.
    std::uint64_t object = 0;
    /// Upstreams that had the request already.
    std::vector<upstream_ptr> const* tried = nullptr;
};

/// A chosen upstream; null if none may get the request now.
struct selection
{
    upstream_ptr upstream;
    /// Its rank in the order of the request's object; `told_ranks` if it is far behind.
    std::size_t rank = told_ranks;
    /// Expected time to the answer, in seconds.
    double expected = 0;
    /// Expected wait for a slot, in seconds.
    double wait = 0;
    /// Expected time with the price of the slot's time, by which upstreams are compared.
    double cost = 0;
    /// Load per slot of the service.
    double service_load = 0;
};

/// Chooses the upstream with the smallest expected time to the answer: round trip, wait for a slot
/// and work. Requests for one object prefer the same few upstreams from all entries, which keep it
/// warm.
///
/// Thread safety: none.
class selector
{
public:
    /// All arguments must outlive the selector.
    selector(director_settings const& settings, entry_view const& entries, trip_times const& trips,
             std::uint64_t seed);

    /// Chooses among the upstreams of one service.
    selection pick(std::vector<upstream_ptr> const& from, selection_query const& query,
                   base::time_point now);

    /// Notes that a request is sent to a cold upstream, which gets the next one later.
    void note_cold_send(upstream_state& it, service const& declared, base::time_point now) const;

private:
    bool may_take(upstream_state const& it, selection_query const& query,
                  base::time_point now) const;
    bool may_send_cold(upstream_state const& it, service const& declared,
                       base::time_point now) const;
    region_shares shares(std::vector<upstream_ptr> const& from) const;
    /// Returns the load per slot over the upstreams that take work.
    double load_of(std::vector<upstream_ptr> const& from, base::time_point now) const;
    selection appraise(upstream_ptr const& it, selection_query const& query, std::size_t rank,
                       double slot_price, base::time_point now);

    director_settings const& settings_;
    entry_view const& entries_;
    trip_times const& trips_;
    std::mt19937_64 random_;
    object_order order_;
};

} // namespace fuchsiaproxy::steering

#endif
