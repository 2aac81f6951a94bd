#ifndef FUCHSIAPROXY_LIMITS_SHARE_HOLDER_HPP
#define FUCHSIAPROXY_LIMITS_SHARE_HOLDER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/limits/cap_set.hpp"
#include "fuchsiaproxy/limits/share_document.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::limits
{

/// An entry's side of its reservations: asks for what it needs, and uses what the hub granted.
///
/// The caller performs the actions in order: a lower `set_share` comes before the message that
/// acknowledges it. Messages may be lost, repeated or late; the hub may change.
/// Thread safety: none. `now` must not decrease.
class share_holder
{
public:
    /// `self` is unique to this process lifetime.
    explicit share_holder(base::incarnation self) : self_(self) {}

    /// Takes the parts of `zone`. When a part shrinks, the entry's share shrinks in proportion at
    /// once, so that the reduction does not depend on the hub.
    void apply(model::configuration const& config, base::availability_zone_id const& zone,
               share_actions& actions);

    /// Takes a grant. One that is not newer than the last is only acknowledged, and one for an
    /// earlier process of this instance is ignored.
    void on_grant(messages::share_grant const& it, share_actions& actions);

    /// Takes what the entry wanted to move since the last call, and asks for shares or returns
    /// them. Call it once for each `limit_window`.
    void on_demand(std::vector<cap_demand> const& demand, base::time_point now,
                   share_actions& actions);

    /// Returns what the entry may use of `cap`.
    std::uint64_t held(base::cap_id const& cap) const;

private:
    struct share
    {
        /// Part of the zone; none while the cap is not in the configuration.
        std::optional<std::uint64_t> part;
        std::uint64_t held = 0;
        /// Number of the last grant.
        std::uint64_t revision = 0;
        std::uint64_t wanted = 0;
        std::uint64_t asked = 0;
        base::time_point asked_at;
        /// Last time that most of the share was in demand.
        base::time_point needed_at;
    };

    static void lower(base::cap_id const& cap, share& it, std::uint64_t amount,
                      share_actions& actions);

    base::incarnation self_;
    // Shares of caps that left the configuration stay, because their revisions still matter.
    std::map<base::cap_id, share> shares_;
};

} // namespace fuchsiaproxy::limits

#endif
