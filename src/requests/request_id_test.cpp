#include "fuchsiaproxy/requests/request_id.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy::requests;
using fuchsiaproxy::base::error_kind;

TEST_GROUP(request_id){};

// Guards against an id that differs after it is formatted and parsed again.
TEST(request_id, round_trip)
{
    for (std::string const text :
         {"v1.harju-a_1.18446744073709551615.tartu-b.7.4294967295.Nonce_-9", "v1.a.0.-.0.0.n"})
    {
        auto const parsed = parse_request_id(text);
        CHECK(parsed.has_value());
        CHECK_EQUAL(text, to_text(parsed.value()));
    }
    CHECK_FALSE(parse_request_id("v1.a.0.-.0.0.n").value().issued.witness.has_value());
}

// Guards against accepting two texts for one id: ledgers are keyed by the text and would treat them
// as two requests.
TEST(request_id, only_the_canonical_text_is_accepted)
{
    std::string const long_name(max_name_length + 1, 'x');
    for (std::string const& text : {std::string{},
                                    std::string{"v1"},
                                    std::string{"v1.a.1.b.2.3"},
                                    std::string{"v1.a.1.b.2.3."},
                                    std::string{"v1.a.1.b.2.3.n.n"},
                                    std::string{"v1.a.01.b.2.3.n"},
                                    std::string{"v1.a.1.b.2.03.n"},
                                    std::string{"v1.a.+1.b.2.3.n"},
                                    std::string{"v1.a.-1.b.2.3.n"},
                                    std::string{" v1.a.1.b.2.3.n"},
                                    std::string{"v1.a.1.b.2.3.n "},
                                    std::string{"V1.a.1.b.2.3.n"},
                                    std::string{"v1.a.18446744073709551616.b.2.3.n"},
                                    std::string{"v1.a.1.b.2.4294967296.n"},
                                    std::string{"v1.a.1.a.2.3.n"},
                                    std::string{"v1.-.1.b.2.3.n"},
                                    std::string{"v1.a.1.-.1.3.n"},
                                    std::string{"v1.a.1..2.3.n"},
                                    std::string{"v1.a.1.b.2.3.n\n"},
                                    std::string{"v1.a.1.b.2.3.\xc3\xa4"},
                                    "v1." + long_name + ".1.b.2.3.n",
                                    "v1.a.1.b.2.3." + long_name,
                                    std::string(max_request_id_length + 1, 'v')})
    {
        auto const parsed = parse_request_id(text);
        CHECK_TEXT(!parsed.has_value(), text.c_str());
        CHECK_TEXT(parsed.error().kind == error_kind::bad_request, text.c_str());
    }
}

// Guards against reporting "not run" for an id that an entry of another version may accept.
TEST(request_id, other_versions_are_unsupported_and_not_malformed)
{
    for (auto const* text : {"v2.a.1.b.2.3.n", "v10.x", "v0.a.1"})
    {
        CHECK(parse_request_id(text).error().kind == error_kind::unsupported_version);
    }
}
