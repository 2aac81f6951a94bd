#ifndef FUCHSIAPROXY_RUNTIME_TRAFFIC_LOOP_HPP
#define FUCHSIAPROXY_RUNTIME_TRAFFIC_LOOP_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/callers/server.hpp"
#include "fuchsiaproxy/engine/engine.hpp"
#include "fuchsiaproxy/http/buffer_pool.hpp"
#include "fuchsiaproxy/relay/relay.hpp"
#include "fuchsiaproxy/runtime/asio_timer_service.hpp"
#include "fuchsiaproxy/runtime/events.hpp"
#include "fuchsiaproxy/settings/daemon_settings.hpp"
#include "fuchsiaproxy/upstreams/client.hpp"

namespace fuchsiaproxy::runtime
{

/// Functions that the traffic thread calls to reach the rest of the daemon. Those that push to a
/// ring return false if it is full.
struct traffic_outputs
{
    std::function<bool(peer_command)> to_peers;
    std::function<bool(platform_command)> to_platform;
    /// Called with each configuration that comes into force.
    std::function<void(std::shared_ptr<model::configuration const>)> adopted;
    /// Called on changes of state, for the log.
    std::function<void(std::string event, std::string detail)> state_changed;
};

/// Look-ups, and items that were dropped because the ring of another thread was full.
struct traffic_counters
{
    std::uint64_t look_ups = 0;
    std::uint64_t peer_ring_full = 0;
    std::uint64_t platform_ring_full = 0;
};

/// Data path of an entry: connects the sockets of callers and upstreams to the engine.
///
/// Thread safety: none; everything on the traffic thread, except the construction.
class traffic_loop final : public relay::relay_events
{
public:
    /// `io` is run by the traffic thread only, and must outlive the loop.
    traffic_loop(boost::asio::io_context& io, settings::daemon_settings const& settings,
                 messages::entry_info const& self, std::uint64_t seed, traffic_outputs outputs);
    ~traffic_loop() override;

    traffic_loop(traffic_loop const&) = delete;
    traffic_loop& operator=(traffic_loop const&) = delete;

    /// Starts listening for callers and returns the port. Precondition: called once, before `run`.
    base::result<std::uint16_t> listen();

    /// Starts the engine's timer. Precondition: called once, on the traffic thread.
    void run();

    /// Handles an event from another thread.
    void handle(traffic_event event);

    /// Stops gracefully: removes this entry from look-ups, waits until earlier look-ups have
    /// expired, closes the listener, waits for the requests in flight, at most for the drain bound
    /// in the settings, and calls `done` with the number of requests that are left.
    void drain(std::function<void(std::size_t left)> done);

    /// Returns the engine, for the export of its metrics.
    engine::engine& get_engine()
    {
        return engine_;
    }

    /// Returns the counters of the server for callers.
    callers::server_counters const& server_counts() const
    {
        return server_.counters();
    }

    /// Returns the counters of the client for upstreams.
    upstreams::client_counters const& client_counts() const
    {
        return client_.counters();
    }

    /// Returns the counters of this loop.
    traffic_counters const& counts() const
    {
        return counters_;
    }

    void request_arrived(callers::request_head const& head) override;
    bool attempt_head(base::attempt_id attempt, unsigned status) override;
    void attempt_finished(base::attempt_id attempt,
                          upstreams::attempt_report const& report) override;
    void caller_gone(base::local_request_id request) override;

private:
    void handle_one(peer_message& it, engine::engine_actions& out);
    void handle_one(peer_unreachable& it, engine::engine_actions& out);
    void handle_one(metadata::accepted_configuration& it, engine::engine_actions& out);
    void handle_one(instances_read& it, engine::engine_actions& out);
    void handle_one(shares_loaded& it, engine::engine_actions& out);
    void handle_one(shares_stored& it, engine::engine_actions& out);
    void handle_one(engine_query& it, engine::engine_actions& out);

    void perform(engine::engine_actions& actions);
    void perform_one(engine::start_attempt& it);
    void perform_one(engine::cancel_attempt& it);
    void perform_one(engine::answer_error& it);
    void perform_one(engine::send_message& it);
    void perform_one(engine::use_address& it);
    void perform_one(engine::hub_role_changed& it);
    void perform_one(engine::parse_configuration& it);
    void perform_one(engine::upstream_retired& it);
    void perform_one(engine::load_shares& it);
    void perform_one(engine::store_shares& it);

    void answer_look_up(callers::request_head const& head);
    void schedule_tick();
    void tick();
    void stop_accepting();
    void finish_drain(std::size_t left);

    settings::daemon_settings settings_;
    asio_timer_service timers_;
    http::buffer_pool buffers_;
    engine::engine engine_;
    upstreams::client client_;
    relay::relay relay_;
    callers::server server_;
    traffic_outputs outputs_;
    traffic_counters counters_;
    std::unordered_set<base::instance_id> peers_with_dropped_messages_;
    std::unique_ptr<base::timer_subscription> wakeup_;
    base::time_point wakeup_at_ = base::time_point::max();
    std::unique_ptr<base::timer_subscription> drain_step_timer_;
    std::unique_ptr<base::timer_subscription> drain_bound_timer_;
    std::function<void(std::size_t)> drained_;
    std::uint64_t look_up_salt_ = 0;
};

} // namespace fuchsiaproxy::runtime

#endif
