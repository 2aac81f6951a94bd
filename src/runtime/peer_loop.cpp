#include "fuchsiaproxy/runtime/peer_loop.hpp"

#include <exception>
#include <utility>

namespace fuchsiaproxy::runtime
{
namespace
{

peers::peer_settings peer_settings_of(settings::daemon_settings const& it,
                                      messages::entry_info const& self, std::uint64_t seed)
{
    peers::peer_settings made;
    made.self = self.id;
    made.incarnation = self.incarnation;
    made.listen_address = it.listen.peers.address + ":" + std::to_string(it.listen.peers.port);
    made.secret = it.peer_secret;
    made.silence_limit = it.timing.lost_after;
    made.ping_period = it.timing.heartbeat_period;
    // Enough for a configuration of 1 MB. With a larger limit, the queues of a hub with 62 members
    // could exceed its limit of 128 MB.
    made.max_queued_bytes = 1'200'000;
    made.backoff_seed = seed;
    return made;
}

} // namespace

peer_loop::peer_loop(boost::asio::io_context& io, settings::daemon_settings const& settings,
                     messages::entry_info const& self, std::uint64_t seed,
                     std::function<bool(traffic_event)> to_traffic)
    : io_(io), settings_(peer_settings_of(settings, self, seed)), timers_(io),
      to_traffic_(std::move(to_traffic))
{
}

base::result<void> peer_loop::listen()
{
    peers::peer_handlers handlers;
    // Messages are dropped while the ring is full. The protocols tolerate lost messages.
    handlers.on_message = [this](messages::envelope it)
    { to_traffic_(peer_message{std::move(it)}); };
    handlers.on_link_down = [this](base::instance_id const& id) { report_lost(id); };
    try
    {
        network_ = std::make_unique<peers::peer_network>(io_, timers_, settings_, handlers);
    }
    catch (std::exception const& ex)
    {
        return base::make_error(base::error_kind::invalid_settings,
                                "/listen/peers: " + std::string(ex.what()));
    }
    return boost::outcome_v2::success();
}

void peer_loop::handle(peer_command command)
{
    std::visit([this](auto& it) { handle_one(it); }, command);
}

void peer_loop::handle_one(peer_send& it)
{
    if (!network_->send(it.to, std::move(it.body)))
    {
        report_lost(it.to);
    }
}

void peer_loop::handle_one(peer_address& it)
{
    network_->set_address(it.id, std::move(it.address));
}

void peer_loop::report_lost(base::instance_id const& id)
{
    to_traffic_(peer_unreachable{id});
}

peers::peer_counts const* peer_loop::counts() const
{
    return network_ ? &network_->counts() : nullptr;
}

} // namespace fuchsiaproxy::runtime
