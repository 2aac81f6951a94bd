#ifndef FUCHSIAPROXY_STEERING_EVACUATIONS_HPP
#define FUCHSIAPROXY_STEERING_EVACUATIONS_HPP

#include <set>

#include "fuchsiaproxy/base/ids.hpp"
#include "removal_grace_period.hpp"

namespace fuchsiaproxy::steering
{

/// Evacuated zones. After the store has returned from an older copy, a listing may lack an
/// evacuation that is in force, or contain one that was taken back: what this entry has applied
/// stays in force until the record is written again or the grace period ends. The listing is
/// followed from then on.
///
/// Thread safety: none.
class evacuations
{
public:
    /// `grace` must outlive the object.
    explicit evacuations(removal_grace_period const& grace);

    /// Applies the complete set of evacuations from a listing.
    void list(std::set<base::availability_zone_id> const& zones, base::time_point now);
    /// Applies one write of an operator.
    void change(base::availability_zone_id const& zone, bool evacuated);
    /// Follows the last listing if the grace period has ended. Returns whether a zone has changed.
    bool tick(base::time_point now);
    /// Returns when `tick` must be called next; the largest time if never.
    base::time_point next_wakeup() const;

    /// Returns the zones whose upstreams get no new requests.
    std::set<base::availability_zone_id> in_force() const;

private:
    removal_grace_period const& grace_;
    /// According to the store.
    std::set<base::availability_zone_id> listed_;
    /// In force although the last listing lacks them, and not in force although it has them.
    std::set<base::availability_zone_id> kept_;
    std::set<base::availability_zone_id> ignored_;
    /// Evacuations that this entry has seen taken back. An evacuation that is listed for the first
    /// time is applied at once, also in the grace period.
    std::set<base::availability_zone_id> taken_back_;
};

} // namespace fuchsiaproxy::steering

#endif
