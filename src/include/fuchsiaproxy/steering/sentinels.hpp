#ifndef FUCHSIAPROXY_STEERING_SENTINELS_HPP
#define FUCHSIAPROXY_STEERING_SENTINELS_HPP

#include <map>

#include "fuchsiaproxy/base/ids.hpp"

namespace fuchsiaproxy::steering
{

/// Live entries with their availability zones.
using entry_zones = std::map<base::instance_id, base::availability_zone_id>;

/// Returns whether the entry `self` in `zone` is a sentinel: one of the few entries that ask the
/// store often whether anything has changed, so that they detect a lost watch soon. The others
/// learn from a sentinel's load messages that they lag behind, and need not ask.
///
/// The first entry of each availability zone is a sentinel, and so are the first
/// `min_sentinels` of all. `self` counts as live even if `live` does not contain it. Thread safe.
bool is_sentinel(base::instance_id const& self, base::availability_zone_id const& zone,
                 entry_zones const& live);

/// Number of sentinels in fleets with fewer zones than that, so that one that is unresponsive is
/// not the only one.
constexpr int min_sentinels = 3;

} // namespace fuchsiaproxy::steering

#endif
