#include "fixture_test.hpp"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "fuchsiaproxy/model/json.hpp"
#include "fuchsiaproxy/operators/console.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::operators;
using test::fault;

namespace
{

/// Passes requests to the router in the same process, without a connection.
class direct_transport : public api_transport
{
public:
    explicit direct_transport(api_router& router) : router_(router) {}

    base::result<api_answer> send(api_request const& request) override
    {
        api_answer out;
        router_.handle(request, [&out](api_answer it) { out = std::move(it); });
        return out;
    }

private:
    api_router& router_;
};

/// Folder that is removed by the destructor.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "fuchsiactl-XXXXXX").string();
        path_ = mkdtemp(name.data());
    }
    ~temporary_folder()
    {
        std::filesystem::remove_all(path_);
    }
    std::string write(std::string const& name, std::string const& text) const
    {
        std::ofstream(path_ + "/" + name) << text;
        return path_ + "/" + name;
    }
    std::string const& path() const
    {
        return path_;
    }

private:
    std::string path_;
};

} // namespace

TEST_GROUP(console)
{
    test::fake_store store;
    test::fake_daemon daemon{store};
    configuration_service service{store};
    api_router router{{service, daemon, [] { return std::string(); },
                       [] { return model::wall_time(std::chrono::seconds(60)); },
                       [](auto const& call) { call(); }}};
    std::ostringstream out;
    std::ostringstream err;
    std::string id = "one-op";
    std::string repeated_id;
    int ids = 0;
    bool json = false;
    int pauses = 0;
    temporary_folder folder;

    int run(std::string const& text)
    {
        out.str("");
        err.str("");
        console it({out, err,
                    [this]() -> base::result<std::unique_ptr<api_transport>>
                    { return std::unique_ptr<api_transport>(new direct_transport(router)); },
                    base::operator_id(id),
                    [this](auto const&) -> base::result<std::string>
                    { return std::string(id == "one-op" ? test::key_of_one : test::key_of_two); },
                    [](auto const&) -> base::result<std::string>
                    { return std::string("a new and long key"); },
                    [this] { return base::command_id("c" + std::to_string(++ids)); },
                    base::command_id(repeated_id), [this](auto) { ++pauses; }, json});
        return it.run(text);
    }

    std::uint64_t version()
    {
        return test::read(store).head.version.value();
    }

    void expect(int code, std::string const& text, char const* output)
    {
        CHECK_EQUAL_TEXT(code, run(text), (text + ": " + err.str()).c_str());
        STRCMP_CONTAINS(output, (code == 0 ? out : err).str().c_str());
    }
};

// Guards against commands with a wrong effect or a wrong output.
TEST(console, each_command_has_its_documented_effect)
{
    auto c = test::two_members();
    folder.write("all.json", model::to_json(c));
    expect(0, "check " + folder.path(), "valid: 2 services, 4 places, 0 caps");
    expect(0, "bootstrap " + folder.path(), "version 1 is accepted");
    expect(0, "diff " + folder.path(), "no changes against version 1");
    expect(0, "apply " + folder.path(), "no changes against version 1");
    CHECK_EQUAL(std::uint64_t{1}, version());
    c.services[0].objective = 0.9;
    c.services[1].objective = 0.9; // Owned by another organisation, so `apply` ignores it.
    folder.write("all.json", model::to_json(c));
    expect(0, "diff " + folder.path(), "change service \"s-one\"\n");
    expect(0, "apply " + folder.path(), "version 2 is accepted");
    expect(0, "drain one-a", "add drain \"one-a\"\nversion 3 is accepted");
    expect(0, "show places where drained = yes", "one-a  s-one    a             1      4  yes");
    expect(0, "undrain one-a", "version 4");
    expect(0, "shift one-a to one-b percent 20", "add shift \"one-a-to-one-b\"");
    expect(0, "reverse shift one-a-to-one-b", "add shift \"one-b-to-one-a\"");
    expect(0, "show shifts", "one-b-to-one-a  one           s-one    one-b  one-a       20");
    expect(0, "stop shift one-b-to-one-a; export", "\"version\": 7");
    auto const join =
        folder.write("join.txt", R"({"joins":[{"id":"three","operators":[{"id":"t",)"
                                 R"("salt":")" +
                                     std::string(32, '0') + R"(","hash":")" + std::string(64, '0') +
                                     R"("}],"approvals":[]}]})");
    expect(0, "join " + join + "; approve three; show joins", "three         one        two");
    expect(0, "withdraw three; show joins", "three                    one two");
    expect(0, "history 1", "10  1970-01-01T00:01:00.000Z  one-op    one");
    expect(0, "explain s-one GET /x", "class other, home place one-a");
    expect(0, "key change", "change member \"one\"");
    CHECK(hash_key("a new and long key", test::read(store).value->members[0].operators[0].salt) ==
          test::read(store).value->members[0].operators[0].hash);
}

// Guards against rejected commands that exit with code 0 or change the configuration.
TEST(console, rejected_commands_report_an_error_and_change_nothing)
{
    test::bootstrap_store(store);
    auto c = test::two_members();
    c.places[0].zone = base::availability_zone_id("x");
    folder.write("all.json", model::to_json(c));
    struct row
    {
        std::string text;
        int code;
        char const* message;
    };
    for (auto const& it : {
             row{"drain", 2, "invalid_command: line 1, column 6: expected a place"},
             row{"drain one-a; nonsense", 2, "line 1, column 14: expected one of"},
             row{"check " + folder.path(), 3, "/places/one-a/zone: expected a declared zone"},
             row{"apply " + folder.path(), 3, "/places/one-a/zone: expected a declared zone"},
             row{"bootstrap " + folder.path(), 3, "/places/one-a/zone: expected a declared zone"},
             row{"check " + folder.path() + "/none", 3, "not_found"},
             row{"drain x", 3, "place \"x\" does not exist"},
             row{"drain two-a", 6, "belongs to \"two\""},
             row{"undrain one-a", 3, "place \"one-a\" is not drained"},
             row{"stop shift x", 3, "shift \"x\" does not exist"},
             row{"shift one-a to two-a percent 1", 3, "expected a place of service \"s-one\""},
             row{"approve x", 3, "/joins/x: expected a join request"},
             row{"explain x GET /", 3, "unknown_service"},
             row{"show caps where x = 1", 2, "column \"x\" does not exist, expected one of: cap"},
             row{"show places where slots = many", 2, "expected a number, found \"many\""},
             row{"wait 1", 5, "not in force after 10 s at: (no entry is known)"},
             row{"report burn to /nowhere/x", 2, "/nowhere/x: expected a file"},
         })
    {
        expect(it.code, it.text, it.message);
    }
    id = "nobody";
    expect(6, "export", "unauthenticated");
    json = true;
    expect(6, "export", R"({"error":"unauthenticated","message")");
    CHECK_EQUAL(std::uint64_t{1}, version());
}

// Guards against a change that is lost or applied twice after an attempt with an unknown outcome.
TEST(console, a_change_with_an_unknown_outcome_is_repeated_with_its_id)
{
    test::bootstrap_store(store);
    store.head_writes = {fault::lost_after};
    // The first reads of `drain` and of the service succeed. The four reads that determine the
    // outcome of the write fail, and so do those of the two repeated attempts.
    store.head_reads = {fault::none, fault::none};
    store.head_reads.insert(store.head_reads.end(), 6, fault::down);
    expect(5, "drain one-a", "\"c1\" may have been accepted, repeat it with --command-id c1");
    CHECK(store.head_reads.empty());
    repeated_id = "c1";
    expect(0, "drain one-a", "version 2 is accepted already, by an earlier attempt");
    CHECK_EQUAL(std::uint64_t{2}, version());
}

// Guards against `wait` ending before all entries have the version, or not at all.
TEST(console, wait_ends_when_all_entries_have_the_version)
{
    test::bootstrap_store(store);
    daemon.known_entries.resize(2);
    daemon.known_entries[0].info.id = base::instance_id("e1");
    daemon.known_entries[1].info.id = base::instance_id("e2");
    daemon.known_entries[0].info.version = base::config_version(1);
    expect(5, "wait 1 timeout 1", "version 1 is not in force after 1 s at: e2");
    CHECK_EQUAL(5, pauses);
    daemon.known_entries[1].info.version = base::config_version(2);
    expect(0, "wait 1", "version 1 is in force");
}

// Guards against `wait` failing immediately after a bootstrap, while the queried entry has not yet
// adopted the configuration.
TEST(console, wait_continues_while_the_entry_has_no_configuration)
{
    expect(5, "wait 1 timeout 1", "the queried entry, which has no configuration yet");
    CHECK_EQUAL(5, pauses);
}

// Guards against a burn report that omits the missing entries, and HTML that loads other files.
TEST(console, the_burn_report_has_three_forms)
{
    test::bootstrap_store(store);
    daemon.known_entries.resize(1);
    daemon.known_entries[0].info.id = base::instance_id("lost-entry");
    daemon.known_counters = {{base::instance_id("e1"),
                              base::incarnation(1),
                              {{base::service_id("s-one"), "other", 1000, 997, 1000, 997}}}};
    router.sample_burn();
    expect(0, "report burn", "s-one    99.900 %   99.700 %      997       3  -200.000 %");
    STRCMP_CONTAINS("Missing from the sums: lost-entry", out.str().c_str());
    expect(0, "report burn as json", R"("credit_missed": 3)");
    auto const file = folder.path() + "/burn.html";
    expect(0, "report burn as html to " + file, "");
    std::stringstream html;
    html << std::ifstream(file).rdbuf();
    STRCMP_CONTAINS("<svg", html.str().c_str());
    STRCMP_CONTAINS("lost-entry", html.str().c_str());
    CHECK(html.str().find("http") == std::string::npos);
}
