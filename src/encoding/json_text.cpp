#include "fuchsiaproxy/encoding/json_text.hpp"

#include <string>
#include <utility>

namespace fuchsiaproxy::encoding
{

using base::error_kind;
using base::make_error;
using nlohmann::json;

base::result<json> parse_json(std::string_view text)
{
    bool too_deep = false;
    auto const check_depth = [&too_deep](int depth, json::parse_event_t, json const&)
    {
        too_deep = too_deep || depth > max_json_depth;
        return !too_deep;
    };
    auto document = json::parse(text, check_depth, false);
    if (too_deep)
    {
        return make_error(error_kind::bad_message, "expected at most " +
                                                       std::to_string(max_json_depth) +
                                                       " levels of nesting");
    }
    if (document.is_discarded())
    {
        return make_error(error_kind::bad_message, "not valid JSON");
    }
    return document;
}

} // namespace fuchsiaproxy::encoding
