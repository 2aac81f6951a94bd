#ifndef FUCHSIAPROXY_PEERS_LINK_HANDSHAKE_HPP
#define FUCHSIAPROXY_PEERS_LINK_HANDSHAKE_HPP

#include <optional>
#include <string>

#include "link_authentication.hpp"

namespace fuchsiaproxy::peers
{

/// Result of processing one handshake message.
struct handshake_step
{
    /// Message to send to the other end, unless empty.
    std::string reply;
    /// Identity of the other end, once authenticated.
    std::optional<link_identity> peer;
};

/// State machine of one end of the link handshake. The accepting end sends a challenge, the opening
/// end replies with a hello that carries its proof, and the accepting end completes the handshake
/// with a welcome that carries its own proof.
class link_handshake
{
public:
    /// Creates the opening end of a link to instance `to`.
    static link_handshake opener(link_identity self, std::string secret, base::instance_id to);

    /// Creates the accepting end.
    static link_handshake accepter(link_identity self, std::string secret);

    /// Returns the challenge message. Precondition: this is the accepting end.
    std::string challenge() const;

    /// Processes the next message from the other end. Fails with `unauthenticated`, after which the
    /// link must be closed. Precondition: no earlier call failed or returned the peer's identity.
    base::result<handshake_step> receive(std::string const& text);

private:
    link_handshake(link_identity self, std::string secret, bool is_opener);

    base::result<handshake_step> receive_challenge(std::string const& text);
    base::result<handshake_step> receive_hello(std::string const& text);
    base::result<handshake_step> receive_welcome(std::string const& text) const;

    link_identity self_;
    std::string secret_;
    link_transcript transcript_;
    bool is_opener_;
};

} // namespace fuchsiaproxy::peers

#endif
