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

metadata::http_call work(std::string const& id, std::string const& deadline = {})
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

metadata::http_call control(std::string const& method, std::string const& target)
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

    /// Starts the request id-1, which runs until it is released.
    std::shared_ptr<metadata::http_answer> start_held()
    {
        server.settings().hold = true;
        auto answer = start(work("id-1"));
        wait_for_running(1, 0);
        return answer;
    }

    void release()
    {
        server.settings().hold = false;
        server.release_held();
    }

    /// Starts a call on a connection of its own and returns the place of its answer.
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

    metadata::http_answer finish(std::shared_ptr<metadata::http_answer> const& it)
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

// Guards against an answer that a caller cannot tell from another request's.
TEST(upstream_stand_in, answer_names_its_request)
{
    auto const answer = finish(start(work("id-1")));
    CHECK_EQUAL(200U, answer.status);
    auto const body = json::parse(answer.body);
    CHECK_EQUAL(std::string("id-1"), body.at("request_id").get<std::string>());
    CHECK_EQUAL(standin::checksum("payload of id-1"), body.at("body_checksum").get<std::string>());
    CHECK_EQUAL(std::string("cbf29ce484222325"), standin::checksum(""));
}

// Guards against an upstream that takes more than its slots and its queue.
TEST(upstream_stand_in, full_queue_sheds)
{
    auto const first = start_held();
    auto const second = start(work("id-2"));
    wait_for_running(1, 1);
    auto const third = finish(start(work("id-3")));
    CHECK_EQUAL(503U, third.status);
    CHECK_EQUAL(std::string("1"), metadata::field_of(third, "shed"));
    release();
    CHECK_EQUAL(200U, finish(second).status);
    CHECK_EQUAL(1U, server.counts().most_running);
    CHECK_EQUAL(0U, journal->runs_of("id-3"));
}

// Guards against work that starts after its caller gave up.
TEST(upstream_stand_in, closed_connection_cancels_before_the_start)
{
    auto const first = start_held();
    start(work("id-2"));
    wait_for_running(1, 1);
    clients.back().reset();
    wait_for_running(1, 0);
    release();
    finish(first);
    CHECK_EQUAL(1U, server.counts().cancelled);
    CHECK_EQUAL(0U, journal->runs_of("id-2"));
}

// Guards against a confirmed cancellation of a request that runs later.
TEST(upstream_stand_in, cancellation_answers_whether_the_request_started)
{
    auto const first = start_held();
    auto const second = start(work("id-2"));
    wait_for_running(1, 1);
    auto const late = finish(start(control("POST", "/control/cancel/id-1")));
    CHECK_EQUAL(std::string(R"({"started":true,"cancelled":false})"), late.body);
    auto const in_time = finish(start(control("POST", "/control/cancel/id-2")));
    CHECK_EQUAL(std::string(R"({"started":false,"cancelled":true})"), in_time.body);
    CHECK_EQUAL(503U, finish(second).status);
    finish(start(control("POST", "/control/cancel/id-3")));
    release();
    finish(first);
    CHECK_EQUAL(503U, finish(start(work("id-3"))).status);
    CHECK_EQUAL(1U, journal->total());
}

// Guards against work that starts after its deadline.
TEST(upstream_stand_in, passed_deadline_is_never_started)
{
    auto const first = start_held();
    auto const second = start(work("id-2", "1"));
    wait_for_running(1, 1);
    auto const deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(1);
    CHECK(testing::run_until(io, [=] { return std::chrono::steady_clock::now() > deadline; }));
    release();
    CHECK_EQUAL(503U, finish(second).status);
    CHECK_EQUAL(1U, server.counts().expired);
    CHECK_EQUAL(0U, journal->runs_of("id-2"));
}

// Guards against a second run that the record does not show.
TEST(upstream_stand_in, journal_shows_repeated_runs)
{
    finish(start(work("id-1")));
    finish(start(work("id-1")));
    finish(start(work("id-2")));
    auto const runs = json::parse(finish(start(control("GET", "/control/runs"))).body);
    CHECK_EQUAL(3, runs.at("total").get<int>());
    CHECK_EQUAL(1, runs.at("repeated").get<int>());
    CHECK_EQUAL(2, runs.at("ids").at("id-1").get<int>());
}

// Guards against reports that tests cannot make wrong, and against drains that go unnoticed.
TEST(upstream_stand_in, reports_can_mislead_and_draining_refuses)
{
    auto set = control("POST", "/control/set");
    set.body = R"({"draining":true,"reported_load":0.25,"reported_healthy":true})";
    CHECK_EQUAL(200U, finish(start(set)).status);
    auto const load = json::parse(finish(start(control("GET", "/load"))).body);
    CHECK_EQUAL(0.25, load.at("load").get<double>());
    CHECK_EQUAL(200U, finish(start(control("GET", "/health"))).status);
    auto const refused = finish(start(work("id-1")));
    CHECK_EQUAL(503U, refused.status);
    CHECK_EQUAL(std::string("1"), metadata::field_of(refused, "draining"));
    set.body = R"({"slots":9,"sloths":1})";
    CHECK_EQUAL(400U, finish(start(set)).status);
    CHECK_EQUAL(1U, server.settings().slots);
}

// Guards against faults that the service times are meant to show but do not.
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
