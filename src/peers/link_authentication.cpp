#include "link_authentication.hpp"

#include <array>
#include <stdexcept>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace fuchsiaproxy::peers
{
namespace
{

using nlohmann::json;

constexpr std::size_t nonce_bytes = 32;
constexpr unsigned handshake_version = 1;

std::string to_hex(unsigned char const* bytes, std::size_t size)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string out;
    for (std::size_t n = 0; n < size; ++n)
    {
        out += digits[bytes[n] >> 4U];
        out += digits[bytes[n] & 15U];
    }
    return out;
}

std::string hmac(std::string const& secret, std::string const& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
    unsigned size = 0;
    auto const* data = reinterpret_cast<unsigned char const*>(text.data());
    if (HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), data, text.size(),
             out.data(), &size) == nullptr)
    {
        throw std::runtime_error("HMAC-SHA256 failed");
    }
    return to_hex(out.data(), size);
}

/// Concatenates length-prefixed parts, so that different lists of parts never give the same text.
std::string join(std::initializer_list<std::string> parts)
{
    std::string out;
    for (auto const& it : parts)
    {
        out += std::to_string(it.size()) + ":" + it;
    }
    return out;
}

base::error invalid_message(char const* what)
{
    return base::make_error(base::error_kind::unauthenticated, std::string("invalid ") + what);
}

json parse(std::string const& text)
{
    if (text.size() > max_handshake_bytes)
    {
        return json(json::value_t::discarded);
    }
    auto out = json::parse(text, nullptr, false);
    bool const known = out.is_object() && out.value("v", json()) == json(handshake_version);
    return known ? out : json(json::value_t::discarded);
}

link_identity read_identity(json const& it)
{
    return {base::instance_id(it.at("instance").get<std::string>()),
            base::incarnation(it.at("incarnation").get<std::uint64_t>())};
}

} // namespace

std::string make_nonce()
{
    std::array<unsigned char, nonce_bytes> out{};
    if (RAND_bytes(out.data(), static_cast<int>(out.size())) != 1)
    {
        throw std::runtime_error("RAND_bytes of libcrypto failed");
    }
    return to_hex(out.data(), out.size());
}

std::string opener_proof(std::string const& secret, link_transcript const& it)
{
    return hmac(secret, join({"fuchsiaproxy link opener", it.challenge_nonce, it.hello_nonce,
                              it.opener.instance.value(),
                              std::to_string(it.opener.incarnation.value()), it.to.value()}));
}

std::string accepter_proof(std::string const& secret, link_transcript const& it,
                           base::incarnation accepter)
{
    return hmac(secret,
                join({"fuchsiaproxy link accepter", it.challenge_nonce, it.hello_nonce,
                      it.opener.instance.value(), std::to_string(it.opener.incarnation.value()),
                      it.to.value(), std::to_string(accepter.value())}));
}

bool same_proof(std::string const& a, std::string const& b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string to_text(link_challenge const& it)
{
    return json{{"v", handshake_version}, {"nonce", it.nonce}}.dump();
}

std::string to_text(link_hello const& it)
{
    return json{{"v", handshake_version},
                {"instance", it.from.instance.value()},
                {"incarnation", it.from.incarnation.value()},
                {"to", it.to.value()},
                {"nonce", it.nonce},
                {"proof", it.proof}}
        .dump();
}

std::string to_text(link_welcome const& it)
{
    return json{{"v", handshake_version},
                {"instance", it.from.instance.value()},
                {"incarnation", it.from.incarnation.value()},
                {"proof", it.proof}}
        .dump();
}

base::result<link_challenge> read_challenge(std::string const& text)
{
    try
    {
        return link_challenge{parse(text).at("nonce").get<std::string>()};
    }
    catch (json::exception const&)
    {
        return invalid_message("challenge");
    }
}

base::result<link_hello> read_hello(std::string const& text)
{
    try
    {
        auto const it = parse(text);
        return link_hello{read_identity(it), base::instance_id(it.at("to").get<std::string>()),
                          it.at("nonce").get<std::string>(), it.at("proof").get<std::string>()};
    }
    catch (json::exception const&)
    {
        return invalid_message("hello");
    }
}

base::result<link_welcome> read_welcome(std::string const& text)
{
    try
    {
        auto const it = parse(text);
        return link_welcome{read_identity(it), it.at("proof").get<std::string>()};
    }
    catch (json::exception const&)
    {
        return invalid_message("welcome");
    }
}

} // namespace fuchsiaproxy::peers
