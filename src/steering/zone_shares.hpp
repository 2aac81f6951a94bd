#ifndef FUCHSIAPROXY_STEERING_ZONE_SHARES_HPP
#define FUCHSIAPROXY_STEERING_ZONE_SHARES_HPP

#include <map>

#include "fuchsiaproxy/base/ids.hpp"

namespace fuchsiaproxy::steering
{

/// Fractions of a zone's requests, by the zone that should serve them.
using zone_shares = std::map<base::availability_zone_id, double>;

/// Zones of a deployment with the regions that they belong to.
using zone_regions = std::map<base::availability_zone_id, base::region_id>;

/// Divides the requests of the callers in `home` among zones: as many as possible stay in `home`,
/// then in the other zones of its region, and the rest goes to other regions, in proportion to the
/// capacity that these have to spare. All zones in `callers` are assumed to ask for work in
/// proportion to their value there, and for `utilization` of the whole capacity together.
///
/// Answers the load of equal callers in each zone on upstreams that are unequally divided: a zone
/// with a fifth of the upstreams of another keeps what it can serve, and a burst elsewhere does not
/// move it. The result depends on the lists of entries and upstreams only, so it is the same on
/// every entry of the zone and does not change with the load. Thread safe.
zone_shares shares_of_zone(base::availability_zone_id const& home, zone_regions const& regions,
                           std::map<base::availability_zone_id, double> const& callers,
                           std::map<base::availability_zone_id, double> const& capacity,
                           double utilization);

} // namespace fuchsiaproxy::steering

#endif
