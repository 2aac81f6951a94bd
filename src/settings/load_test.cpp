#include "fuchsiaproxy/settings/load.hpp"

#include <chrono>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;

namespace
{

std::string const valid = R"({
  "instance": {"id": "harju-a-1", "region": "harju", "zone": "harju-a"},
  "listen": {"callers": {"address": "127.0.0.1", "port": 8080},
             "peers": {"address": "127.0.0.1", "port": 8081},
             "operators": {"address": "127.0.0.1", "port": 8082}},
  "platform": {"store": {"address": "127.0.0.1", "port": 9000},
               "instances": {"address": "127.0.0.1", "port": 9000}},
  "peers": {"secret": "0123456789abcdef"}
})";

struct bad_case
{
    char const* path;
    char const* value;
    char const* expected;
};

std::string message_for(std::string const& path, std::string const& value)
{
    auto const loaded = settings::load(valid, {{path, value}});
    return loaded ? "accepted" : loaded.error().message;
}

} // namespace

TEST_GROUP(settings_load){};

// Guards against defaults that are not applied, and against durations in the wrong unit.
TEST(settings_load, a_minimal_file_gets_the_defaults)
{
    auto const loaded = settings::load(valid, {});
    CHECK(loaded.has_value());
    CHECK(loaded.value().timing.claim_timeout == std::chrono::milliseconds(250));
    LONGS_EQUAL(4096, loaded.value().limits.caller_connections);
    LONGS_EQUAL(8080, loaded.value().listen.callers.port);
}

// Guards against a daemon that starts with a setting of the wrong type, an unknown setting or a
// value out of range.
TEST(settings_load, each_error_names_the_path_and_the_expected_value)
{
    std::vector<bad_case> const cases{
        {"listen.callers.port", "\"x\"", "/listen/callers/port: expected an integer from 0"},
        {"listen.callers.port", "70000", "/listen/callers/port: expected an integer from 0"},
        {"listen.callers.prot", "1", "/listen/callers/prot: unknown setting"},
        {"instance.id", "\"a b\"", "/instance/id: expected a string that matches"},
        {"instance", "{}", "/instance/zone: missing, expected a string"},
        {"peers.secret", "\"short\"", "/peers/secret: expected a string of at least 16"},
        {"log.level", "\"loud\"", "/log/level: expected one of"},
        {"timing.claim_timeout_ms", "1.5", "/timing/claim_timeout_ms: expected an integer"},
        {"limits", "[]", "/limits: expected an object"},
        {"colour", "1", "/colour: unknown setting"},
    };
    for (auto const& it : cases)
    {
        STRCMP_CONTAINS(it.expected, message_for(it.path, it.value).c_str());
    }
}

// Guards against a key that is set twice, of which the JSON parser would silently ignore one value.
TEST(settings_load, a_duplicate_key_and_broken_json_are_errors)
{
    STRCMP_CONTAINS("set twice",
                    settings::load(R"({"seed": 1, "seed": 2})", {}).error().message.c_str());
    STRCMP_CONTAINS("not valid JSON", settings::load("{", {}).error().message.c_str());
}

// Guards against an order of precedence other than the documented one.
TEST(settings_load, command_line_overrides_environment_and_environment_overrides_file)
{
    auto overrides = settings::overrides_from_environment(
        {"PATH=/bin", "FUCHSIAPROXY_LISTEN__CALLERS__PORT=1", "FUCHSIAPROXY_SEED=5"});
    overrides.push_back(settings::parse_override("listen.callers.port=2").value());
    auto const loaded = settings::load(valid, overrides);
    CHECK(loaded.has_value());
    LONGS_EQUAL(2, loaded.value().listen.callers.port);
    LONGS_EQUAL(5, loaded.value().seed);
}

// Guards against a reference page that lacks a setting or describes an earlier version of it.
// `fuchsiad --settings-reference > docs/settings.md` regenerates the page.
TEST(settings_load, reference_page_matches_docs)
{
    std::ifstream in(FUCHSIAPROXY_SOURCE_DIR "/docs/settings.md");
    std::string const page{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    STRCMP_EQUAL(settings::reference_page().c_str(), page.c_str());
}
