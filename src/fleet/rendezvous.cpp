#include "fuchsiaproxy/fleet/rendezvous.hpp"

namespace fuchsiaproxy::fleet
{
namespace
{

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

std::uint64_t fnv1a(std::uint64_t hash, std::string_view text)
{
    for (char const c : text)
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * fnv_prime;
    }
    return hash;
}

// Finaliser of SplitMix64: spreads FNV's weak high bits over the whole word.
std::uint64_t mix(std::uint64_t x)
{
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31U);
}

} // namespace

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) noexcept
{
    std::uint64_t hash = fnv1a(fnv_offset, key);
    // Separates ("a", "bc") from ("ab", "c").
    hash = (hash ^ 0xffU) * fnv_prime;
    return mix(fnv1a(hash, candidate));
}

} // namespace fuchsiaproxy::fleet
