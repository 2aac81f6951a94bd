#ifndef FUCHSIAPROXY_STEERING_HASHING_HPP
#define FUCHSIAPROXY_STEERING_HASHING_HPP

#include <cstdint>
#include <string_view>

namespace fuchsiaproxy::steering
{

/// Finaliser of SplitMix64. Thread safe.
constexpr std::uint64_t mix64(std::uint64_t x) noexcept
{
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31U);
}

/// FNV-1a hash of a text, mixed with `mix64`. It is the same on every entry. Thread safe.
constexpr std::uint64_t hash_of(std::string_view text) noexcept
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (char const c : text)
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    return mix64(hash);
}

/// Weight of a candidate for a key in highest-random-weight (rendezvous) hashing. Thread safe.
constexpr std::uint64_t weight_of(std::uint64_t key, std::uint64_t candidate) noexcept
{
    return mix64(key ^ (candidate * 0x9e3779b97f4a7c15ULL));
}

} // namespace fuchsiaproxy::steering

#endif
