#include "fuchsiaproxy/standin/caller.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "../testing/asio_runner.hpp"
#include "fuchsiaproxy/standin/http_server.hpp"
#include "fuchsiaproxy/standin/upstream.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using nlohmann::json;
using standin::server_request;

namespace
{

/// How a scripted entry responds to a request.
enum class reply
{
    run,
    run_wrong,
    not_run,
    may_have_run,
    already_run,
    close
};

/// Entry that answers requests with scripted replies; the last reply is repeated.
class scripted_entry
{
public:
    scripted_entry(boost::asio::io_context& io, std::string name)
        : server(io, {"127.0.0.1", 0},
                 [this](server_request const& request, auto const& it) { handle(request, *it); }),
          name_(std::move(name))
    {
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server.endpoint().port);
    }

    json directory = json::array();
    std::vector<reply> script{reply::run};
    std::vector<std::string> ids;
    standin::http_server server;

private:
    void handle(server_request const& request, standin::server_exchange& exchange)
    {
        if (request.path == "/lookup")
        {
            exchange.answer(200, json{{"ttl_ms", 5000}, {"entries", directory}}.dump());
            return;
        }
        auto const n = std::min(ids.size(), script.size() - 1);
        ids.push_back(standin::field_of(request, "Request-Id"));
        answer(script[n], request, exchange);
    }

    void answer(reply how, server_request const& request, standin::server_exchange& exchange) const
    {
        auto const body = json{{"request_id", how == reply::run_wrong ? "other" : ids.back()},
                               {"body_checksum", standin::checksum(request.body)}}
                              .dump();
        switch (how)
        {
        case reply::run:
        case reply::run_wrong:
            exchange.answer(200, body, {{"Request-Outcome", "run"}});
            break;
        case reply::not_run:
            exchange.answer(503, "{}", {{"Request-Outcome", "not-run"}});
            break;
        case reply::may_have_run:
            exchange.answer(504, "{}", {{"Request-Outcome", "may-have-run"}});
            break;
        case reply::already_run:
            exchange.answer(409, "{}", {{"Request-Outcome", "already-run"}});
            break;
        case reply::close:
            exchange.abort();
            break;
        }
    }

    std::string name_;
};

} // namespace

TEST_GROUP(caller_stand_in)
{
    boost::asio::io_context io;
    scripted_entry first{io, "e1"};
    scripted_entry second{io, "e2"};

    standin::caller_report run(double order_share, std::size_t count = 1)
    {
        json const directory = {{{"id", "e1"}, {"address", first.address()}, {"ticket", "v1.e1"}},
                                {{"id", "e2"}, {"address", second.address()}, {"ticket", "v1.e2"}}};
        first.directory = directory;
        second.directory = directory;
        standin::caller_settings settings;
        settings.entries = {first.server.endpoint()};
        settings.count = count;
        settings.rate = 1000;
        settings.order_share = order_share;
        // Long enough that the results do not depend on the speed of the machine.
        settings.deadline = std::chrono::seconds(15);
        std::optional<standin::caller_report> out;
        standin::load_generator load(io, settings);
        load.start([&out](standin::caller_report it) { out = std::move(it); });
        CHECK(testing::run_until(io, [&out] { return out.has_value(); }));
        return *out;
    }
};

// Guards against a caller that retries an order which may have run, or that does not retry one
// which did not run.
TEST(caller_stand_in, orders_are_resolved_before_they_are_retried)
{
    struct row
    {
        std::vector<reply> first;
        std::vector<reply> second;
        std::uint64_t standin::request_report::*count;
        std::size_t ids;
    };
    using r = standin::request_report;
    row const rows[] = {
        {{reply::run}, {reply::run}, &r::on_time, 1},
        {{reply::run_wrong}, {reply::run}, &r::wrong, 1},
        {{reply::not_run}, {reply::run}, &r::on_time, 2},
        {{reply::may_have_run}, {reply::run}, &r::unknown, 1},
        {{reply::close}, {reply::already_run}, &r::already_run, 1},
        {{reply::close}, {reply::may_have_run}, &r::unknown, 1},
        {{reply::close, reply::run}, {reply::not_run}, &r::on_time, 2},
        {{reply::close}, {reply::close}, &r::unknown, 1},
        {{reply::not_run}, {reply::not_run}, &r::not_run, 4},
    };
    for (auto const& it : rows)
    {
        first.script = it.first;
        second.script = it.second;
        first.ids.clear();
        second.ids.clear();
        auto const report = run(1);
        CHECK_EQUAL(1U, report.orders.sent);
        CHECK_EQUAL(1U, report.orders.*it.count);
        std::set<std::string> ids(first.ids.begin(), first.ids.end());
        ids.insert(second.ids.begin(), second.ids.end());
        CHECK_EQUAL(it.ids, ids.size());
    }
}

// Guards against a look-up that is not retried after a lost answer or an unknown outcome.
TEST(caller_stand_in, lookups_are_retried_at_the_next_entry)
{
    first.script = {reply::close};
    second.script = {reply::may_have_run, reply::run};
    auto const report = run(0);
    CHECK_EQUAL(1U, report.lookups.on_time);
    CHECK_EQUAL(3U, report.further_attempts);
}

// Guards against reporting "not run" for a look-up that may have run.
TEST(caller_stand_in, lookup_without_an_answer_is_unknown)
{
    first.script = {reply::not_run};
    second.script = {reply::close};
    CHECK_EQUAL(1U, run(0).lookups.unknown);
    second.script = {reply::not_run};
    CHECK_EQUAL(1U, run(0).lookups.not_run);
}

// Guards against requests that are missing from the report, and against querying the list of
// entries for each request.
TEST(caller_stand_in, every_request_is_counted_once)
{
    auto const report = run(0.3, 200);
    CHECK_EQUAL(200U, report.lookups.sent + report.orders.sent);
    CHECK_EQUAL(200U, report.lookups.on_time + report.orders.on_time);
    CHECK_EQUAL(report.orders.sent, report.order_outcomes.size());
    CHECK_EQUAL(1U, report.entry_queries);
    CHECK_EQUAL(200U, first.ids.size());
    auto const text = json::parse(standin::to_json(report));
    CHECK_EQUAL(report.orders.sent, text.at("order_ids").at("run").size());
    CHECK(standin::to_table(report).find("on time") != std::string::npos);
}
