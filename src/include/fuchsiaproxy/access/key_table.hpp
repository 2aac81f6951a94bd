#ifndef FUCHSIAPROXY_ACCESS_KEY_TABLE_HPP
#define FUCHSIAPROXY_ACCESS_KEY_TABLE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "fuchsiaproxy/access/tenant.hpp"
#include "fuchsiaproxy/base/error.hpp"

namespace fuchsiaproxy::access
{

/// SHA-256 digest of an API key. Requests keep it in place of the key.
using key_digest = std::array<unsigned char, 32>;

/// Returns the digest of an API key. The time taken depends on the length of the key only. Thread
/// safe.
key_digest digest_of(std::string_view api_key);

/// Maps API keys to tenants. Holds digests only. A look-up compares digests, so its duration tells
/// nothing about how much of a key matches.
///
/// Thread safety: immutable after construction.
class key_table
{
public:
    /// A table without keys.
    key_table() = default;

    /// Builds the table. Fails with `invalid_configuration` if a name or key is empty, if two
    /// tenants have the same name, or if a key occurs twice. Messages name tenants, never keys.
    static base::result<key_table> make(std::vector<tenant> const& tenants);

    /// Returns the position in the list of tenants of the tenant that has the key.
    std::optional<std::size_t> find(key_digest const& key) const noexcept;

    /// Returns the number of keys.
    std::size_t size() const noexcept;

private:
    struct known_key
    {
        key_digest digest{};
        std::uint32_t tenant = 0;
    };

    /// Adds a key. Returns the position of its tenant if the table has it already.
    std::optional<std::size_t> insert(key_digest const& key, std::uint32_t tenant);
    std::size_t first_slot(key_digest const& key) const noexcept;

    std::vector<known_key> keys_;
    /// Open addressing with linear probing: positions in `keys_` plus one, zero in free slots. The
    /// size is a power of two, at least twice the number of keys.
    std::vector<std::uint32_t> slots_;
};

} // namespace fuchsiaproxy::access

#endif
