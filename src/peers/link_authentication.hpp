#ifndef FUCHSIAPROXY_PEERS_LINK_AUTHENTICATION_HPP
#define FUCHSIAPROXY_PEERS_LINK_AUTHENTICATION_HPP

#include <string>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"

namespace fuchsiaproxy::peers
{

/// Maximum size of a handshake message.
constexpr std::size_t max_handshake_bytes = 4096;

/// Identity of one end of a link.
struct link_identity
{
    base::instance_id instance;
    base::incarnation incarnation;
};

/// First handshake message, sent by the accepting end.
struct link_challenge
{
    std::string nonce;
};

/// Second handshake message, sent by the opening end.
struct link_hello
{
    link_identity from;
    /// Instance to which the opening end is connecting.
    base::instance_id to;
    std::string nonce;
    std::string proof;
};

/// Last handshake message, sent by the accepting end.
struct link_welcome
{
    link_identity from;
    std::string proof;
};

/// Handshake data covered by the proofs of both ends.
struct link_transcript
{
    std::string challenge_nonce;
    std::string hello_nonce;
    link_identity opener;
    base::instance_id to;
};

/// Returns a random nonce. Throws `std::runtime_error` if the random generator fails. Thread safe.
std::string make_nonce();

/// Returns the HMAC by which the opening end proves that it has the secret. Thread safe.
std::string opener_proof(std::string const& secret, link_transcript const& it);

/// Returns the HMAC by which the accepting end proves that it has the secret. It also covers the
/// incarnation of the accepting end. Thread safe.
std::string accepter_proof(std::string const& secret, link_transcript const& it,
                           base::incarnation accepter);

/// Compares two proofs in constant time, which prevents timing attacks. Thread safe.
bool same_proof(std::string const& a, std::string const& b);

/// Serialises and parses the handshake messages, which are JSON texts. Parsing fails with
/// `unauthenticated`. Thread safe.
std::string to_text(link_challenge const& it);
std::string to_text(link_hello const& it);
std::string to_text(link_welcome const& it);
base::result<link_challenge> read_challenge(std::string const& text);
base::result<link_hello> read_hello(std::string const& text);
base::result<link_welcome> read_welcome(std::string const& text);

} // namespace fuchsiaproxy::peers

#endif
