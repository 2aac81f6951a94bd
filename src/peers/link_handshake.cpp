#include "link_handshake.hpp"

#include <utility>

namespace fuchsiaproxy::peers
{
namespace
{

base::error authentication_error(char const* why)
{
    return base::make_error(base::error_kind::unauthenticated, why);
}

} // namespace

link_handshake::link_handshake(link_identity self, std::string secret, bool is_opener)
    : self_(std::move(self)), secret_(std::move(secret)), is_opener_(is_opener)
{
}

link_handshake link_handshake::opener(link_identity self, std::string secret, base::instance_id to)
{
    link_handshake out(std::move(self), std::move(secret), true);
    out.transcript_.opener = out.self_;
    out.transcript_.to = std::move(to);
    return out;
}

link_handshake link_handshake::accepter(link_identity self, std::string secret)
{
    link_handshake out(std::move(self), std::move(secret), false);
    out.transcript_.challenge_nonce = make_nonce();
    return out;
}

std::string link_handshake::challenge() const
{
    return to_text(link_challenge{transcript_.challenge_nonce});
}

base::result<handshake_step> link_handshake::receive(std::string const& text)
{
    if (!is_opener_)
    {
        return receive_hello(text);
    }
    return transcript_.challenge_nonce.empty() ? receive_challenge(text) : receive_welcome(text);
}

base::result<handshake_step> link_handshake::receive_challenge(std::string const& text)
{
    auto const challenge = read_challenge(text);
    if (!challenge || challenge.value().nonce.empty())
    {
        return authentication_error("invalid challenge");
    }
    transcript_.challenge_nonce = challenge.value().nonce;
    transcript_.hello_nonce = make_nonce();
    link_hello hello;
    hello.from = self_;
    hello.to = transcript_.to;
    hello.nonce = transcript_.hello_nonce;
    hello.proof = opener_proof(secret_, transcript_);
    return handshake_step{to_text(hello), std::nullopt};
}

base::result<handshake_step> link_handshake::receive_hello(std::string const& text)
{
    auto const read = read_hello(text);
    if (!read)
    {
        return read.error();
    }
    auto const& hello = read.value();
    transcript_.hello_nonce = hello.nonce;
    transcript_.opener = hello.from;
    transcript_.to = hello.to;
    if (!same_proof(hello.proof, opener_proof(secret_, transcript_)))
    {
        return authentication_error("invalid proof in hello: the shared secrets differ");
    }
    if (hello.to != self_.instance || hello.from.instance == self_.instance)
    {
        return authentication_error("hello is addressed to another entry, or comes from this one");
    }
    link_welcome welcome;
    welcome.from = self_;
    welcome.proof = accepter_proof(secret_, transcript_, self_.incarnation);
    return handshake_step{to_text(welcome), hello.from};
}

base::result<handshake_step> link_handshake::receive_welcome(std::string const& text) const
{
    auto const read = read_welcome(text);
    if (!read)
    {
        return read.error();
    }
    auto const& welcome = read.value();
    auto const expected = accepter_proof(secret_, transcript_, welcome.from.incarnation);
    if (!same_proof(welcome.proof, expected) || welcome.from.instance != transcript_.to)
    {
        return authentication_error(
            "invalid proof in welcome: the shared secrets differ, or another entry replied");
    }
    return handshake_step{{}, welcome.from};
}

} // namespace fuchsiaproxy::peers
