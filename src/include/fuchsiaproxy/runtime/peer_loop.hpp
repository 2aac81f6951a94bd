#ifndef FUCHSIAPROXY_RUNTIME_PEER_LOOP_HPP
#define FUCHSIAPROXY_RUNTIME_PEER_LOOP_HPP

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/peers/peer_network.hpp"
#include "fuchsiaproxy/runtime/asio_timer_service.hpp"
#include "fuchsiaproxy/runtime/events.hpp"
#include "fuchsiaproxy/settings/daemon_settings.hpp"

namespace fuchsiaproxy::runtime
{

/// Runs the links to other entries.
///
/// Thread safety: none; everything on the peers thread, except the construction and `listen`.
class peer_loop
{
public:
    /// `to_traffic` returns false when its ring is full. `io` must outlive the loop.
    peer_loop(boost::asio::io_context& io, settings::daemon_settings const& settings,
              messages::entry_info const& self, std::uint64_t seed,
              std::function<bool(traffic_event)> to_traffic);

    /// Starts listening. Fails with `invalid_settings` if the address cannot be bound.
    /// Precondition: called once, before the thread runs.
    base::result<void> listen();

    /// Handles a command of the traffic thread.
    void handle(peer_command command);

    /// Returns the counts, or null before `listen`.
    peers::peer_counts const* counts() const;

private:
    void handle_one(peer_send& it);
    void handle_one(peer_address& it);
    void report_lost(base::instance_id const& id);

    boost::asio::io_context& io_;
    peers::peer_settings settings_;
    asio_timer_service timers_;
    std::function<bool(traffic_event)> to_traffic_;
    std::unique_ptr<peers::peer_network> network_;
};

} // namespace fuchsiaproxy::runtime

#endif
