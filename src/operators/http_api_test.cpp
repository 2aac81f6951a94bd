#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "fixture_test.hpp"

#include <thread>

#include "fuchsiaproxy/metadata/http_client.hpp"
#include "fuchsiaproxy/model/json.hpp"
#include "fuchsiaproxy/operators/api_client.hpp"
#include "fuchsiaproxy/operators/http_api.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::operators;

namespace
{

struct running_api
{
    explicit running_api(bool bootstrapped)
    {
        if (bootstrapped)
        {
            test::bootstrap_store(store);
        }
        http_api_options options;
        options.max_body_bytes = 20'000;
        api = std::make_unique<http_api>(context, options, service, daemon,
                                         [] { return std::string("metric 1\n"); });
        address = "127.0.0.1:" + std::to_string(api->start().value());
        thread = std::thread([this] { context.run(); });
    }
    ~running_api()
    {
        context.stop();
        thread.join();
    }

    api_answer send(std::string const& method, std::string const& target,
                    std::string const& key = "", std::string const& body = "")
    {
        auto const transport = make_http_transport(address, std::chrono::seconds(30)).value();
        auto const authorization = key.empty() ? "" : basic_authorization("one-op", key);
        return transport->send({method, target, authorization, body}).value();
    }

    test::fake_store store;
    test::fake_daemon daemon{store};
    configuration_service service{store};
    boost::asio::io_context context;
    std::unique_ptr<http_api> api;
    std::string address;
    std::thread thread;
};

} // namespace

TEST_GROUP(http_api){};

// Guards against requests that are answered without a key or with the wrong status, and rejected
// requests that change the configuration.
TEST(http_api, rejected_requests_have_the_right_status_and_change_nothing)
{
    running_api it(true);
    auto const* key = test::key_of_one;
    auto const change =
        [](std::string const& command, std::string const& version, std::string const& changes)
    {
        return R"({"command":")" + command + R"(","base_version":)" + version + R"(,"changes":)" +
               changes + "}";
    };
    std::string const removal = R"([{"remove":{"place":"one-a"}}])";
    struct row
    {
        char const* method;
        char const* target;
        char const* key;
        std::string body;
        unsigned status;
        char const* text;
    };
    for (auto const& r : {
             row{"GET", "/healthz", "", "", 200, "ok"},
             row{"GET", "/readyz", "", "", 200, "ok"},
             row{"GET", "/metrics", "", "", 200, "metric 1"},
             row{"GET", "/v2", key, "", 404, "path /v2 does not exist"},
             row{"POST", "/v1/history", key, "", 400, "expected method GET, found POST"},
             row{"GET", "/v1/changes", key, "", 400, "expected method POST, found GET"},
             row{"GET", "/v1/history", "", "", 401, "unauthenticated"},
             row{"GET", "/v1/history", "wrong key of one", "", 401, "unauthenticated"},
             row{"GET", "/v1/configuration?source=x", key, "", 400, "source: expected"},
             row{"GET", "/v1/explain?service=s-one", key, "", 400, "service, method and path"},
             row{"GET", "/v1/explain?service=x&method=GET&path=%2F", key, "", 404,
                 "unknown_service"},
             row{"POST", "/v1/changes", key, "{", 400, "/: expected a JSON object"},
             row{"POST", "/v1/changes", key, R"({"command":"c"})", 400, "/base_version: expected"},
             row{"POST", "/v1/changes", key, change("c", "1", "[{}]"), 422, "/changes/0: expected"},
             row{"POST", "/v1/changes", key, change("c d", "1", removal), 400, "command: expected"},
             row{"POST", "/v1/changes", key, change("c", "7", removal), 409, "conflict"},
             row{"POST", "/v1/changes", key, change("c", "1", R"([{"remove":{"place":"two-a"}}])"),
                 403, "belongs to"},
             row{"POST", "/v1/bootstrap", key, std::string(9'000, '['), 400, "levels of nesting"},
             row{"POST", "/v1/bootstrap", key,
                 R"({"command":"c","configuration":)" + std::string(9'000, '['), 400,
                 "levels of nesting"},
             row{"POST", "/v1/changes", key, std::string(30'000, ' '), 413, "at most 20000 bytes"},
         })
    {
        auto const answer = it.send(r.method, r.target, r.key, r.body);
        CHECK_EQUAL_TEXT(r.status, answer.status, r.target);
        STRCMP_CONTAINS(r.text, answer.body.c_str());
    }
    CHECK(it.store.values[metadata::configuration_head_key].revision == metadata::key_revision(1));
    auto const accepted = it.send("POST", "/v1/changes", key, change("c", "1", removal));
    CHECK_EQUAL(200U, accepted.status);
    STRCMP_CONTAINS(R"("replayed":false)", accepted.body.c_str());
    STRCMP_CONTAINS(R"("version":2)", accepted.body.c_str());
    STRCMP_CONTAINS(R"("replayed":true)",
                    it.send("POST", "/v1/changes", key, change("c", "1", removal)).body.c_str());
}

// Guards against readiness before a configuration exists, and a bootstrap without a valid key.
TEST(http_api, an_empty_store_accepts_only_a_bootstrap_by_a_declared_operator)
{
    running_api it(false);
    CHECK_EQUAL(503U, it.send("GET", "/readyz").status);
    CHECK_EQUAL(503U, it.send("GET", "/v1/history", test::key_of_one).status);
    auto const body =
        R"({"command":"b","configuration":)" + model::to_json(test::two_members()) + "}";
    CHECK_EQUAL(401U, it.send("POST", "/v1/bootstrap", "wrong key of one", body).status);
    CHECK_EQUAL(200U, it.send("POST", "/v1/bootstrap", test::key_of_one, body).status);
    CHECK_EQUAL(200U, it.send("GET", "/readyz").status);
    auto const shown = it.send("GET", "/v1/configuration", test::key_of_one).body;
    // The key hashes of the other organisation are masked.
    auto const c = test::two_members();
    STRCMP_CONTAINS(c.members[0].operators[0].hash.c_str(), shown.c_str());
    CHECK(shown.find(c.members[1].operators[0].hash) == std::string::npos);
}

// Guards against a request that ends the process: an empty chunked body that arrives in pieces
// failed an assertion of the parser, before the key was checked.
TEST(http_api, an_empty_chunked_body_in_pieces_is_read)
{
    running_api it(true);
    auto const at = metadata::parse_endpoint(it.address);
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket caller(io);
    caller.connect({boost::asio::ip::make_address(at.address), at.port});
    caller.set_option(boost::asio::ip::tcp::no_delay(true));
    for (std::string const piece :
         {"POST /v1/bootstrap HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n",
          "\r", "\n"})
    {
        boost::asio::write(caller, boost::asio::buffer(piece));
        // The answer to a later request on another connection shows that the piece has been read.
        CHECK_EQUAL(200U, it.send("GET", "/healthz").status);
    }
    std::string answer;
    boost::asio::read_until(caller, boost::asio::dynamic_buffer(answer), "\r\n\r\n");
    CHECK_EQUAL(std::string("HTTP/1.1 4"), answer.substr(0, 10));
}

// Guards against malformed addresses and unreachable entries that are not reported as errors.
TEST(http_api, the_client_reports_malformed_addresses_and_unreachable_entries)
{
    for (auto const* address : {"", "localhost:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000"})
    {
        CHECK(make_http_transport(address, std::chrono::seconds(1)).error().kind ==
              base::error_kind::invalid_command);
    }
    std::string closed;
    {
        running_api it(false);
        closed = it.address;
    }
    auto const transport = make_http_transport(closed, std::chrono::seconds(30)).value();
    CHECK(transport->send({"GET", "/healthz", "", ""}).error().kind ==
          base::error_kind::peer_unreachable);
}
