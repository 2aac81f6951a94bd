#ifndef FUCHSIAPROXY_ROUTING_TABLES_HPP
#define FUCHSIAPROXY_ROUTING_TABLES_HPP

#include <array>
#include <cstdint>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/units.hpp"
#include "fuchsiaproxy/limits/extra_attempt_budget.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "index_map.hpp"
#include "latency_estimator.hpp"
#include "outlier_detector.hpp"
#include "request_queue.hpp"
#include "warm_up_limit.hpp"

namespace fuchsiaproxy::routing
{

/// Another entry, or this one. Indices of entries are never reused.
struct entry_row
{
    base::instance_id id;
    std::uint64_t hash = 0;
    std::uint32_t zone = no_index;
    std::uint32_t region = no_index;
    base::duration round_trip{};
    bool live = false;
    bool draining = false;
};

struct zone_row
{
    base::availability_zone_id id;
    std::uint32_t region = no_index;
    base::duration round_trip{};
};

struct place_row
{
    base::place_id id;
    std::uint32_t service = no_index;
    std::uint32_t zone = no_index;
    base::duration round_trip{};
    bool active = false;
    bool drained = false;
};

struct upstream_row
{
    base::upstream_id id;
    model::endpoint at;
    std::uint64_t hash = 0;
    std::uint32_t service = no_index;
    std::uint32_t place = no_index;
    std::uint32_t slots = 0;
    std::uint32_t owner = no_index;
    bool active = false;
    bool leaving = false;
    /// Whether this entry, as the owner, may hand out the slots; false during a takeover.
    bool takeover_done = false;
    /// Number of the latest takeover by this entry.
    std::uint64_t takeover = 0;
    /// Entry from which this one requests the slots, or `no_index`.
    std::uint32_t previous_owner = no_index;
    /// Until then slots that earlier owners may have in use are not handed out.
    base::time_point reserved_until;
    /// Until then this entry, as the last owner, may answer `takeover_request`.
    base::time_point may_hand_over_until;
    /// Entry that the slots were handed over to, with the number of its takeover.
    std::uint32_t new_owner = no_index;
    std::uint64_t new_owner_takeover = 0;
    /// Slots last reported to `new_owner` as in use, and when they count as free.
    std::uint32_t reported_in_use = 0;
    base::time_point lapses_at;
    /// Attempts of this entry, and how many of them are of long classes.
    std::uint32_t in_use = 0;
    std::uint32_t long_in_use = 0;
    /// Slots borrowed from the owner.
    std::uint32_t borrowed = 0;
    warm_up_limit warm_up;
    outlier_detector health;
};

struct class_row
{
    std::uint32_t weight = 1;
    /// Order in the queue; see `dispatcher::state::update_classes`.
    std::uint32_t rank = 0;
    bool idempotent = false;
    bool is_long = false;
    base::duration deadline{};
    latency_estimator latency;
};

struct shift_row
{
    std::uint32_t from = no_index;
    std::uint32_t to = no_index;
    std::uint32_t percent = 0;
    /// Grows by `percent` with each request; at 100 or more a request is moved and 100 is
    /// subtracted.
    std::uint32_t credit = 0;
};

/// An entry that may lend slots of a service.
struct lender_row
{
    std::uint32_t entry = no_index;
    base::duration round_trip{};
    bool same_region = false;
    /// Place whose slots it lends, for requests that were shifted there.
    std::uint32_t place = no_index;
    /// Loan requests that the lender has not answered yet.
    std::uint32_t open = 0;
    base::time_point paused_until;
};

/// Another entry's request for a slot that could not be fulfilled yet.
struct pending_borrow
{
    std::uint32_t borrower = no_index;
    std::uint64_t number = 0;
    base::time_point received;
    /// Priority and latest start of the waiting request.
    std::uint32_t priority = 0;
    base::time_point start_by;
};

struct service_row
{
    service_row(base::service_id name, std::size_t queue_capacity, std::uint32_t retry_permille,
                std::uint32_t hedge_permille, std::uint32_t burst)
        : id(std::move(name)), queue(queue_capacity), retries(retry_permille, burst),
          hedges(hedge_permille, burst, 0)
    {
    }

    base::service_id id;
    bool active = false;
    std::vector<class_row> classes;
    std::vector<std::uint32_t> places;
    std::vector<std::uint32_t> upstreams;
    /// Upstreams of which this entry owns or holds slots.
    std::vector<std::uint32_t> usable_upstreams;
    std::vector<shift_row> shifts;
    std::vector<lender_row> lenders;
    std::vector<pending_borrow> pending_borrows;
    std::uint32_t home_place = no_index;
    /// Round trip to the nearest place that has owners and is not drained.
    base::duration nearest_round_trip{};
    base::duration largest_deadline{};
    request_queue queue;
    /// Attempts that are due for a hedge and wait for a slot.
    std::vector<std::uint64_t> waiting_hedges;
    bool recheck_armed = false;
    /// Starts full: an entry that has just started or has little traffic must be able to retry.
    limits::extra_attempt_budget retries;
    limits::extra_attempt_budget hedges;
    std::uint32_t in_flight = 0;
    std::uint32_t long_in_flight = 0;
    std::uint32_t open_borrows = 0;
    std::uint32_t ejected = 0;
    std::uint32_t owned_slots = 0;
    /// Slots in this entry's region divided by the number of entries there that do not drain.
    std::uint32_t fair_slots = 0;
};

struct attempt_row
{
    std::uint64_t id = 0;
    std::uint32_t request = no_index;
    std::uint32_t upstream = no_index;
    std::uint32_t service = no_index;
    std::uint32_t request_class = 0;
    /// Index of the loan whose slot it uses; `no_index` for an owned slot.
    std::uint32_t loan = no_index;
    base::time_point started;
    base::time_point deadline;
    bool is_hedge = false;
    bool is_probe = false;
    bool is_long = false;
    bool cancelling = false;
};

struct request_row
{
    base::local_request_id id;
    std::uint32_t service = no_index;
    std::uint32_t request_class = 0;
    base::time_point arrived;
    base::time_point deadline;
    base::byte_count size;
    /// Place that a shift chose, or `no_index`.
    std::uint32_t target = no_index;
    /// Until then the request waits for a slot of its target.
    base::time_point target_until;
    /// Upstream of the previous attempt, which a further attempt avoids.
    std::uint32_t avoid = no_index;
    /// Until then the request waits for a slot of another upstream than `avoid`.
    base::time_point avoid_until;
    std::uint32_t attempts_made = 0;
    std::array<std::uint32_t, 2> running{no_index, no_index};
    std::uint64_t serial = 0;
    bool queued = false;
    bool answered = false;
    bool caller_gone = false;
    bool may_have_run = false;
    bool hedged = false;
    /// A loan was requested for this request.
    bool loan_requested = false;
};

} // namespace fuchsiaproxy::routing

#endif
