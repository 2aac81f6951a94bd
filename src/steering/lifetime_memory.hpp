#ifndef FUCHSIAPROXY_STEERING_LIFETIME_MEMORY_HPP
#define FUCHSIAPROXY_STEERING_LIFETIME_MEMORY_HPP

#include <cstddef>
#include <deque>
#include <map>

#include "upstream_state.hpp"

namespace fuchsiaproxy::steering
{

/// Remembers why upstreams whose records were removed got no new requests, so that a record of the
/// same lifetime that is listed again, for example by a write that was done late, does not bring
/// them back into use.
///
/// Thread safety: none.
class lifetime_memory
{
public:
    /// Remembers the exclusions of an upstream whose record is removed, if it has any.
    void store(upstream_state const& it);

    /// Returns whether a lifetime is remembered that has started after that of `it`.
    bool knows_later_lifetime(upstream_record const& it) const;

    /// Restores the exclusions of an upstream that is listed anew. Those of another lifetime are
    /// forgotten.
    void restore(upstream_state& it);

private:
    struct memory
    {
        std::uint64_t started_at_ms = 0;
        std::uint64_t sequence = 0;
        bool draining = false;
        bool leaving = false;
        base::time_point paused_until;
        std::uint32_t ramp_limit = 0;
    };

    /// Maximum number of remembered lifetimes; beyond it, the oldest ones are forgotten.
    static constexpr std::size_t max_lifetimes = 4096;

    std::map<base::upstream_id, memory> known_;
    std::deque<base::upstream_id> order_;
};

} // namespace fuchsiaproxy::steering

#endif
