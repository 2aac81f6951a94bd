#include "fuchsiaproxy/operators/authentication.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <vector>

#include "fuchsiaproxy/model/manifest.hpp"

namespace fuchsiaproxy::operators
{
namespace
{

using base::error_kind;
using base::make_error;

// About 30 ms of one core for each key that is not cached. With higher counts, requests with wrong
// keys would block the operators' thread of a small instance.
constexpr int iterations = 100'000;
constexpr std::size_t hash_bytes = 32;
constexpr std::size_t salt_bytes = 16;
// A few hundred keys are in use at most; the bound limits the cache if keys change often.
constexpr std::size_t max_verified = 1'000;

template <class Bytes>
std::string to_hexadecimal(Bytes const& bytes)
{
    constexpr auto digits = "0123456789abcdef";
    std::string out;
    for (unsigned char const byte : bytes)
    {
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
    }
    return out;
}

unsigned char nibble(char c)
{
    return static_cast<unsigned char>(c <= '9' ? c - '0' : c - 'a' + 10);
}

std::vector<unsigned char> from_hexadecimal(std::string const& text)
{
    std::vector<unsigned char> out;
    for (std::size_t n = 0; n + 1 < text.size(); n += 2)
    {
        out.push_back(static_cast<unsigned char>(nibble(text[n]) << 4U | nibble(text[n + 1])));
    }
    return out;
}

bool equal_in_constant_time(std::string const& a, std::string const& b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

base::result<std::string> random_salt()
{
    std::array<unsigned char, salt_bytes> salt{};
    if (RAND_bytes(salt.data(), static_cast<int>(salt.size())) != 1)
    {
        return make_error(error_kind::internal, "the system's random number generator failed");
    }
    return to_hexadecimal(salt);
}

struct found_operator
{
    identity who;
    model::operator_key key;
};

/// Returns the operator with this id. For an unknown id, returns a placeholder whose empty hash
/// matches no key, so that both cases cost the same computation.
found_operator find_operator(model::configuration const& value, base::operator_id const& id)
{
    for (auto const& organisation : value.members)
    {
        for (auto const& it : organisation.operators)
        {
            if (it.id == id)
            {
                return {{id, organisation.id}, it};
            }
        }
    }
    return {{}, {{}, std::string(2 * salt_bytes, '0'), ""}};
}

} // namespace

std::string hash_key(std::string_view key, std::string const& salt)
{
    auto const salt_value = from_hexadecimal(salt);
    std::array<unsigned char, hash_bytes> hash{};
    PKCS5_PBKDF2_HMAC(key.data(), static_cast<int>(key.size()), salt_value.data(),
                      static_cast<int>(salt_value.size()), iterations, EVP_sha256(),
                      static_cast<int>(hash.size()), hash.data());
    return to_hexadecimal(hash);
}

base::result<model::operator_key> make_operator_key(base::operator_id id, std::string_view key)
{
    if (key.size() < min_key_length)
    {
        return make_error(error_kind::invalid_command,
                          "key: expected at least " + std::to_string(min_key_length) +
                              " characters, found " + std::to_string(key.size()));
    }
    auto salt = random_salt();
    if (!salt)
    {
        return std::move(salt).error();
    }
    auto hash = hash_key(key, salt.value());
    return model::operator_key{std::move(id), std::move(salt).value(), std::move(hash)};
}

base::result<identity> authenticator::authenticate(model::configuration const& value,
                                                   base::operator_id const& id,
                                                   std::string_view key)
{
    if (process_salt_.empty())
    {
        auto salt = random_salt();
        if (!salt)
        {
            return std::move(salt).error();
        }
        process_salt_ = std::move(salt).value();
    }
    auto const found = find_operator(value, id);
    auto const fast_hash = model::content_hash(process_salt_ + std::string(key));
    auto const known = verified_keys_.find(found.key.hash);
    if (known != verified_keys_.end() && equal_in_constant_time(known->second, fast_hash))
    {
        return found.who;
    }
    if (!equal_in_constant_time(hash_key(key, found.key.salt), found.key.hash))
    {
        return make_error(error_kind::unauthenticated,
                          "expected the id and the key of an operator");
    }
    if (verified_keys_.size() >= max_verified)
    {
        verified_keys_.clear();
    }
    verified_keys_[found.key.hash] = fast_hash;
    return found.who;
}

} // namespace fuchsiaproxy::operators
