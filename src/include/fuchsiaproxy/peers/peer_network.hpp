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

/// Identity, address and limits of an entry's links.
struct peer_settings
{
    base::instance_id self;
    base::incarnation incarnation;
    /// "ip:port"; port 0 takes a free port.
    std::string listen_address = "127.0.0.1:0";
    /// Secret that all entries share. Links without it are refused.
    std::string secret;
    /// Bytes that wait on a link; further messages are refused. Two configurations fit.
    std::size_t max_queued_bytes = 4'000'000;
    /// Messages that wait for a link to open; further ones are refused.
    std::size_t max_queued_messages = 1024;
    /// Links that other entries opened.
    std::size_t max_inbound_links = 4096;
    base::duration ping_period = std::chrono::seconds(1);
    /// A link on which nothing arrived for this time, not even an answer to a ping, is replaced.
    base::duration silence_limit = std::chrono::seconds(3);
    /// Time from the start of a connection to its authentication.
    base::duration handshake_timeout = std::chrono::seconds(1);
    /// A link without messages for this time is closed by the entry that opened it.
    base::duration idle_limit = std::chrono::seconds(60);
    /// Wait after the first failure to open a link. It doubles up to `max_backoff`; the wait is
    /// drawn from its upper half, so that entries do not reconnect together.
    base::duration min_backoff = std::chrono::milliseconds(100);
    base::duration max_backoff = std::chrono::seconds(5);
    std::uint64_t backoff_seed = 1;
};

/// What the network tells its owner. Handlers may call the network, but must not destroy it.
struct peer_handlers
{
    std::function<void(messages::envelope)> on_message;
    /// A link to the instance is usable. Called again when the instance has a new incarnation.
    std::function<void(base::instance_id const&, base::incarnation)> on_link_up;
    /// No link to the instance is usable.
    std::function<void(base::instance_id const&)> on_link_down;
};

/// Messages of one type.
struct message_counts
{
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
};

/// Counts of a network.
struct peer_counts
{
    /// By index of the type; the names are those of `type_name`.
    std::array<message_counts, message_type_count> types{};
    /// Messages refused by `send`, by cause.
    std::uint64_t refused_queue_full = 0;
    std::uint64_t refused_unreachable = 0;
    std::uint64_t refused_invalid = 0;
    /// Messages that waited for a link which did not open.
    std::uint64_t dropped = 0;
    /// Messages received of another version or an unknown type.
    std::uint64_t unsupported = 0;
    /// Messages received that were broken; each closed its link.
    std::uint64_t broken = 0;
    /// Messages received under another sender's name; each closed its link.
    std::uint64_t wrong_sender = 0;
    /// Links opened by this entry and by others, after authentication.
    std::uint64_t opened = 0;
    std::uint64_t accepted = 0;
    /// Connections that failed before authentication.
    std::uint64_t failed_to_open = 0;
    std::uint64_t authentication_failures = 0;
    /// Pings and answers to pings received.
    std::uint64_t control_frames = 0;
    /// Links closed for silence and for lack of use.
    std::uint64_t silent = 0;
    std::uint64_t idle = 0;
};

/// Links of an entry to other entries.
///
/// A link is opened by the first message for an instance and carries messages in both directions.
/// Both ends prove that they know the secret, and who they are, by an HMAC over both ends' nonces.
/// The links are not encrypted.
///
/// Messages are delivered at most once and may be lost with their link; the senders repeat what
/// matters. Thread safety: all calls and handlers on the thread that runs `io`.
class peer_network
{
public:
    /// Listens for links. Throws `std::runtime_error` when the address cannot be bound.
    /// Preconditions: `io` and `timers` outlive the network and run on one thread; `settings.self`
    /// and `settings.secret` are not empty.
    peer_network(boost::asio::io_context& io, base::timer_service& timers, peer_settings settings,
                 peer_handlers handlers);
    /// Drops all links without a handler call.
    ~peer_network();
    peer_network(peer_network const&) = delete;
    peer_network& operator=(peer_network const&) = delete;

    /// Returns the address that the network listens at, "ip:port".
    std::string address() const;

    /// Sets the address of an instance's network. Open links stay.
    void set_address(base::instance_id const& instance, std::string address);

    /// Forgets an instance and closes its links.
    void forget(base::instance_id const& instance);

    /// Sends a message, and opens a link first if there is none. Fails at once with `queue_full`,
    /// with `peer_unreachable` when the address is unknown or a link cannot be opened now, or with
    /// the error of `encode`. Success does not mean that the message arrives.
    base::result<void> send(base::instance_id const& to, messages::message body);

    /// Returns whether a link to `instance` is usable.
    bool is_up(base::instance_id const& instance) const;

    /// Stops listening and closes the links after the messages that wait on them.
    void stop();

    /// Returns the counts so far.
    peer_counts const& counts() const noexcept;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::peers

#endif
