#ifndef FUCHSIAPROXY_SETTINGS_SRC_VALIDATE_HPP
#define FUCHSIAPROXY_SETTINGS_SRC_VALIDATE_HPP

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace fuchsiaproxy::settings
{

/// Returns one line for each fault of `document` against `schema`, with the path as a JSON pointer
/// and what was expected. Empty when there is none. Thread safe.
std::vector<std::string> faults_of(nlohmann::json const& document, nlohmann::json const& schema);

/// Returns the subschema of `schema` itself, or the definition that it refers to in `root`.
nlohmann::json const& resolve_reference(nlohmann::json const& schema, nlohmann::json const& root);

/// Returns in words what `schema` accepts, such as "an integer from 0 to 65535".
std::string describe_expectation(nlohmann::json const& schema);

} // namespace fuchsiaproxy::settings

#endif
