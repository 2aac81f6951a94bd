#include <string>

#include "fuchsiaproxy/encoding/json_text.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using encoding::max_json_depth;
using encoding::parse_json;

namespace
{

std::string nested(std::string const& open, std::string const& close, std::size_t depth)
{
    std::string text;
    for (std::size_t n = 0; n < depth; ++n)
    {
        text += open;
    }
    text += "1";
    for (std::size_t n = 0; n < depth; ++n)
    {
        text += close;
    }
    return text;
}

} // namespace

TEST_GROUP(json_text){};

// Guards against a document that overflows the stack when it is copied or printed.
TEST(json_text, nesting_is_limited)
{
    for (auto const& [open, close] : {std::pair("[", "]"), std::pair(R"({"a":)", "}")})
    {
        auto const deepest = parse_json(nested(open, close, max_json_depth));
        CHECK(deepest.has_value());
        CHECK_FALSE(deepest.value().dump().empty());
        auto const deeper = parse_json(nested(open, close, max_json_depth + 1));
        CHECK(deeper.error().kind == base::error_kind::bad_message);
        CHECK_FALSE(parse_json(nested(open, close, 400'000)).has_value());
    }
}

// Guards against API keys in a message, which is logged.
TEST(json_text, malformed_text_is_not_quoted)
{
    for (auto const* const text :
         {"", "secret", "[\"secret", "{\"secret\":1}}", "[\"secret\xff\"]"})
    {
        auto const read = parse_json(text);
        CHECK_FALSE(read.has_value());
        CHECK(read.error().message.find("secret") == std::string::npos);
    }
    CHECK(parse_json(R"({"a":[1,null,"x"]})").value().size() == 1);
}
