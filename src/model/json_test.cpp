#include "fixture_test.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "fuchsiaproxy/model/validate.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::model;
using test::two_members;

TEST_GROUP(configuration_json){};

// Guards against a field that is encoded but not decoded, or decoded but not encoded.
TEST(configuration_json, canonical_text_is_unchanged_by_a_round_trip)
{
    auto c = two_members();
    c.delays = {std::chrono::microseconds(500), std::chrono::milliseconds(20),
                std::chrono::milliseconds(3)};
    c.joins = {test::join_of("three")};
    c.joins[0].approvals = {base::organisation_id("one")};
    c.shifts = {test::shift_of("s-a", "s-b", 10)};
    c.drains = {test::drain_of("t-a", "two")};
    c.services[0].shed_statuses = {503, 429};
    c.caps[0].from.region = base::region_id("r");
    c.caps[0].to.place = base::place_id("s-b");
    auto const text = to_json(c);
    auto const read = parse_configuration(text);
    CHECK(read.has_value());
    CHECK_EQUAL(text, to_json(read.value()));
    std::reverse(c.places.begin(), c.places.end());
    CHECK_EQUAL(text, to_json(c));
}

// Guards against error messages that lack the path of the error or the expected value.
TEST(configuration_json, errors_contain_the_path_and_the_expected_value)
{
    struct row
    {
        char const* text;
        char const* message;
    };
    for (auto const& it : {
             row{"", "line 1, column 1: expected valid JSON"},
             row{"{\n  \"zones\": [}", "line 2, column 13: expected valid JSON"},
             row{"[]", "/: expected an object, found an array"},
             row{R"({"zone":[]})", "/zone: unknown field"},
             row{R"({"zones":{}})", "/zones: expected an array, found an object"},
             row{R"({"zones":[{"id":"a"}]})", "/zones/0/region: expected this field"},
             row{R"({"zones":[{"id":"a b","region":"r"}]})", "/zones/0/id: expected an id"},
             row{R"({"zones":[{"id":"a","id":"b","region":"r"}]})", "expected each field once"},
             row{R"({"zones":[{"id":"a","region":"r"},{"id":"a","region":"r"}]})",
                 "/zones/1/id: expected an id that no earlier element has, found \"a\""},
             row{R"({"services":[{"id":"s","organisation":"o","classes":[]}]})",
                 "/services/0/classes: expected at least one class"},
             row{R"({"services":[{"id":"s","organisation":"o","classes":[{"name":"x",)"
                 R"("idempotent":true,"weight":0,"deadline_ms":1}]}]})",
                 "/services/0/classes/0/weight: expected an integer from 1 to 1000000, found 0"},
             row{R"({"services":[{"id":"s","organisation":"o","objective":1,"classes":[{"name":)"
                 R"("x","idempotent":true,"weight":1,"deadline_ms":1}]}]})",
                 "/services/0/objective: expected a number above 0 and below 1, found 1"},
             row{R"({"places":[{"id":"p","service":"s","zone":"z","upstreams":[{"id":"u",)"
                 R"("address":"localhost","port":1,"slots":1,"max_connections":1}]}]})",
                 "/places/0/upstreams/0/address: expected an IPv4 or IPv6 address"},
             row{R"({"places":[{"id":"p","service":"s","zone":"z","upstreams":[{"id":"u",)"
                 R"("address":"::1","port":65536,"slots":1,"max_connections":1}]}]})",
                 "/places/0/upstreams/0/port: expected an integer from 1 to 65535"},
             row{R"({"caps":[{"id":"c","organisation":"o","from":{"region":"r","place":"p"},)"
                 R"("to":{},"unit":"requests_per_second","limit":1,"split":{}}]})",
                 "/caps/0/from: expected a region or a place, not both"},
             row{R"({"caps":[{"id":"c","organisation":"o","from":{},"to":{},)"
                 R"("unit":"requests_per_second","limit":-1,"split":{}}]})",
                 "/caps/0/limit: expected an integer from 0"},
             row{R"({"version":1.5})", "/version: expected an integer"},
             row{"{\"zones\":\"\xff\"}", "expected valid JSON"},
         })
    {
        auto const read = parse_configuration(it.text);
        CHECK_FALSE(read.has_value());
        CHECK(read.error().kind == base::error_kind::invalid_configuration);
        STRCMP_CONTAINS(it.message, read.error().message.c_str());
    }
    CHECK_FALSE(parse_configuration(std::string(100'000, '[')).has_value());
}

// Guards against changes that are altered by encoding and decoding.
TEST(configuration_json, changes_are_unchanged_by_a_round_trip_and_errors_contain_the_path)
{
    auto changes = diff(two_members(), configuration{});
    auto const added = diff(configuration{}, two_members());
    changes.insert(changes.end(), added.begin(), added.end());
    changes.emplace_back(set_delays{});
    changes.emplace_back(approve_join{base::organisation_id("x")});
    changes.emplace_back(withdraw_approval{base::organisation_id("x")});
    auto const text = to_json(changes);
    auto const read = parse_changes(text);
    CHECK(read.has_value());
    CHECK_EQUAL(text, to_json(read.value()));
    auto const refused = parse_changes(R"([{"remove":{"place":"a"}},{"put":{"zone":{"id":"a"}}}])");
    STRCMP_CONTAINS("/1/put/zone/region: expected this field", refused.error().message.c_str());
    STRCMP_CONTAINS("/0: expected an object with exactly one of",
                    parse_changes("[{}]").error().message.c_str());
}

// Guards against undetected duplicate ids in different files, and error messages without the file
// name.
TEST(configuration_json, declarations_in_several_documents_are_merged)
{
    std::string const zone = R"({"zones":[{"id":"a","region":"r"}]})";
    auto const read = parse_declarations({{"1.json", zone}, {"2.json", zone}});
    CHECK(read.has_value());
    STRCMP_CONTAINS("/zones/a: expected an id that is declared once",
                    validate(read.value()).error().message.c_str());
    STRCMP_CONTAINS("2.json: /zones: expected an array",
                    parse_declarations({{"1.json", zone}, {"2.json", R"({"zones":1})"}})
                        .error()
                        .message.c_str());
}

namespace
{

configuration load_example(std::string const& name)
{
    std::vector<named_document> documents;
    auto const folder = std::filesystem::path(FUCHSIAPROXY_SOURCE_DIR) / "examples";
    for (auto const& it : std::filesystem::directory_iterator(folder / name))
    {
        std::ifstream in(it.path());
        std::stringstream text;
        text << in.rdbuf();
        documents.push_back({it.path().filename().string(), text.str()});
    }
    auto read = parse_declarations(documents);
    STRCMP_EQUAL("", read.has_value() ? "" : read.error().message.c_str());
    auto const checked = validate(read.value());
    STRCMP_EQUAL("", checked.has_value() ? "" : checked.error().message.c_str());
    return read.value();
}

std::string upstream_counts(configuration const& c)
{
    std::string out;
    for (auto const& s : c.services)
    {
        std::size_t n = 0;
        for (auto const& p : c.places)
        {
            n += p.service == s.id ? p.upstreams.size() : 0;
        }
        out += s.id.value() + " " + std::to_string(n) + " ";
    }
    return out;
}

} // namespace

// Guards against examples that no longer match the formats or the deployments of the design page.
TEST(configuration_json, examples_are_valid_and_have_the_size_of_the_deployments)
{
    CHECK_EQUAL(std::string("catalog 20 orders 14 cutting 12 "),
                upstream_counts(load_example("varjuvork")));
    CHECK_EQUAL(std::string("catalogue 16 reservations 12 tresorerie 12 "),
                upstream_counts(load_example("pamplemousses")));
}
