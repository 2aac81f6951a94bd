#ifndef FUCHSIAPROXY_STEERING_EXCLUSION_HPP
#define FUCHSIAPROXY_STEERING_EXCLUSION_HPP

#include <string_view>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::steering
{

/// Why an upstream gets no new requests.
enum class exclusion_reason
{
    /// Discovery has removed it, or its address is used by another upstream.
    removed,
    /// Its discovery record says that it is draining.
    draining,
    /// It has stated in an answer that it is shutting down.
    leaving,
    /// Operators have evacuated its zone.
    evacuated,
    /// It has asked for a pause.
    paused,
    /// It cannot be connected to.
    unreachable
};

/// Returns the name of `reason` for logs. Thread safe.
std::string_view name_of(exclusion_reason reason);

/// Exclusion of an upstream from new requests.
struct exclusion
{
    exclusion_reason why = exclusion_reason::removed;
    /// When it ends by itself; the largest time if it does not.
    base::time_point until = base::time_point::max();
};

} // namespace fuchsiaproxy::steering

#endif
