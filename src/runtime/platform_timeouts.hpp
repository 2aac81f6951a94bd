#ifndef FUCHSIAPROXY_RUNTIME_SRC_PLATFORM_TIMEOUTS_HPP
#define FUCHSIAPROXY_RUNTIME_SRC_PLATFORM_TIMEOUTS_HPP

#include "fuchsiaproxy/metadata/platform_clients.hpp"
#include "fuchsiaproxy/settings/daemon_settings.hpp"

namespace fuchsiaproxy::runtime
{

/// Returns the timeouts of calls to the platform from the settings. Thread safe.
inline metadata::http_timeouts timeouts_of(settings::platform_settings const& it)
{
    metadata::http_timeouts made;
    made.call = it.call_timeout;
    return made;
}

} // namespace fuchsiaproxy::runtime

#endif
