#ifndef FUCHSIAPROXY_PEERS_PEER_LINK_HPP
#define FUCHSIAPROXY_PEERS_PEER_LINK_HPP

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "backoff.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "link_handshake.hpp"
#include "websocket_transport.hpp"

namespace fuchsiaproxy::peers
{

enum class link_state
{
    /// The connection or the handshake is in progress.
    opening,
    up,
    /// A close frame was sent; no more messages are sent.
    closing
};

/// One connection to another entry.
struct peer_link
{
    peer_link(websocket_ptr connection, link_handshake begin, bool opened_here)
        : conn(std::move(connection)), handshake(std::move(begin)), outbound(opened_here)
    {
    }

    websocket_ptr conn;
    link_handshake handshake;
    bool outbound;
    link_state state = link_state::opening;
    /// The other end. On outbound links the instance is set from the start; everything else is set
    /// once authenticated.
    link_identity peer;
    /// Time at which the current state was entered.
    base::time_point state_since{};
    base::time_point last_received{};
    base::time_point last_ping{};
    base::time_point last_message{};
};

using link_ptr = std::shared_ptr<peer_link>;

/// An encoded message and the index of its type.
struct encoded_message
{
    std::size_t type = 0;
    std::string bytes;
};

/// Queue of messages for a link that is not open yet.
class waiting_queue
{
public:
    /// Appends `it`, or returns false if that would exceed a limit.
    bool push(encoded_message it, std::size_t max_messages, std::size_t max_bytes)
    {
        if (messages_.size() >= max_messages || bytes_ + it.bytes.size() > max_bytes)
        {
            return false;
        }
        bytes_ += it.bytes.size();
        messages_.push_back(std::move(it));
        return true;
    }

    /// Removes and returns all messages.
    std::deque<encoded_message> take()
    {
        bytes_ = 0;
        return std::exchange(messages_, {});
    }

    bool empty() const
    {
        return messages_.empty();
    }

private:
    std::deque<encoded_message> messages_;
    std::size_t bytes_ = 0;
};

/// State of another entry, with at most one link in each direction.
struct peer_entry
{
    std::string address;
    link_ptr outbound;
    link_ptr inbound;
    /// Messages queued until a link is up.
    waiting_queue waiting;
    backoff reconnect;
    /// State last reported to the handlers of the network.
    bool reported_up = false;
    base::incarnation reported_incarnation;
};

/// Returns the link to send messages on, or null if none is up.
inline link_ptr usable_link(peer_entry const& peer)
{
    for (auto const& it : {peer.outbound, peer.inbound})
    {
        if (it && it->state == link_state::up)
        {
            return it;
        }
    }
    return nullptr;
}

} // namespace fuchsiaproxy::peers

#endif
