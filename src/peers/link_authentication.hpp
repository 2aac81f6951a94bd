#ifndef FUCHSIAPROXY_PEERS_LINK_AUTHENTICATION_HPP
#define FUCHSIAPROXY_PEERS_LINK_AUTHENTICATION_HPP

#include <string>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"

namespace fuchsiaproxy::peers
{

/// Largest text of the handshake.
constexpr std::size_t max_handshake_bytes = 4096;

/// One end of a link.
struct link_identity
{
    base::instance_id instance;
    base::incarnation incarnation;
};

/// First text on a link, from the accepting end.
struct link_challenge
{
    std::string nonce;
};

/// Answer of the opening end.
struct link_hello
{
    link_identity from;
    /// The instance that the opening end means to reach.
    base::instance_id to;
    std::string nonce;
    std::string proof;
};

/// Last text of the handshake, from the accepting end.
struct link_welcome
{
    link_identity from;
    std::string proof;
};

/// What the proofs of a link cover.
struct link_transcript
{
    std::string challenge_nonce;
    std::string hello_nonce;
    link_identity opener;
    base::instance_id to;
};

/// Returns a random nonce. Throws `std::runtime_error` when the random source fails. Thread safe.
std::string make_nonce();

/// Returns the proof of the opening end. Thread safe.
std::string opener_proof(std::string const& secret, link_transcript const& it);

/// Returns the proof of the accepting end, which also covers its incarnation. Thread safe.
std::string accepter_proof(std::string const& secret, link_transcript const& it,
                           base::incarnation accepter);

/// Compares two proofs in a time that does not depend on where they differ. Thread safe.
bool same_proof(std::string const& a, std::string const& b);

/// Texts of the handshake. Reading fails with `unauthenticated`. Thread safe.
std::string to_text(link_challenge const& it);
std::string to_text(link_hello const& it);
std::string to_text(link_welcome const& it);
base::result<link_challenge> read_challenge(std::string const& text);
base::result<link_hello> read_hello(std::string const& text);
base::result<link_welcome> read_welcome(std::string const& text);

} // namespace fuchsiaproxy::peers

#endif
