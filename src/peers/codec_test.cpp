#include "fuchsiaproxy/peers/codec.hpp"

#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fuchsiaproxy/encoding/cbor_structure.hpp"
#include "message_samples.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using base::error_kind;
using nlohmann::json;
using peers::decode;
using peers::encode;

namespace
{

std::string cbor(json const& it)
{
    std::string out;
    json::to_cbor(it, out);
    return out;
}

json sample_document()
{
    return {{"v", 1U},           {"type", "claim"}, {"from", "e1"},
            {"incarnation", 5U}, {"seq", 6U},       {"body", {{"request_id", "r"}}}};
}

json with_field(char const* name, json const& value)
{
    auto out = sample_document();
    out[name] = value;
    return out;
}

json without_field(char const* name)
{
    auto out = sample_document();
    out.erase(name);
    return out;
}

std::string nested_arrays(std::size_t levels)
{
    return std::string(levels, '\x81') + '\x01';
}

std::string cbor_with_body(json const& body, char const* type)
{
    auto out = with_field("type", type);
    out["body"] = body;
    return cbor(out);
}

} // namespace

TEST_GROUP(codec){};

// Guards against a field that is lost, swapped or changed by encoding and decoding.
TEST(codec, every_type_is_unchanged_by_a_round_trip)
{
    auto const samples = peers::message_samples();
    CHECK_EQUAL(peers::message_type_count, samples.size());
    for (std::size_t n = 0; n < samples.size(); ++n)
    {
        CHECK_EQUAL(n, samples[n].body.index());
        auto const bytes = encode(samples[n]);
        CHECK(bytes.has_value());
        auto const back = decode(bytes.value());
        CHECK(back.has_value());
        CHECK(back.value().from == samples[n].from);
        CHECK(back.value().sequence == samples[n].sequence);
        CHECK(encode(back.value()).value() == bytes.value());
        auto const document = json::from_cbor(bytes.value());
        CHECK_EQUAL(std::string(peers::type_name(n)), document.at("type").get<std::string>());
    }
    auto const loan_answer = decode(encode(samples[12]).value());
    CHECK(std::get<messages::loan_answer>(loan_answer.value().body).valid_for ==
          std::chrono::milliseconds(1500));
    auto const digest = decode(encode(samples[2]).value());
    CHECK_EQUAL(2U, std::get<messages::digest>(digest.value().body).entries.size());
}

// Guards against malformed input that crashes the decoder or is accepted as a message.
TEST(codec, malformed_input_is_an_error)
{
    struct row
    {
        char const* name;
        std::string bytes;
        error_kind kind;
    };
    auto const good = cbor(sample_document());
    auto const bad = error_kind::bad_message;
    auto const other = error_kind::unsupported_version;
    row const rows[] = {
        {"empty", "", bad},
        {"not a map", cbor(json::array({1U})), bad},
        {"truncated", good.substr(0, good.size() - 1), bad},
        {"trailing byte", good + '\0', bad},
        {"deep array", nested_arrays(1'000'000), bad},
        {"deep array at the size limit", nested_arrays(peers::max_message_bytes - 2), bad},
        {"oversized", cbor(with_field("from", std::string(peers::max_message_bytes, 'a'))), bad},
        {"huge array length", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff", bad},
        {"huge map length", std::string("\xbb\x80\0\0\0\0\0\0\x01", 9), bad},
        {"huge text length", "\x7b\xff\xff\xff\xff\xff\xff\xff\xff", bad},
        {"indefinite array", "\x9f\x01\xff", bad},
        {"tag",
         "\xc0\x61"
         "a",
         bad},
        {"reserved simple value", "\xf8\x20", bad},
        {"integer key", "\xa1\x01\x01", bad},
        {"repeated key", "\xa2\x61v\x01\x61v\x01", bad},
        {"text that is not UTF-8", "\xa1\x61v\x62\xc0\x80", bad},
        {"no version", cbor(without_field("v")), bad},
        {"version as text", cbor(with_field("v", "1")), bad},
        {"negative version", cbor(with_field("v", -1)), bad},
        {"later version", cbor(with_field("v", 2U)), other},
        {"later version with floats", cbor({{"v", 2U}, {"load", 0.5}, {"none", nullptr}}), other},
        {"unknown type", cbor(with_field("type", "gossip")), other},
        {"type as integer", cbor(with_field("type", 1U)), bad},
        {"no sender", cbor(without_field("from")), bad},
        {"negative sequence", cbor(with_field("seq", -1)), bad},
        {"no body", cbor(without_field("body")), bad},
        {"body as array", cbor(with_field("body", json::array())), bad},
        {"unknown field", cbor(with_field("extra", 1U)), bad},
        {"unknown field in the body", cbor_with_body({{"request_id", "r"}, {"x", 1U}}, "claim"),
         bad},
        {"missing field in the body", cbor_with_body({{"request_id", "r"}}, "done"), bad},
        {"more than 32 bits",
         cbor_with_body({{"request_id", "r"}, {"status", 4294967296U}}, "done"), bad},
        {"unknown state",
         cbor_with_body({{"request_id", "r"}, {"status", 0U}, {"state", "lost"}}, "resolution"),
         bad},
        {"list as text",
         cbor_with_body({{"version", 1U},
                         {"revision", 1U},
                         {"full", true},
                         {"entries", ""},
                         {"removed", json::array()},
                         {"leaving", json::array()}},
                        "digest"),
         bad},
        {"duration out of range",
         cbor_with_body({{"number", 1U},
                         {"upstream", "u"},
                         {"slots", 1U},
                         {"valid_for", 9223372036854775808U}},
                        "lend"),
         bad},
    };
    CHECK(decode(good).has_value());
    for (auto const& it : rows)
    {
        auto const out = decode(it.bytes);
        CHECK_TEXT(!out.has_value() && out.error().kind == it.kind, it.name);
    }
}

// Guards against a stack overflow in the recursive CBOR reader on deeply nested input.
TEST(codec, depth_is_limited_before_the_reader_runs)
{
    CHECK(encoding::check_structure(nested_arrays(8)).has_value());
    auto const too_deep = encoding::check_structure(nested_arrays(9));
    CHECK(!too_deep.has_value());
    STRCMP_CONTAINS("too deep", too_deep.error().message.c_str());
}

// Guards against sending a message that the receiver rejects as malformed, which closes the link.
TEST(codec, invalid_messages_are_not_encoded)
{
    messages::envelope it;
    it.body =
        messages::config_push{base::config_version(1), std::string(peers::max_message_bytes, 'x')};
    CHECK(encode(it).error().kind == error_kind::value_too_large);
    it.body = messages::claim{"\xff"};
    CHECK(encode(it).error().kind == error_kind::bad_message);
    it.body = messages::loan_answer{1, base::upstream_id("u"), 1, base::duration(-1)};
    CHECK(encode(it).error().kind == error_kind::bad_message);
}

// Fuzz test: guards against randomly mutated messages that crash the decoder. A mutated message
// that is accepted must be valid, so that it can be encoded and decoded again.
TEST(codec, mutated_messages_never_crash)
{
    constexpr unsigned rounds = 2000;
    std::mt19937_64 random(20261204);
    std::size_t accepted = 0;
    for (auto const& sample : peers::message_samples())
    {
        auto const good = encode(sample).value();
        for (unsigned round = 0; round < rounds; ++round)
        {
            auto bytes = good;
            for (auto n = random() % 4 + 1; n > 0 && !bytes.empty(); --n)
            {
                auto const at = random() % bytes.size();
                switch (random() % 4)
                {
                case 0:
                    bytes[at] = static_cast<char>(random());
                    break;
                case 1:
                    bytes.erase(at, random() % 4 + 1);
                    break;
                case 2:
                    bytes.insert(at, 1, static_cast<char>(random()));
                    break;
                default:
                    bytes[at] = static_cast<char>(bytes[at] ^ (1 << random() % 8));
                    break;
                }
            }
            auto const out = decode(bytes);
            if (out.has_value())
            {
                ++accepted;
                CHECK(decode(encode(out.value()).value()).has_value());
            }
        }
    }
    CHECK(accepted > 0);
}
