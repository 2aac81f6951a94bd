#ifndef FUCHSIAPROXY_MODEL_VALIDATE_HPP
#define FUCHSIAPROXY_MODEL_VALIDATE_HPP

#include <map>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::model
{

/// Measured load by home place: the average number of slots that its requests occupy, wherever they
/// are served. The load of places that are missing is unknown.
using place_loads = std::map<base::place_id, double>;

/// Checks that `value` can be activated:
/// - ids are unique, and no two upstreams have the same address and port;
/// - references exist, and the places of a cap, shift or drain are places of a service that the
///   same organisation owns;
/// - each service has a place with upstreams that is not drained;
/// - the split of a cap adds up to at most its limit;
/// - a shift is between two places of its service, and its target is not drained;
/// - shifts from one place add up to at most 100 percent;
/// - shifts do not overload their target: its load plus the moved load must fit its slots. A source
///   of unknown load counts as fully loaded, a target of unknown load as idle;
/// - the known load of a service fits the slots of its undrained places.
///
/// Fails with `invalid_configuration`; the message contains the path, by id, and what was expected.
/// Thread safe.
base::result<void> validate(configuration const& value, place_loads const& loads = {});

/// Checks the transition between two valid configurations: the split of a cap must not raise one
/// part and lower another in the same change. Entries adopt a version at different times, so the
/// raised part could be used before the lowered one takes effect. Fails with
/// `invalid_configuration`. Thread safe.
base::result<void> validate_transition(configuration const& before, configuration const& after);

} // namespace fuchsiaproxy::model

#endif
