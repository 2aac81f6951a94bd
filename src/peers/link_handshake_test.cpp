#include "link_handshake.hpp"

#include <random>
#include <string>

#include "backoff.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using base::incarnation;
using base::instance_id;
using peers::link_handshake;
using std::chrono::milliseconds;

namespace
{

peers::link_identity identity(char const* name, std::uint64_t number)
{
    return {instance_id(name), incarnation(number)};
}

} // namespace

TEST_GROUP(link_handshake)
{
    link_handshake opener = link_handshake::opener(identity("a", 1), "secret", instance_id("b"));
    link_handshake accepter = link_handshake::accepter(identity("b", 2), "secret");
};

// Guards against a handshake that names the wrong peer.
TEST(link_handshake, both_ends_learn_who_the_other_is)
{
    auto const hello = opener.receive(accepter.challenge()).value();
    CHECK(!hello.peer.has_value());
    auto const welcome = accepter.receive(hello.reply).value();
    CHECK(welcome.peer->instance == instance_id("a"));
    CHECK(welcome.peer->incarnation == incarnation(1));
    auto const end = opener.receive(welcome.reply).value();
    CHECK(end.peer->instance == instance_id("b"));
    CHECK(end.peer->incarnation == incarnation(2));
    CHECK(end.reply.empty());
}

// Guards against a recorded handshake that is used again, by either end.
TEST(link_handshake, replayed_texts_are_refused)
{
    auto const hello = opener.receive(accepter.challenge()).value();
    auto const welcome = accepter.receive(hello.reply).value();
    auto other_accepter = link_handshake::accepter(identity("b", 2), "secret");
    CHECK(!other_accepter.receive(hello.reply).has_value());
    auto other_opener = link_handshake::opener(identity("a", 1), "secret", instance_id("b"));
    CHECK(other_opener.receive(accepter.challenge()).has_value());
    CHECK(!other_opener.receive(welcome.reply).has_value());
}

// Guards against an end that proves nothing, or reflects the other's proof.
TEST(link_handshake, wrong_secret_entry_and_reflection_are_refused)
{
    auto stranger = link_handshake::opener(identity("a", 1), "guess", instance_id("b"));
    auto const guess = stranger.receive(accepter.challenge()).value();
    CHECK(!accepter.receive(guess.reply).has_value());

    auto misled = link_handshake::opener(identity("a", 1), "secret", instance_id("c"));
    auto const lost = misled.receive(accepter.challenge()).value();
    CHECK(!accepter.receive(lost.reply).has_value());

    auto const hello = opener.receive(accepter.challenge()).value();
    CHECK(!opener.receive(hello.reply).has_value());

    auto same = link_handshake::opener(identity("b", 1), "secret", instance_id("b"));
    auto const own = same.receive(accepter.challenge()).value();
    CHECK(!accepter.receive(own.reply).has_value());
}

// Guards against reconnects without a pause, and against pauses that grow without bound.
TEST(link_handshake, backoff_doubles_up_to_its_limit)
{
    std::mt19937_64 random(3);
    peers::backoff it;
    base::time_point now{};
    auto const longest = milliseconds(1000);
    for (auto const wait : {100, 200, 400, 800, 1000, 1000})
    {
        CHECK(it.may_try(now));
        it.fail(now, milliseconds(100), longest, random);
        CHECK(!it.may_try(now + milliseconds(wait / 2 - 1)));
        CHECK(it.may_try(now + milliseconds(wait)));
        now += milliseconds(wait);
    }
    it.fail(now, milliseconds(100), longest, random);
    it.reset();
    CHECK(it.may_try(now));
}
