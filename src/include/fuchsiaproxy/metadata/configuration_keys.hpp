#ifndef FUCHSIAPROXY_METADATA_CONFIGURATION_KEYS_HPP
#define FUCHSIAPROXY_METADATA_CONFIGURATION_KEYS_HPP

#include <string>

namespace fuchsiaproxy::metadata
{

/// Key of the manifest of the current configuration.
constexpr char const* configuration_head_key = "config/head";

/// Returns the key of the configuration segment with `hash`. Thread safe.
inline std::string configuration_segment_key(std::string const& hash)
{
    return "config/segment/" + hash;
}

} // namespace fuchsiaproxy::metadata

#endif
