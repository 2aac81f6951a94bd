#ifndef FUCHSIAPROXY_ROUTING_OWNERSHIP_HPP
#define FUCHSIAPROXY_ROUTING_OWNERSHIP_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "index_map.hpp"

namespace fuchsiaproxy::routing
{

/// A live entry that may own upstreams.
struct owner_candidate
{
    std::uint64_t hash = 0;
    std::uint32_t index = no_index;
    std::uint32_t zone = no_index;
    std::uint32_t region = no_index;
    bool draining = false;
};

/// Returns a hash of `text` that is the same on every entry.
std::uint64_t stable_hash(std::string const& text) noexcept;

/// Returns the index of the entry that owns an upstream: the one with the highest rendezvous hash
/// among the entries of its zone, or of its region when the zone has none. Entries that drain own
/// nothing. Returns `no_index` when there is none.
std::uint32_t owner_of(std::uint64_t upstream_hash, std::uint32_t zone, std::uint32_t region,
                       std::vector<owner_candidate> const& entries) noexcept;

} // namespace fuchsiaproxy::routing

#endif
