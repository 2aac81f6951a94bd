#ifndef FUCHSIAPROXY_ENGINE_ENGINE_HPP
#define FUCHSIAPROXY_ENGINE_ENGINE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fuchsiaproxy/base/attempt_result.hpp"
#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/units.hpp"
#include "fuchsiaproxy/engine/engine_action.hpp"
#include "fuchsiaproxy/engine/service_levels.hpp"
#include "fuchsiaproxy/engine/share_keeper.hpp"
#include "fuchsiaproxy/fleet/fleet_node.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/model/adoption.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "fuchsiaproxy/requests/claim_protocol.hpp"
#include "fuchsiaproxy/routing/dispatcher.hpp"

namespace fuchsiaproxy::engine
{

/// Settings of the parts that an engine composes.
struct engine_settings
{
    fleet::fleet_settings fleet;
    requests::claim_limits claims;
    routing::dispatcher_settings routing;
    /// Entries in the answer to a look-up.
    std::size_t look_up_entries = 3;
    /// How long an entry is not chosen as witness after the delivery of a message to it failed.
    base::duration witness_suspicion = std::chrono::seconds(3);
};

/// The attributes of a caller's request that the engine uses.
struct arrived_request
{
    base::local_request_id id;
    base::service_id service;
    std::string_view method;
    /// Path with query, starting with a slash.
    std::string_view target;
    std::optional<std::string_view> request_id;
    /// The caller's own deadline, limited to the longest deadline of the service's classes.
    std::optional<base::time_point> deadline;
    base::byte_count size;
};

/// An entry in the answer to a look-up, with the ticket for a request at it.
struct offered_entry
{
    base::instance_id id;
    std::string address;
    std::string ticket;
};

/// The routing decision for a request, as shown to operators.
struct routing_explanation
{
    std::string request_class;
    /// Candidates by ascending cost.
    std::vector<routing::candidate_info> candidates;
};

/// State machine of one entry: each call passes an event and the current time, and appends the
/// resulting actions to `out`. It composes the fleet view, the at-most-once protocol, the caps and
/// the routing, and tracks each request from its arrival to its answer.
///
/// Thread safety: none; owned by one thread. Times must not decrease from call to call.
class engine
{
public:
    /// Creates the engine of the entry `self`; `self.incarnation` is greater than that of every
    /// earlier process of the instance.
    engine(engine_settings const& settings, messages::entry_info const& self, std::uint64_t seed,
           base::time_point now);

    /// Admits or refuses a caller's request. Precondition: its id was not used before.
    void on_request(arrived_request const& it, base::time_point now, engine_actions& out);

    /// Handles the head of an upstream's answer; returns whether to forward the answer to the
    /// caller.
    bool on_attempt_head(base::attempt_id attempt, unsigned status, base::time_point now,
                         engine_actions& out);

    /// Handles the end of an attempt; `leaving` if the upstream reported that it accepts no more
    /// requests.
    void on_attempt_finished(base::attempt_id attempt, base::attempt_result result, unsigned status,
                             bool leaving, base::time_point now, engine_actions& out);

    /// Handles the disconnection of a request's caller.
    void on_caller_gone(base::local_request_id request, base::time_point now, engine_actions& out);

    /// Answers a look-up of a caller in `zone`, which may be unknown. `salt` differs between
    /// callers, to spread them over the entries. Empty before the first configuration.
    std::vector<offered_entry> look_up(base::availability_zone_id const& zone, std::uint64_t salt,
                                       base::time_point now);

    /// Handles a message of another entry. Precondition: the link authenticated the sender.
    void on_message(messages::envelope const& it, base::time_point now, engine_actions& out);

    /// Handles a failed delivery: messages to `peer` were or may have been lost.
    void on_peer_unreachable(base::instance_id const& peer, base::time_point now,
                             engine_actions& out);

    /// Puts a validated configuration into force, with the document that it was parsed from.
    /// Ignores versions that are not higher than the one in force. Returns whether it was adopted.
    bool on_configuration(std::shared_ptr<model::configuration const> const& offered,
                          std::string document, base::time_point now, engine_actions& out);

    /// Updates the entries and the leaving upstreams from the platform's instance list.
    void on_instances(std::vector<fleet::seed_entry> const& entries,
                      std::vector<base::upstream_id> const& leaving, base::time_point now,
                      engine_actions& out);

    /// Handles the share reservations that `load_shares` requested.
    void on_shares_loaded(limits::share_document document, base::time_point now);

    /// Handles the completion of `store_shares`; `committed` only if the store confirmed the write.
    void on_shares_stored(bool committed, engine_actions& out);

    /// Marks this entry as draining: look-ups no longer return it.
    void drain();

    /// Sends this entry's service-level counts to the entries that store them. Call it at the end
    /// of a planned stop, so that the counts remain after this process has ended.
    void send_counts(engine_actions& out) const;

    /// Returns how a request would be routed now. Fails with `not_ready` or `unknown_service`.
    base::result<routing_explanation> explain(base::service_id const& service,
                                              std::string_view method, std::string_view target,
                                              base::time_point now) const;

    /// Performs the work that is due at `now`: heartbeats, timers, counts and store writes.
    void tick(base::time_point now, engine_actions& out);

    /// Returns when `tick` has to be called next.
    base::time_point next_wakeup(base::time_point now) const;

    /// Returns the configuration in force, or null.
    std::shared_ptr<model::configuration const> const& configuration() const noexcept
    {
        return adoption_.current();
    }

    /// Returns the membership view of the fleet.
    fleet::fleet_node const& fleet() const noexcept
    {
        return fleet_;
    }

    /// Returns the component that assigns requests to upstreams.
    routing::dispatcher const& dispatcher() const noexcept
    {
        return dispatcher_;
    }

    /// Returns the at-most-once protocol.
    requests::claim_protocol const& claims() const noexcept
    {
        return claims_;
    }

    /// Returns the component that enforces the caps.
    share_keeper const& shares() const noexcept
    {
        return shares_;
    }

    /// Returns the counts for the burn report.
    service_levels& levels() noexcept
    {
        return levels_;
    }

    /// Returns the number of requests that have not ended.
    std::size_t open_requests() const noexcept
    {
        return requests_.size();
    }

private:
    struct request_state
    {
        base::service_id service;
        std::size_t request_class = 0;
        bool idempotent = false;
        base::time_point arrived;
        base::time_point deadline;
        base::byte_count size;
        std::string id_text;
        bool running = false;
        /// An attempt ended without evidence of whether the upstream ran the request.
        bool unknown = false;
        bool answered = false;
        bool caller_gone = false;
        std::uint32_t open_attempts = 0;
    };

    struct attempt_state
    {
        base::local_request_id request;
        base::upstream_id upstream;
        model::endpoint at;
    };

    struct service_state
    {
        std::shared_ptr<model::configuration const> owner;
        model::service const* declared = nullptr;
    };

    using request_map = std::unordered_map<base::local_request_id, request_state>;

    void detect_pause(base::time_point now);
    void refuse(base::local_request_id id, base::error_kind kind, engine_actions& out);
    void enqueue(base::local_request_id id, request_state const& it, base::time_point now,
                 engine_actions& out);
    void apply(requests::claim_actions& actions, base::time_point now, engine_actions& out);
    void apply(routing::dispatch_actions& actions, base::time_point now, engine_actions& out);
    void apply(fleet::fleet_actions& actions, base::time_point now, engine_actions& out);
    void start_run(base::local_request_id id, base::time_point now, engine_actions& out);
    void send_attempt(routing::start_attempt const& it, base::time_point now, engine_actions& out);
    void fail_request(routing::fail_request const& it, base::time_point now, engine_actions& out);
    void end_run(base::local_request_id id, requests::run_result result, std::uint32_t status,
                 base::time_point now, engine_actions& out);
    void answer(base::local_request_id id, request_state& it, base::error_kind kind,
                std::uint32_t status, base::time_point now, engine_actions& out);
    void count(request_state const& it, bool on_time);
    void erase_if_ended(request_map::iterator it);
    void view_changed(base::time_point now);
    void update_witness(base::time_point now, engine_actions& out);
    void upstream_is_leaving(base::upstream_id const& id, model::endpoint const& at,
                             base::time_point now, engine_actions& out);
    base::region_id region_of(base::availability_zone_id const& zone) const;

    engine_settings settings_;
    model::adoption adoption_;
    std::unordered_map<base::service_id, service_state> services_;
    fleet::fleet_node fleet_;
    requests::claim_protocol claims_;
    share_keeper shares_;
    routing::dispatcher dispatcher_;
    service_levels levels_;
    request_map requests_;
    std::unordered_map<base::attempt_id, attempt_state> attempts_;
    std::set<base::upstream_id> leaving_;
    std::map<base::instance_id, base::time_point> suspected_until_;
    std::optional<requests::entry_incarnation> witness_;
    base::time_point next_counts_;
    base::time_point last_event_;
    bool draining_ = false;
    /// When the dispatcher treats this entry as draining; the largest time once it does.
    std::optional<base::time_point> drain_effective_at_;
};

} // namespace fuchsiaproxy::engine

#endif
