#ifndef FUCHSIAPROXY_MODEL_JSON_HPP
#define FUCHSIAPROXY_MODEL_JSON_HPP

#include <string>
#include <string_view>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::model
{

/// A JSON document with the name that its errors are reported under, such as a file name.
struct named_document
{
    std::string name;
    std::string text;
};

/// Returns `value` with every list ordered by id, and the shed statuses in ascending order. Classes
/// keep their order, because the last one is the default. Thread safe.
configuration canonical(configuration value);

/// Returns the canonical JSON text of `value`: lists ordered by id, members ordered by name, no
/// white space. Equal configurations have equal texts. Thread safe.
std::string to_json(configuration const& value);

/// Like `to_json`, indented for people. Thread safe.
std::string to_indented_json(configuration const& value);

/// Reads a configuration. Every section is optional and defaults to empty. Fails with
/// `invalid_configuration` for broken JSON, unknown or repeated fields, wrong types, values out of
/// range and repeated ids; the message names the path and what was expected. References between
/// sections are checked by `validate`. Never throws. Thread safe.
base::result<configuration> parse_configuration(std::string_view text);

/// Reads several documents as parts of one configuration. The lists are concatenated; `delays` may
/// stand in one document only. Errors name the document. Never throws. Thread safe.
base::result<configuration> parse_declarations(std::vector<named_document> const& documents);

} // namespace fuchsiaproxy::model

#endif
