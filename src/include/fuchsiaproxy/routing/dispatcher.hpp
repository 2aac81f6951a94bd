#ifndef FUCHSIAPROXY_ROUTING_DISPATCHER_HPP
#define FUCHSIAPROXY_ROUTING_DISPATCHER_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/attempt_result.hpp"
#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/units.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "fuchsiaproxy/routing/move_permit.hpp"
#include "fuchsiaproxy/routing/settings.hpp"

namespace fuchsiaproxy::routing
{

/// A request that waits for a slot.
struct queued_request
{
    base::local_request_id id;
    base::service_id service;
    /// Index into `model::service::classes`.
    std::size_t request_class = 0;
    base::time_point arrived;
    base::time_point deadline;
    base::byte_count size;
};

using base::attempt_result;

/// Send the request to this upstream. The second attempt of a request is a hedge or a retry.
struct start_attempt
{
    base::attempt_id attempt;
    base::local_request_id request;
    base::upstream_id upstream;
    model::endpoint at;
    base::time_point deadline;
};

/// Stop this attempt; its slot is released when the attempt is reported as finished.
struct cancel_attempt
{
    base::attempt_id attempt;
};

/// No attempt of the request is running and none will be made.
struct fail_request
{
    base::local_request_id request;
    base::error_kind kind = base::error_kind::overloaded;
};

using messages::send_message;

using dispatch_action = std::variant<start_attempt, cancel_attempt, fail_request, send_message>;
using dispatch_actions = std::vector<dispatch_action>;

/// The entry for which a dispatcher decides.
struct dispatcher_identity
{
    base::instance_id id;
    base::region_id region;
    base::availability_zone_id zone;
};

/// Event counts of a dispatcher since it was created.
struct dispatcher_counters
{
    std::uint64_t enqueued = 0;
    std::uint64_t first_attempts = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused_early = 0;
    std::uint64_t refused_full = 0;
    std::uint64_t expired = 0;
    std::uint64_t hedges = 0;
    std::uint64_t hedges_won = 0;
    std::uint64_t retries = 0;
    std::uint64_t ejections = 0;
    std::uint64_t probes = 0;
    std::uint64_t moves = 0;
    std::uint64_t moves_refused = 0;
    std::uint64_t borrows_sent = 0;
    std::uint64_t loans_received = 0;
    std::uint64_t loans_granted = 0;
    std::uint64_t borrows_refused = 0;
    /// Granted loans that the borrower did not return in time.
    std::uint64_t loans_lapsed = 0;
};

/// One upstream as the dispatcher sees it, for operators.
struct candidate_info
{
    base::upstream_id upstream;
    base::place_id place;
    /// Empty when no live entry owns the upstream.
    base::instance_id owner;
    base::duration network{};
    base::duration transfer{};
    base::duration service{};
    base::duration cost{};
    /// Slots that this entry could use now.
    std::uint32_t free_slots = 0;
    std::uint32_t in_use = 0;
    /// Why it gets no requests now, or "available".
    std::string_view reason;
};

/// Decides which upstream serves each request, and when. It starts attempts only on slots that this
/// entry owns or has borrowed, so that no upstream has more open attempts than slots.
///
/// Each function appends its actions to `actions`. Times must not decrease from call to call. Not
/// thread safe: all functions are called on one thread.
class dispatcher
{
public:
    /// Creates a dispatcher without configuration. `seed` must differ between incarnations of an
    /// entry, so that their loan numbers differ. `permit` must outlive the dispatcher.
    dispatcher(dispatcher_identity self, std::uint64_t seed, move_permit& permit,
               dispatcher_settings const& settings = {});
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;
    dispatcher(dispatcher const&) = delete;
    dispatcher& operator=(dispatcher const&) = delete;

    /// Applies a configuration. Attempts in progress at removed upstreams continue.
    void configure(model::configuration const& configuration, base::time_point now);

    /// Applies a new view of the live entries, this one included, and recomputes the owners.
    void set_entries(std::vector<messages::entry_info> const& entries, base::time_point now);

    /// Starts no further attempts at the upstream. Unknown upstreams are remembered for later
    /// configurations.
    void set_leaving(base::upstream_id const& upstream);

    /// Allows attempts at the upstream again, for example after it restarted.
    void clear_leaving(base::upstream_id const& upstream);

    /// Call this after this process was suspended for so long that other entries may have
    /// removed it from their views. No slot of an owned upstream is handed out before the entry
    /// that may have owned it in the meantime hands it over, or the takeover times out.
    void on_resumed(base::time_point now);

    /// Starts, queues or refuses `request`. Its deadline is limited to the largest deadline of the
    /// service's classes. Precondition: `request.id` was not enqueued before.
    void enqueue(queued_request const& request, base::time_point now, dispatch_actions& actions);

    /// The head of the answer arrived: the other attempt of the request is cancelled, and the
    /// request is not tried again. Unknown attempts are ignored.
    void on_attempt_head(base::attempt_id attempt, base::time_point now, dispatch_actions& actions);

    /// The attempt ended. Its slot is free at once, or at the attempt's deadline when the upstream
    /// may still work on it (`broken`, `timed_out`, `cancelled`). Unknown attempts are ignored.
    void on_attempt_finished(base::attempt_id attempt, attempt_result outcome, base::time_point now,
                             dispatch_actions& actions);

    /// The caller has disconnected: the request leaves the queue; running attempts of idempotent
    /// requests are cancelled. No `fail_request` follows.
    void on_caller_gone(base::local_request_id request, base::time_point now,
                        dispatch_actions& actions);

    void on_message(base::instance_id const& from, messages::loan_request const& message,
                    base::time_point now, dispatch_actions& actions);
    void on_message(base::instance_id const& from, messages::loan_answer const& message,
                    base::time_point now, dispatch_actions& actions);
    void on_message(base::instance_id const& from, messages::loan_return const& message,
                    base::time_point now, dispatch_actions& actions);

    /// Handover of slots between owners. Messages of entries that are not in the view are ignored.
    void on_message(base::instance_id const& from, messages::takeover_request const& message,
                    base::time_point now, dispatch_actions& actions);
    void on_message(base::instance_id const& from, messages::takeover_answer const& message,
                    base::time_point now, dispatch_actions& actions);

    /// Processes the timers that are due: expiry, hedges, probes, the end of loans.
    void tick(base::time_point now, dispatch_actions& actions);

    /// Returns when `tick` has to be called next; the largest `time_point` if never.
    base::time_point next_wakeup(base::time_point now) const;

    /// Returns the upstreams of `service` by ascending cost for a request of class `request_class`,
    /// those that get no requests last. Allocates; meant for operators.
    std::vector<candidate_info> explain(base::service_id const& service, std::size_t request_class,
                                        base::byte_count size, base::time_point now) const;

    /// Returns the number of requests of `service` that wait for a slot.
    std::size_t queued(base::service_id const& service) const;

    /// Returns the ratio of queued and running requests to owned slots, in thousandths.
    std::uint32_t load_permille() const;

    dispatcher_counters const& counters() const noexcept;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace fuchsiaproxy::routing

#endif
