#ifndef FUCHSIAPROXY_STEERING_PEER_LOADS_HPP
#define FUCHSIAPROXY_STEERING_PEER_LOADS_HPP

#include <cstdint>
#include <unordered_map>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/steering/peer_load.hpp"

namespace fuchsiaproxy::steering
{

/// The load that other entries put on the upstreams, from their latest messages.
///
/// Thread safety: none.
class peer_loads
{
public:
    /// Messages older than `memory` no longer count.
    explicit peer_loads(base::duration memory) : memory_(memory) {}

    /// Takes a message; one that was overtaken by a later one is ignored.
    void take(peer_load const& it, base::time_point now);

    /// Forgets an entry that has left.
    void forget(base::instance_id const& entry);

    /// Removes what is too old.
    void tick(base::time_point now);

    /// Returns the attempts of other entries at an upstream.
    std::uint32_t at(upstream_tag upstream) const;

    /// Returns the number of entries whose load is known.
    std::size_t entries() const;

private:
    struct entry_load
    {
        peer_load last;
        base::time_point at;
    };

    void subtract(entry_load const& it);

    base::duration memory_;
    std::unordered_map<base::instance_id, entry_load> entries_;
    std::unordered_map<upstream_tag, std::uint32_t> totals_;
};

} // namespace fuchsiaproxy::steering

#endif
