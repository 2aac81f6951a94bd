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

// Guards against a handshake that reports a wrong identity of the other end.
TEST(link_handshake, both_ends_get_the_identity_of_the_other)
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

// Guards against replay attacks: recorded handshake messages must be useless in another handshake,
// whichever end receives them.
TEST(link_handshake, replayed_messages_are_refused)
{
    auto const hello = opener.receive(accepter.challenge()).value();
    auto const welcome = accepter.receive(hello.reply).value();
    auto other_accepter = link_handshake::accepter(identity("b", 2), "secret");
    CHECK(!other_accepter.receive(hello.reply).has_value());
    auto other_opener = link_handshake::opener(identity("a", 1), "secret", instance_id("b"));
    CHECK(other_opener.receive(accepter.challenge()).has_value());
    CHECK(!other_opener.receive(welcome.reply).has_value());
}

// Guards against accepting an end that does not have the secret, that connects to another entry
// or claims this entry's identity, or that sends back the proof of its peer (reflection attack).
TEST(link_handshake, wrong_secret_entry_and_reflection_are_refused)
{
    auto wrong_secret = link_handshake::opener(identity("a", 1), "guess", instance_id("b"));
    auto const wrong_secret_hello = wrong_secret.receive(accepter.challenge()).value();
    CHECK(!accepter.receive(wrong_secret_hello.reply).has_value());

    auto wrong_target = link_handshake::opener(identity("a", 1), "secret", instance_id("c"));
    auto const wrong_target_hello = wrong_target.receive(accepter.challenge()).value();
    CHECK(!accepter.receive(wrong_target_hello.reply).has_value());

    auto const hello = opener.receive(accepter.challenge()).value();
    CHECK(!opener.receive(hello.reply).has_value());

    auto same_instance = link_handshake::opener(identity("b", 1), "secret", instance_id("b"));
    auto const same_instance_hello = same_instance.receive(accepter.challenge()).value();
    CHECK(!accepter.receive(same_instance_hello.reply).has_value());
}

// Guards against reconnecting without a delay, and against delays that grow without bound.
TEST(link_handshake, backoff_doubles_up_to_its_limit)
{
    std::mt19937_64 random(3);
    peers::backoff it;
    base::time_point now{};
    auto const longest = milliseconds(1000);
    for (auto const wait : {100, 200, 400, 800, 1000, 1000})
    {
        CHECK(it.may_try(now));
        it.record_failure(now, milliseconds(100), longest, random);
        CHECK(!it.may_try(now + milliseconds(wait / 2 - 1)));
        CHECK(it.may_try(now + milliseconds(wait)));
        now += milliseconds(wait);
    }
    it.record_failure(now, milliseconds(100), longest, random);
    it.reset();
    CHECK(it.may_try(now));
}
