#ifndef FUCHSIAPROXY_GATEWAY_ENTRY_PROCESS_HPP
#define FUCHSIAPROXY_GATEWAY_ENTRY_PROCESS_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/suspension_clock.hpp"
#include "fuchsiaproxy/base/timer_service.hpp"
#include "fuchsiaproxy/gateway/gateway.hpp"
#include "fuchsiaproxy/gateway/page_server.hpp"
#include "fuchsiaproxy/steering/records.hpp"

namespace fuchsiaproxy::gateway
{

/// Source of configurations, discovery and membership.
///
/// Thread safety: all functions on the control thread.
class control_plane
{
public:
    virtual ~control_plane() = default;

    /// Starts to follow the control plane and to publish this entry. Precondition: called once.
    virtual void start() = 0;

    /// Called when another entry reports a newer control-plane position than this entry has.
    virtual void on_newer_position(steering::control_position by) = 0;

    /// Replaces the bounds set by operators.
    virtual void set_bounds(steering::operator_bounds const& bounds) = 0;

    /// Stops publishing this entry, so that callers are no longer directed to it.
    virtual void withdraw() = 0;
};

/// Dependencies that are passed to a control plane.
struct control_context
{
    boost::asio::io_context& io;
    base::timer_service& timers;
    base::suspension_clock const& suspension;
    /// Queues an event for the traffic thread; returns false if its queue is full and the event is
    /// lost. Call it on the control thread only.
    std::function<bool(steering::control_event)> emit;
    log_function log;
    std::uint64_t seed = 0;
};

/// Returns a page built from the gateway's state.
using gateway_page_function = std::function<page(gateway const&, std::string_view target)>;

/// Settings of an entry's process.
struct entry_settings
{
    gateway_settings traffic;
    steering::director_identity self;
    std::optional<model::endpoint> look_ups;
    std::optional<model::endpoint> readiness;
    std::optional<model::endpoint> metrics;
    /// Address on which load messages of other entries are received as datagrams.
    model::endpoint peers;
    gateway_page_function look_up_page;
    gateway_page_function readiness_page;
    std::function<std::unique_ptr<control_plane>(control_context)> make_control;
    /// Reads the settings that can change without a restart.
    std::function<base::result<steering::operator_bounds>()> reload_bounds;
    /// Interval at which the settings are reloaded without a signal.
    base::duration reload_period = std::chrono::seconds(5);
    std::string log_level = "info";
};

/// Runs an entry until SIGTERM or SIGINT; SIGHUP reloads its settings. Traffic and control plane
/// run on a thread each, connected by a bounded queue. Fails with `invalid_settings` if an address
/// cannot be listened on.
base::result<void> run_entry(entry_settings const& settings);

} // namespace fuchsiaproxy::gateway

#endif
