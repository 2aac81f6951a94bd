#include "ownership.hpp"

namespace fuchsiaproxy::routing
{

std::uint64_t stable_hash(std::string const& text) noexcept
{
    // FNV-1a; the mixing makes the high bits depend on the last characters.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (char const c : text)
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return mix(hash);
}

std::uint32_t owner_of(std::uint64_t upstream_hash, std::uint32_t zone, std::uint32_t region,
                       std::vector<owner_candidate> const& entries) noexcept
{
    std::uint32_t best = no_index;
    std::uint64_t best_score = 0;
    bool best_in_zone = false;
    for (auto const& it : entries)
    {
        bool const in_zone = it.zone == zone;
        if (it.draining || it.region != region || (best_in_zone && !in_zone))
        {
            continue;
        }
        auto const score = mix(upstream_hash ^ it.hash);
        if (best == no_index || (in_zone && !best_in_zone) || score > best_score)
        {
            best = it.index;
            best_score = score;
            best_in_zone = in_zone;
        }
    }
    return best;
}

} // namespace fuchsiaproxy::routing
