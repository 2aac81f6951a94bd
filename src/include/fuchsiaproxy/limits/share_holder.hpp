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

/// Client side of the share protocol at one entry: requests shares from the hub according to the
/// demand, and applies the grants.
///
/// The caller must perform the actions in order, because a reduced `set_share` precedes the message
/// that acknowledges it. Messages may be lost, duplicated or delayed, and the hub may change.
/// Thread safety: none. `now` must not decrease.
class share_holder
{
public:
    /// `self` is unique to this process lifetime.
    explicit share_holder(base::incarnation self) : self_(self) {}

    /// Applies the parts of `zone`. If a part is reduced, the entry's share is reduced in
    /// proportion at once, so that the reduction does not depend on the hub.
    void apply(model::configuration const& config, base::availability_zone_id const& zone,
               share_actions& actions);

    /// Handles a grant. A grant that is not newer than the last one is only acknowledged; a grant
    /// for another process of this instance is ignored.
    void on_grant(messages::share_grant const& it, share_actions& actions);

    /// Handles the demand since the last call: requests missing shares and returns unused ones.
    /// Call it once per `limit_window`.
    void on_demand(std::vector<cap_demand> const& demand, base::time_point now,
                   share_actions& actions);

    /// Returns the entry's share of `cap`.
    std::uint64_t held(base::cap_id const& cap) const;

private:
    struct share
    {
        /// The zone's part; empty while the cap is not in the configuration.
        std::optional<std::uint64_t> part;
        std::uint64_t held = 0;
        /// Revision of the last grant.
        std::uint64_t revision = 0;
        std::uint64_t wanted = 0;
        std::uint64_t asked = 0;
        base::time_point asked_at;
        /// Last time that the demand exceeded half of the share.
        base::time_point needed_at;
    };

    static void lower(base::cap_id const& cap, share& it, std::uint64_t amount,
                      share_actions& actions);

    base::incarnation self_;
    // Includes caps that are no longer in the configuration: the revision of their last grant is
    // needed to recognise older grants.
    std::map<base::cap_id, share> shares_;
};

} // namespace fuchsiaproxy::limits

#endif
