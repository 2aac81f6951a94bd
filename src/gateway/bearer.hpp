#ifndef FUCHSIAPROXY_GATEWAY_BEARER_HPP
#define FUCHSIAPROXY_GATEWAY_BEARER_HPP

#include <optional>
#include <string_view>

#include "fuchsiaproxy/http/fields.hpp"

namespace fuchsiaproxy::gateway
{

/// Returns the key of the request's only field `name`, whose value is `Bearer KEY`, with the scheme
/// in any case. Returns nothing without such a field, with several, or with another scheme. The
/// view is valid as long as `all`. Thread safe.
std::optional<std::string_view> bearer_key(http::fields const& all, std::string_view name);

} // namespace fuchsiaproxy::gateway

#endif
