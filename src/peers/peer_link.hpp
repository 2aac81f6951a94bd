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
    /// A close was sent; no further message goes out.
    closing
};

/// One connection with another entry.
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
    /// The other end; known from the start for an outbound link.
    link_identity peer;
    /// Start of the current state.
    base::time_point since{};
    base::time_point last_received{};
    base::time_point last_ping{};
    base::time_point last_message{};
};

using link_ptr = std::shared_ptr<peer_link>;

/// An encoded message.
struct encoded_message
{
    std::size_t type = 0;
    std::string bytes;
};

/// Messages that wait for a link to open.
class waiting_queue
{
public:
    /// Appends `it` within the limits, or returns false.
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

/// Another entry, with at most one link in each direction.
struct peer_entry
{
    std::string address;
    link_ptr outbound;
    link_ptr inbound;
    /// Messages that wait for a link.
    waiting_queue waiting;
    backoff reconnect;
    /// What the owner of the network was told.
    bool reported_up = false;
    base::incarnation reported_incarnation;
};

/// Returns the link that carries messages now, or null.
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
