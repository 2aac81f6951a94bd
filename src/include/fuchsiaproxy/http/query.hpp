#ifndef FUCHSIAPROXY_HTTP_QUERY_HPP
#define FUCHSIAPROXY_HTTP_QUERY_HPP

#include <string>
#include <string_view>

namespace fuchsiaproxy::http
{

/// Returns the percent-decoded value of parameter `name` in a query string, or an empty string if
/// it is missing. Malformed escapes are left unchanged. Thread safe.
std::string query_value(std::string_view query, std::string_view name);

/// Percent-encodes `text` for use in a query string. Thread safe.
std::string query_escaped(std::string_view text);

} // namespace fuchsiaproxy::http

#endif
