#ifndef FUCHSIAPROXY_GATEWAY_COOKIE_HPP
#define FUCHSIAPROXY_GATEWAY_COOKIE_HPP

#include <string_view>

#include "fuchsiaproxy/http/fields.hpp"

namespace fuchsiaproxy::gateway
{

/// Returns the value of the cookie `name` in the request's header fields, or an empty string. The
/// view is valid as long as `all`. Thread safe.
std::string_view cookie_value(http::fields const& all, std::string_view name);

} // namespace fuchsiaproxy::gateway

#endif
