#ifndef FUCHSIAPROXY_PEERS_LINK_HANDSHAKE_HPP
#define FUCHSIAPROXY_PEERS_LINK_HANDSHAKE_HPP

#include <optional>
#include <string>

#include "link_authentication.hpp"

namespace fuchsiaproxy::peers
{

/// What follows from a text of the handshake.
struct handshake_step
{
    /// Text to send, if not empty.
    std::string reply;
    /// The other end, once it has proved who it is.
    std::optional<link_identity> peer;
};

/// Handshake of one end of a link. The accepting end sends a challenge, the opening end answers
/// with its proof, and the accepting end ends with its own.
class link_handshake
{
public:
    /// Starts the opening end, which means to reach `to`.
    static link_handshake opener(link_identity self, std::string secret, base::instance_id to);

    /// Starts the accepting end.
    static link_handshake accepter(link_identity self, std::string secret);

    /// Returns the challenge. Precondition: this is the accepting end.
    std::string challenge() const;

    /// Takes the next text of the other end. Fails with `unauthenticated`; the link must then be
    /// closed. Precondition: no earlier step failed or named the peer.
    base::result<handshake_step> receive(std::string const& text);

private:
    link_handshake(link_identity self, std::string secret, bool opens);

    base::result<handshake_step> receive_challenge(std::string const& text);
    base::result<handshake_step> receive_hello(std::string const& text);
    base::result<handshake_step> receive_welcome(std::string const& text) const;

    link_identity self_;
    std::string secret_;
    link_transcript transcript_;
    bool opens_;
};

} // namespace fuchsiaproxy::peers

#endif
