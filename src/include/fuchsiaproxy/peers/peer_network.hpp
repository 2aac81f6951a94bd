#ifndef FUCHSIAPROXY_PEERS_PEER_NETWORK_HPP
#define FUCHSIAPROXY_PEERS_PEER_NETWORK_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/timer_service.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/peers/codec.hpp"

namespace fuchsiaproxy::peers
{

/// Identity, listen address, timeouts and limits of a `peer_network`.
struct peer_settings
{
    base::instance_id self;
    base::incarnation incarnation;
    /// "ip:port"; port 0 selects a free port.
    std::string listen_address = "127.0.0.1:0";
    /// Secret shared by all entries. Links to a peer that does not prove that it has the secret are
    /// refused.
    std::string secret;
    /// Bytes queued on a link before further messages are refused. Two configuration messages
    /// fit, even at the maximum size.
    std::size_t max_queued_bytes = 4'000'000;
    /// Messages queued for a link that is opening before further ones are refused.
    std::size_t max_queued_messages = 1024;
    /// Limit of links opened by other entries; further connections are closed.
    std::size_t max_inbound_links = 4096;
    base::duration ping_period = std::chrono::seconds(1);
    /// A link that received nothing for this time, not even a pong, is closed. The entry that
    /// opened it opens a new one.
    base::duration silence_limit = std::chrono::seconds(3);
    /// Time limit for connecting and authenticating, and for the closing handshake.
    base::duration handshake_timeout = std::chrono::seconds(1);
    /// A link that carried no message for this time is closed by the entry that opened it.
    base::duration idle_limit = std::chrono::seconds(60);
    /// Delay after the first failure to open a link. It doubles with each failure up to
    /// `max_backoff`. The actual delay is drawn at random from the upper half of the range, so that
    /// entries do not reconnect all at once.
    base::duration min_backoff = std::chrono::milliseconds(100);
    base::duration max_backoff = std::chrono::seconds(5);
    std::uint64_t backoff_seed = 1;
};

/// Callbacks of a `peer_network`. They may call the network, but must not destroy it.
struct peer_handlers
{
    std::function<void(messages::envelope)> on_message;
    /// A link to the instance became usable. Called again when the instance has a new incarnation.
    std::function<void(base::instance_id const&, base::incarnation)> on_link_up;
    /// No link to the instance is usable any more.
    std::function<void(base::instance_id const&)> on_link_down;
};

/// Traffic counters of one message type.
struct message_counts
{
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
};

/// Counters of a `peer_network`.
struct peer_counts
{
    /// Indexed by message type; see `type_name` for the names.
    std::array<message_counts, message_type_count> types{};
    /// Messages refused by `send`, by cause.
    std::uint64_t refused_queue_full = 0;
    std::uint64_t refused_unreachable = 0;
    std::uint64_t refused_invalid = 0;
    /// Queued messages that were dropped, for example because their link did not open.
    std::uint64_t dropped = 0;
    /// Received messages with another version or an unknown type. They are ignored.
    std::uint64_t unsupported = 0;
    /// Malformed messages received; each closed its link.
    std::uint64_t broken = 0;
    /// Received messages whose sender is not the authenticated peer; each closed its link.
    std::uint64_t wrong_sender = 0;
    /// Authenticated links, opened by this entry and by others respectively.
    std::uint64_t opened = 0;
    std::uint64_t accepted = 0;
    /// Connections that failed before authentication.
    std::uint64_t failed_to_open = 0;
    std::uint64_t authentication_failures = 0;
    /// Pings and pongs received.
    std::uint64_t control_frames = 0;
    /// Links closed after `silence_limit` and after `idle_limit` respectively.
    std::uint64_t silent = 0;
    std::uint64_t idle = 0;
};

/// WebSocket links between this entry and other entries.
///
/// The first message for an instance opens a link, which then carries messages in both directions.
/// Each end authenticates with an HMAC, keyed with the shared secret, over the nonces and
/// identities of both ends. Links are not encrypted.
///
/// Messages are delivered at most once: a message may be lost when its link closes, and senders
/// repeat those that must arrive. Thread safety: all calls and handlers on the thread that runs
/// `io`.
class peer_network
{
public:
    /// Listens for links. Throws `std::runtime_error` when the address cannot be bound.
    /// Preconditions: `io` and `timers` outlive the network and run on one thread; `settings.self`
    /// and `settings.secret` are not empty.
    peer_network(boost::asio::io_context& io, base::timer_service& timers, peer_settings settings,
                 peer_handlers handlers);
    /// Closes all links without calling a handler.
    ~peer_network();
    peer_network(peer_network const&) = delete;
    peer_network& operator=(peer_network const&) = delete;

    /// Returns the listen address, "ip:port".
    std::string address() const;

    /// Sets the address at which an instance accepts links. Open links are kept.
    void set_address(base::instance_id const& instance, std::string address);

    /// Removes an instance, closes its links and drops its queued messages.
    void remove_instance(base::instance_id const& instance);

    /// Sends a message, or queues it while a link is being opened. Fails immediately with
    /// `queue_full`, with `peer_unreachable` if the address is unknown or no link can be opened
    /// now, or with the error of `encode`. Success does not guarantee delivery.
    base::result<void> send(base::instance_id const& to, messages::message body);

    /// Returns whether a link to `instance` is usable.
    bool is_up(base::instance_id const& instance) const;

    /// Stops listening and closes the links once their queued messages are sent.
    void stop();

    /// Returns the counters.
    peer_counts const& counts() const noexcept;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::peers

#endif
