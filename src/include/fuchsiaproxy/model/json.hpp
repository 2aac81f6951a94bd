#ifndef FUCHSIAPROXY_MODEL_JSON_HPP
#define FUCHSIAPROXY_MODEL_JSON_HPP

#include <string>
#include <string_view>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::model
{

/// A JSON document and its name, such as a file name, for error messages.
struct named_document
{
    std::string name;
    std::string text;
};

/// Returns `value` with every list sorted by id and the shed statuses in ascending order. Request
/// classes keep their order, because the last one is the default. Thread safe.
configuration canonical(configuration value);

/// Returns the canonical JSON text of `value`: lists sorted by id, object members sorted by
/// name, no white space. Equal configurations have equal texts. Thread safe.
std::string to_json(configuration const& value);

/// Like `to_json`, but indented for readability. Thread safe.
std::string to_indented_json(configuration const& value);

/// Parses a configuration. Every section is optional and defaults to empty. Fails with
/// `invalid_configuration` for malformed JSON, unknown or duplicate fields, wrong types, values out
/// of range and duplicate ids; the message contains the path and what was expected. References
/// between sections are checked by `validate`. Never throws. Thread safe.
base::result<configuration> parse_configuration(std::string_view text);

/// Parses several documents and merges them into one configuration. Lists are concatenated;
/// `delays` may occur in one document only. Error messages start with the name of the document.
/// Never throws. Thread safe.
base::result<configuration> parse_declarations(std::vector<named_document> const& documents);

} // namespace fuchsiaproxy::model

#endif
