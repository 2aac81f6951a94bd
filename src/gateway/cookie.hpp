#ifndef FUCHSIAPROXY_GATEWAY_COOKIE_HPP
#define FUCHSIAPROXY_GATEWAY_COOKIE_HPP

#include <string_view>

#include "fuchsiaproxy/http/fields.hpp"

namespace fuchsiaproxy::gateway
{

/// Returns the value of the cookie `name` among the request's fields, or an empty text. The view
/// ends with `all`. Thread safe.
std::string_view cookie_value(http::fields const& all, std::string_view name);

} // namespace fuchsiaproxy::gateway

#endif
