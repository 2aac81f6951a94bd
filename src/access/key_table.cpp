#include "fuchsiaproxy/access/key_table.hpp"

#include <cstring>
#include <string>
#include <unordered_set>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace fuchsiaproxy::access
{

using base::error_kind;

key_digest digest_of(std::string_view api_key)
{
    key_digest made{};
    SHA256(reinterpret_cast<unsigned char const*>(api_key.data()), api_key.size(), made.data());
    return made;
}

base::result<key_table> key_table::make(std::vector<tenant> const& tenants)
{
    std::size_t count = 0;
    for (auto const& it : tenants)
    {
        count += it.api_keys.size();
    }
    std::size_t slots = 1;
    while (slots < 2 * count)
    {
        slots *= 2;
    }
    key_table made;
    made.keys_.reserve(count);
    made.slots_.resize(count == 0 ? 0 : slots);
    std::unordered_set<std::string_view> names;
    for (std::size_t n = 0; n < tenants.size(); ++n)
    {
        auto const& name = tenants[n].id.value();
        if (name.empty())
        {
            return base::make_error(error_kind::invalid_configuration,
                                    "tenant " + std::to_string(n + 1) + " has an empty name");
        }
        if (!names.insert(name).second)
        {
            return base::make_error(error_kind::invalid_configuration,
                                    "two tenants have the name \"" + name + "\"");
        }
        for (auto const& key : tenants[n].api_keys)
        {
            if (key.empty())
            {
                return base::make_error(error_kind::invalid_configuration,
                                        "tenant \"" + name + "\" has an empty API key");
            }
            if (auto const other = made.insert(digest_of(key), static_cast<std::uint32_t>(n)))
            {
                return base::make_error(error_kind::invalid_configuration,
                                        "an API key of tenant \"" + name +
                                            "\" occurs twice, also at tenant \"" +
                                            tenants[*other].id.value() + "\"");
            }
        }
    }
    return made;
}

std::size_t key_table::first_slot(key_digest const& key) const noexcept
{
    std::uint64_t bits = 0;
    std::memcpy(&bits, key.data(), sizeof bits);
    return bits & (slots_.size() - 1);
}

std::optional<std::size_t> key_table::insert(key_digest const& key, std::uint32_t tenant)
{
    if (auto const other = find(key))
    {
        return other;
    }
    auto at = first_slot(key);
    while (slots_[at] != 0)
    {
        at = (at + 1) & (slots_.size() - 1);
    }
    keys_.push_back({key, tenant});
    slots_[at] = static_cast<std::uint32_t>(keys_.size());
    return std::nullopt;
}

std::optional<std::size_t> key_table::find(key_digest const& key) const noexcept
{
    if (slots_.empty())
    {
        return std::nullopt;
    }
    for (auto at = first_slot(key); slots_[at] != 0; at = (at + 1) & (slots_.size() - 1))
    {
        auto const& it = keys_[slots_[at] - 1];
        if (CRYPTO_memcmp(it.digest.data(), key.data(), key.size()) == 0)
        {
            return it.tenant;
        }
    }
    return std::nullopt;
}

std::size_t key_table::size() const noexcept
{
    return keys_.size();
}

} // namespace fuchsiaproxy::access
