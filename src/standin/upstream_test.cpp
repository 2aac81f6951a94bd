#include "fuchsiaproxy/standin/upstream.hpp"

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "../testing/asio_runner.hpp"
#include "service_time.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using nlohmann::json;
using standin::upstream_settings;

namespace
{

constexpr std::uint64_t seed = 7;

upstream_settings one_slot()
{
    upstream_settings out;
    out.slots = 1;
    out.max_queued = 1;
    out.shape = standin::service_time_shape::constant;
    out.service_time = std::chrono::milliseconds(1);
    return out;
}

metadata::http_call work_request(std::string const& id, std::string const& deadline = {})
{
    metadata::http_call out;
    out.method = "POST";
    out.target = "/orders";
    out.fields.push_back({"Request-Id", id});
    if (!deadline.empty())
    {
        out.fields.push_back({"Deadline-Ms", deadline});
    }
    out.body = "payload of " + id;
    return out;
}

metadata::http_call control_request(std::string const& method, std::string const& target)
{
    metadata::http_call out;
    out.method = method;
    out.target = target;
    return out;
}

} // namespace

TEST_GROUP(upstream_stand_in)
{
    boost::asio::io_context io;
    std::shared_ptr<standin::run_journal> journal = std::make_shared<standin::run_journal>();
    standin::upstream_server server{io, {"127.0.0.1", 0}, "u1", one_slot(), seed, journal};
    std::vector<std::unique_ptr<metadata::http_client>> clients;
    std::vector<std::shared_ptr<metadata::http_answer>> answers;

    /// Starts the request id-1, which keeps its slot until `release`.
    std::shared_ptr<metadata::http_answer> start_held()
    {
        server.settings().hold = true;
        auto answer = start(work_request("id-1"));
        wait_for_running(1, 0);
        return answer;
    }

    void release()
    {
        server.settings().hold = false;
        server.release_held();
    }

    /// Starts a call on a new connection. The returned answer is filled in when the call ends.
    std::shared_ptr<metadata::http_answer> start(metadata::http_call call)
    {
        clients.push_back(std::make_unique<metadata::http_client>(io, server.endpoint(),
                                                                  metadata::http_client_limits()));
        auto answer = std::make_shared<metadata::http_answer>();
        answer->failure = "waiting";
        clients.back()->start(std::move(call),
                              [answer](metadata::http_answer it) { *answer = std::move(it); });
        answers.push_back(answer);
        return answer;
    }

    metadata::http_answer wait_for_answer(std::shared_ptr<metadata::http_answer> const& it)
    {
        CHECK(testing::run_until(io, [&it] { return it->failure != "waiting"; }));
        return *it;
    }

    void wait_for_running(std::size_t running, std::size_t queued)
    {
        CHECK(testing::run_until(
            io, [&]
            { return server.counts().running == running && server.counts().queued == queued; }));
    }
};

// Guards against an answer that a caller cannot match to its request.
TEST(upstream_stand_in, answer_identifies_its_request)
{
    auto const answer = wait_for_answer(start(work_request("id-1")));
    CHECK_EQUAL(200U, answer.status);
    auto const body = json::parse(answer.body);
    CHECK_EQUAL(std::string("id-1"), body.at("request_id").get<std::string>());
    CHECK_EQUAL(standin::checksum("payload of id-1"), body.at("body_checksum").get<std::string>());
    CHECK_EQUAL(std::string("cbf29ce484222325"), standin::checksum(""));
}

// Guards against accepting more requests than fit into the slots and the queue.
TEST(upstream_stand_in, full_queue_sheds)
{
    auto const first = start_held();
    auto const second = start(work_request("id-2"));
    wait_for_running(1, 1);
    auto const third = wait_for_answer(start(work_request("id-3")));
    CHECK_EQUAL(503U, third.status);
    CHECK_EQUAL(std::string("1"), metadata::field_of(third, "shed"));
    release();
    CHECK_EQUAL(200U, wait_for_answer(second).status);
    CHECK_EQUAL(1U, server.counts().most_running);
    CHECK_EQUAL(0U, journal->runs_of("id-3"));
}

// Guards against starting a request whose caller has closed the connection.
TEST(upstream_stand_in, closed_connection_cancels_before_the_start)
{
    auto const first = start_held();
    start(work_request("id-2"));
    wait_for_running(1, 1);
    clients.back().reset();
    wait_for_running(1, 0);
    release();
    wait_for_answer(first);
    CHECK_EQUAL(1U, server.counts().cancelled);
    CHECK_EQUAL(0U, journal->runs_of("id-2"));
}

// Guards against confirming the cancellation of a request that has started or starts later.
TEST(upstream_stand_in, cancellation_reports_whether_the_request_started)
{
    auto const first = start_held();
    auto const second = start(work_request("id-2"));
    wait_for_running(1, 1);
    auto const late = wait_for_answer(start(control_request("POST", "/control/cancel/id-1")));
    CHECK_EQUAL(std::string(R"({"started":true,"cancelled":false})"), late.body);
    auto const in_time = wait_for_answer(start(control_request("POST", "/control/cancel/id-2")));
    CHECK_EQUAL(std::string(R"({"started":false,"cancelled":true})"), in_time.body);
    CHECK_EQUAL(503U, wait_for_answer(second).status);
    wait_for_answer(start(control_request("POST", "/control/cancel/id-3")));
    release();
    wait_for_answer(first);
    CHECK_EQUAL(503U, wait_for_answer(start(work_request("id-3"))).status);
    CHECK_EQUAL(1U, journal->total());
}

// Guards against starting a request after its deadline.
TEST(upstream_stand_in, request_past_its_deadline_is_not_started)
{
    auto const first = start_held();
    auto const second = start(work_request("id-2", "1"));
    wait_for_running(1, 1);
    auto const deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(1);
    CHECK(testing::run_until(io, [=] { return std::chrono::steady_clock::now() > deadline; }));
    release();
    CHECK_EQUAL(503U, wait_for_answer(second).status);
    CHECK_EQUAL(1U, server.counts().expired);
    CHECK_EQUAL(0U, journal->runs_of("id-2"));
}

// Guards against a repeated execution that the journal does not count.
TEST(upstream_stand_in, journal_shows_repeated_runs)
{
    wait_for_answer(start(work_request("id-1")));
    wait_for_answer(start(work_request("id-1")));
    wait_for_answer(start(work_request("id-2")));
    auto const runs =
        json::parse(wait_for_answer(start(control_request("GET", "/control/runs"))).body);
    CHECK_EQUAL(3, runs.at("total").get<int>());
    CHECK_EQUAL(1, runs.at("repeated").get<int>());
    CHECK_EQUAL(2, runs.at("ids").at("id-1").get<int>());
}

// Guards against reported values that do not override the real ones, against a draining upstream
// that accepts requests, and against applying part of an invalid change of settings.
TEST(upstream_stand_in, reported_values_override_and_draining_rejects)
{
    auto set = control_request("POST", "/control/set");
    set.body = R"({"draining":true,"reported_load":0.25,"reported_healthy":true})";
    CHECK_EQUAL(200U, wait_for_answer(start(set)).status);
    auto const load = json::parse(wait_for_answer(start(control_request("GET", "/load"))).body);
    CHECK_EQUAL(0.25, load.at("load").get<double>());
    CHECK_EQUAL(200U, wait_for_answer(start(control_request("GET", "/health"))).status);
    auto const refused = wait_for_answer(start(work_request("id-1")));
    CHECK_EQUAL(503U, refused.status);
    CHECK_EQUAL(std::string("1"), metadata::field_of(refused, "draining"));
    set.body = R"({"slots":9,"sloths":1})";
    CHECK_EQUAL(400U, wait_for_answer(start(set)).status);
    CHECK_EQUAL(1U, server.settings().slots);
}

// Guards against service-time settings that have no or a wrong effect.
TEST(upstream_stand_in, service_times_follow_the_settings)
{
    auto settings = one_slot();
    standin::service_time_source source(seed);
    base::time_point const start_time{};
    auto const unit = settings.service_time;
    CHECK(source.draw(settings, 0, start_time) == unit);
    settings.cold_requests = 4;
    CHECK(source.draw(settings, 0, start_time) == unit * 5);
    CHECK(source.draw(settings, 2, start_time) == unit * 3);
    CHECK(source.draw(settings, 4, start_time) == unit);
    settings.slow_every = std::chrono::seconds(10);
    settings.slow_for = std::chrono::seconds(1);
    CHECK(source.draw(settings, 4, start_time + std::chrono::milliseconds(999)) == unit * 10);
    CHECK(source.draw(settings, 4, start_time + std::chrono::seconds(1)) == unit);
    settings.straggler_share = 1;
    CHECK(source.draw(settings, 4, start_time + std::chrono::seconds(1)) == unit * 20);
}
