#ifndef FUCHSIAPROXY_GATEWAY_GATEWAY_HPP
#define FUCHSIAPROXY_GATEWAY_GATEWAY_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/suspension_clock.hpp"
#include "fuchsiaproxy/base/timer_service.hpp"
#include "fuchsiaproxy/callers/server.hpp"
#include "fuchsiaproxy/gateway/latency_buckets.hpp"
#include "fuchsiaproxy/http/buffer_pool.hpp"
#include "fuchsiaproxy/relay/relay.hpp"
#include "fuchsiaproxy/steering/director.hpp"
#include "fuchsiaproxy/upstreams/client.hpp"

namespace fuchsiaproxy::gateway
{

/// Names of the header fields exchanged with callers and upstreams.
struct field_names
{
    /// Milliseconds until the deadline of a request.
    std::string deadline = "Deadline-Ms";
    /// Cookie that identifies the object a request concerns.
    std::string affinity_cookie = "Affinity-Key";
    /// Id of the upstream that a request is meant for, so that a different upstream that has taken
    /// over its address refuses the request.
    std::string expected_upstream = "Expected-Upstream";
    /// Status with which an upstream refuses a request meant for another upstream.
    unsigned wrong_upstream_status = 421;
    /// Id of a request; used for logs only.
    std::string request_id = "Request-Id";
    /// Credentials of a caller, and the tenant's name as stated to upstreams. With tenants, the
    /// caller's fields of both names are not forwarded.
    std::string credentials = "Authorization";
    std::string tenant = "Tenant-Name";
};

/// Settings of a `gateway`.
struct gateway_settings
{
    callers::server_settings server;
    upstreams::client_settings client;
    steering::director_settings director;
    field_names fields;
    std::size_t buffers = 4096;
    /// Bytes of an answer that are buffered until it is complete.
    std::size_t max_buffered_bytes = 64UL * 1024;
    /// Times after the stop signal at which connections are closed, and at which the process ends
    /// even if requests are still open.
    base::duration close_after = std::chrono::milliseconds(4500);
    base::duration end_after = std::chrono::milliseconds(5600);
};

/// Name and value of one field of a log line.
using log_field = std::pair<std::string, std::string>;
/// Logs a decision or a state change.
using log_function = std::function<void(std::string event, std::vector<log_field> fields)>;

/// Accepts requests of callers and relays them to the upstreams that a `steering::director`
/// chooses.
///
/// Thread safety: none; used on the thread that runs the io_context.
class gateway final : public relay::relay_events
{
public:
    /// `io`, `timers` and `suspension` must outlive the gateway.
    gateway(boost::asio::io_context& io, base::timer_service& timers,
            base::suspension_clock const& suspension, gateway_settings settings,
            steering::director_identity self, std::uint64_t seed, log_function log);
    ~gateway() override;

    gateway(gateway const&) = delete;
    gateway& operator=(gateway const&) = delete;

    /// Starts to listen for callers and returns the port. Precondition: called once.
    base::result<std::uint16_t> listen();

    /// Applies an event of the control plane.
    void handle(steering::control_event const& it);

    /// Stops gracefully and calls `done` with the number of requests that are still open. Until the
    /// connections are closed, requests are accepted if their deadlines leave time for their
    /// answers. Precondition: called once.
    void drain(std::function<void(std::size_t left)> done);

    /// Replaces the bounds set by operators.
    void set_bounds(steering::operator_bounds const& bounds);

    /// Records the load on the upstreams that another entry has reported.
    void on_peer_load(steering::peer_load const& it);

    /// Sets the callback for when another entry reports a newer control-plane position.
    void set_newer_position_callback(std::function<void(steering::control_position)> call);

    /// Returns the load that this entry puts on the upstreams.
    steering::peer_load load();

    /// Returns whether this entry should receive new callers.
    bool ready() const;

    /// Returns the addresses of the entries for a caller in `zone`.
    std::vector<std::string> look_up(base::availability_zone_id const& zone) const;

    /// Returns the age of the latest proof that this entry follows the store, with the time during
    /// which the machine was suspended; nothing if there is no proof.
    std::optional<base::duration> proof_age() const;

    /// Returns the histogram of attempt durations.
    latency_buckets const& attempt_times() const;

    steering::director const& decisions() const;
    callers::server_counters const& server_counts() const;
    /// Returns the number of bytes reserved for answers that are buffered.
    std::size_t reserved_answer_bytes() const;
    upstreams::client_counters const& client_counts() const;

    bool may_run_beside_others(callers::request_head const& head) const override;
    void request_arrived(callers::request_head const& head) override;
    void upstream_notified(base::attempt_id attempt,
                           upstreams::upstream_notice const& notice) override;
    bool attempt_head(base::attempt_id attempt, unsigned status) override;
    void attempt_finished(base::attempt_id attempt,
                          upstreams::attempt_report const& report) override;
    void body_failed(callers::request_head const& head, base::error_kind kind,
                     base::error_reply const& reply) override;
    void caller_gone(base::local_request_id request) override;

private:
    void perform(steering::director_actions& actions);
    void perform_one(steering::start_attempt& it);
    void perform_one(steering::cancel_attempt& it);
    void perform_one(steering::answer_error& it);
    void perform_one(steering::upstream_retired& it);
    void perform_one(steering::upstream_excluded& it);
    void perform_one(steering::limits_changed& it);
    void perform_one(steering::newer_position_seen& it);
    void perform_one(steering::attempt_summary& it);
    void schedule_tick();
    /// Returns the current time, after restating the proof of following the store as of this time.
    base::time_point decision_time();
    void finish_drain(std::size_t left);

    base::timer_service& timers_;
    base::suspension_clock const& suspension_;
    /// Time of the latest proof of following the store.
    std::optional<base::suspension_time_point> followed_as_of_;
    gateway_settings settings_;
    http::buffer_pool buffers_;
    steering::director director_;
    upstreams::client client_;
    relay::relay relay_;
    callers::server server_;
    log_function log_;
    std::function<void(steering::control_position)> newer_position_callback_;
    std::unique_ptr<base::timer_subscription> wakeup_;
    base::time_point wakeup_at_ = base::time_point::max();
    std::vector<std::unique_ptr<base::timer_subscription>> drain_steps_;
    std::function<void(std::size_t)> drained_;
    latency_buckets attempt_times_;
    std::uint64_t successes_ = 0;
    bool draining_ = false;
};

} // namespace fuchsiaproxy::gateway

#endif
