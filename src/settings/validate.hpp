#ifndef FUCHSIAPROXY_SETTINGS_SRC_VALIDATE_HPP
#define FUCHSIAPROXY_SETTINGS_SRC_VALIDATE_HPP

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace fuchsiaproxy::settings
{

/// Validates `document` against `schema`. Returns one line per error, with the path as a JSON
/// pointer and the expected value. Empty if the document is valid. Thread safe.
std::vector<std::string> validation_errors(nlohmann::json const& document,
                                           nlohmann::json const& schema);

/// Returns the definition in `root` that `schema` refers to, or `schema` if it is no reference.
nlohmann::json const& resolve_reference(nlohmann::json const& schema, nlohmann::json const& root);

/// Describes the values that `schema` accepts, such as "an integer from 0 to 65535".
std::string describe_expectation(nlohmann::json const& schema);

} // namespace fuchsiaproxy::settings

#endif
