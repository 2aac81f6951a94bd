#ifndef FUCHSIAPROXY_HTTP_QUERY_HPP
#define FUCHSIAPROXY_HTTP_QUERY_HPP

#include <string>
#include <string_view>

namespace fuchsiaproxy::http
{

/// Returns the decoded value of `name` in a query string, or an empty text. A malformed escape is
/// kept as it is. Thread safe.
std::string query_value(std::string_view query, std::string_view name);

/// Escapes `text` for a query string. Thread safe.
std::string query_escaped(std::string_view text);

} // namespace fuchsiaproxy::http

#endif
