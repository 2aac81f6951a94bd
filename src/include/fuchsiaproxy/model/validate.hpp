#ifndef FUCHSIAPROXY_MODEL_VALIDATE_HPP
#define FUCHSIAPROXY_MODEL_VALIDATE_HPP

#include <map>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::model
{

/// Measured demand by home place, in slots that its requests keep busy on average wherever they are
/// served. Places that are missing are unknown.
using place_loads = std::map<base::place_id, double>;

/// Checks that `value` can be put in force:
/// - ids are unique, and no two upstreams have the same address and port;
/// - references exist, and what belongs to a service belongs to the service's organisation;
/// - each service has a place with upstreams that is not drained;
/// - the split of a cap adds up to at most its limit;
/// - a shift goes between two places of its service, and its target is not drained;
/// - shifts from one place add up to at most 100 percent;
/// - shifts do not overload their target. With known loads, the target's load plus the moved load
///   fits its slots; without, the moved part of the source's slots fits the target's slots;
/// - the known load of a service fits the slots of the places that are left by drains.
///
/// Fails with `invalid_configuration`; the message has the path, by id, and what was expected.
/// Thread safe.
base::result<void> validate(configuration const& value, place_loads const& loads = {});

/// Checks the step from `before` to `after`, two valid configurations: a cap's split does not raise
/// one part and lower another, because the raised part could be used before the lowered part is in
/// force. Fails with `invalid_configuration`. Thread safe.
base::result<void> validate_transition(configuration const& before, configuration const& after);

} // namespace fuchsiaproxy::model

#endif
