#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "client_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::upstreams;
using base::attempt_result;
using testing::raw_peer;

namespace
{

/// Upstreams that may end a body with the connection.
class closing_dialect final : public dialect
{
public:
    std::string_view deadline_field() const override
    {
        return "Left-Ms";
    }
    bool is_refusal(unsigned, http::fields const&, std::vector<unsigned> const&) const override
    {
        return false;
    }
    bool is_answer_to(http::fields const&, http::fields const&) const override
    {
        return true;
    }
    bool is_ambiguous(http::fields const&) const override
    {
        return false;
    }
    bool body_may_end_with_connection() const override
    {
        return true;
    }
    bool is_leaving(http::fields const&) const override
    {
        return false;
    }
    std::optional<base::load_report> load(http::fields const&) const override
    {
        return std::nullopt;
    }
};

client_settings closing_settings()
{
    client_settings made;
    made.upstream_dialect = std::make_shared<closing_dialect>();
    return made;
}

} // namespace

TEST_GROUP(answers_without_length)
{
    client_fixture path{closing_settings()};
    scripted_body body;
    base::attempt_id id;

    /// Starts an upload of which one piece was sent, and answers it with a part of a body.
    raw_peer& answer_early(bool reads_body = true)
    {
        path.reads_body = reads_body;
        body.text = "first";
        body.ended = false;
        id = path.start("POST", &body);
        auto& peer = path.peer(0);
        CHECK(path.until([&]() { return peer.has("first"); }));
        peer.send(answer_text("", "hello"));
        CHECK(path.until([&]() { return path.heads.count(id) == 1; }));
        if (reads_body)
        {
            CHECK(path.until([&]() { return path.texts[id] == "hello"; }));
        }
        return peer;
    }
    void send_more()
    {
        body.text += std::string(100'000, 'x');
        path.attempts[id]->body_ready();
    }
    attempt_result result()
    {
        return path.report(id).result;
    }
};

// Guards against a part of an answer that reaches the caller as a complete one: the failed write of
// the upload consumed the socket's error, and the next read reported the end of the stream.
TEST(answers_without_length, reset_during_the_upload_are_broken)
{
    for (bool const reads_body : {true, false})
    {
        auto& peer = answer_early(reads_body);
        peer.reset();
        send_more();
        if (!reads_body)
        {
            path.attempts[id]->forward_until(base::time_point::max());
            path.take(id);
        }
        CHECK(result() == attempt_result::broken);
        LONGS_EQUAL(0, path.it->connections());
        path.upstream.peers.clear();
    }
}

// Guards against complete answers that are lost, or incomplete ones that are accepted, by how their
// connection ends.
TEST(answers_without_length, are_complete_only_if_their_connection_is_closed_in_order)
{
    for (bool const uploads : {true, false})
    {
        for (bool const resets : {true, false})
        {
            client_fixture one(closing_settings());
            scripted_body upload;
            upload.text = "first";
            upload.ended = false;
            auto const it = uploads ? one.start("POST", &upload) : one.start("GET");
            auto& peer = one.peer(0);
            peer.send(answer_text("", "hello"));
            CHECK(one.until([&]() { return one.texts[it] == "hello"; }));
            resets ? peer.reset() : peer.half_close();
            CHECK(one.report(it).result ==
                  (resets ? attempt_result::broken : attempt_result::completed));
        }
    }
}

// Guards against answers with a length that are lost because the upstream did not read the upload.
TEST(answers_without_length, do_not_affect_answers_with_one)
{
    body.text = "first";
    body.ended = false;
    path.reads_body = false;
    id = path.start("POST", &body);
    auto& peer = path.peer(0);
    peer.send(hello);
    CHECK(path.until([&]() { return path.heads.count(id) == 1; }));
    peer.reset();
    send_more();
    path.attempts[id]->forward_until(base::time_point::max());
    path.take(id);
    CHECK(result() == attempt_result::completed);
    CHECK_EQUAL(std::string("hello"), path.texts[id]);
}
