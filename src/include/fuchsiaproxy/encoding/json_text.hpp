#ifndef FUCHSIAPROXY_ENCODING_JSON_TEXT_HPP
#define FUCHSIAPROXY_ENCODING_JSON_TEXT_HPP

#include <string_view>

#include <nlohmann/json.hpp>

#include "fuchsiaproxy/base/error.hpp"

namespace fuchsiaproxy::encoding
{

/// Deepest nesting that `parse_json` accepts. The most deeply nested document has 8 levels.
constexpr int max_json_depth = 32;

/// Parses JSON of another writer. Returns `bad_message` if it is malformed or has more than
/// `max_json_depth` levels of nesting: nlohmann's copying and printing recurse once per level and
/// overflow the stack on deeply nested values. The message does not quote the text, which may
/// contain API keys. Thread safe.
base::result<nlohmann::json> parse_json(std::string_view text);

} // namespace fuchsiaproxy::encoding

#endif
