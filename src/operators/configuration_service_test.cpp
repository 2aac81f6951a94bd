#include "fixture_test.hpp"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::operators;
using base::error_kind;
using test::command_of;
using test::drain_of;
using test::fake_store;
using test::fault;

namespace
{

/// Applies a command and returns its answer; the handler must be called exactly once.
base::result<change_receipt> apply(configuration_service& service, model::change_command command)
{
    std::vector<base::result<change_receipt>> answers;
    service.apply(std::move(command), {}, [&answers](auto it) { answers.push_back(it); });
    CHECK_EQUAL(std::size_t{1}, answers.size());
    return answers.front();
}

std::uint64_t version_in(fake_store& store)
{
    return test::read(store).head.version.value();
}

} // namespace

TEST_GROUP(configuration_service)
{
    fake_store store;

    void setup() override
    {
        test::bootstrap_store(store);
    }
};

// Guards against lost answers of the store that cause a command to be applied twice, to be reported
// as rejected although it was accepted, or as accepted although it was not.
TEST(configuration_service, lost_answers_are_resolved_by_the_command_id)
{
    using f = fault;
    struct row
    {
        char const* name;
        std::deque<fault> segment_writes;
        std::deque<fault> head_writes;
        std::deque<fault> head_reads; // The first one is the read before the change.
        std::optional<error_kind> error;
        std::uint64_t version;
    };
    auto const down = error_kind::store_unavailable;
    auto const unknown = error_kind::store_answer_unknown;
    std::vector<row> const rows{
        {"no fault", {}, {}, {}, {}, 2},
        {"down at the read", {}, {}, {f::down}, down, 1},
        {"read lost", {}, {}, {f::lost_before}, down, 1},
        {"down at a segment", {f::down}, {}, {}, down, 1},
        {"segment lost before", {f::lost_before}, {}, {}, {}, 2},
        {"segment lost after", {f::lost_after}, {}, {}, {}, 2},
        {"segment lost for long", std::deque<fault>(9, f::lost_before), {}, {}, down, 1},
        {"down at the head", {}, {f::down}, {}, down, 1},
        {"head lost before", {}, {f::lost_before}, {}, {}, 2},
        {"head lost after", {}, {f::lost_after}, {}, {}, 2},
        {"head lost after, read lost", {}, {f::lost_after}, {f::none, f::down, f::down}, {}, 2},
        {"head lost after, store down",
         {},
         {f::lost_after},
         {f::none, f::down, f::down, f::down, f::down, f::down},
         unknown,
         2},
        {"head lost before, store down",
         {},
         {f::lost_before},
         {f::none, f::down, f::down, f::down, f::down, f::down},
         unknown,
         1},
        {"head lost before, then down",
         {},
         {f::lost_before, f::down, f::down, f::down, f::down},
         {},
         unknown,
         1},
    };
    for (auto const& it : rows)
    {
        fake_store faulty;
        test::bootstrap_store(faulty);
        faulty.segment_writes = it.segment_writes;
        faulty.head_writes = it.head_writes;
        faulty.head_reads = it.head_reads;
        configuration_service service(faulty);
        auto const command = command_of("c", "one", 1, {drain_of("one", "a")});
        auto const answer = apply(service, command);
        CHECK_EQUAL_TEXT(it.error.has_value(), answer.has_error(), it.name);
        CHECK_TEXT(!it.error || answer.error().kind == *it.error, it.name);
        faulty.segment_writes.clear();
        faulty.head_writes.clear();
        faulty.head_reads.clear();
        CHECK_EQUAL_TEXT(it.version, version_in(faulty), it.name);
        // Repeating the command applies it exactly once in total, whether or not the first attempt
        // was accepted.
        auto const again = apply(service, command);
        CHECK_TEXT(again.has_value(), it.name);
        CHECK_EQUAL_TEXT(it.version == 2, again.value().replayed, it.name);
        CHECK_EQUAL_TEXT(std::uint64_t{2}, version_in(faulty), it.name);
    }
}

// Guards against concurrent commands overwriting each other, and conflict errors that do not name
// the command that was accepted.
TEST(configuration_service, a_conflict_names_the_command_that_was_accepted_first)
{
    struct row
    {
        fault of_loser;
        error_kind kind;
    };
    for (auto const& it :
         {row{fault::none, error_kind::conflict}, row{fault::lost_before, error_kind::conflict}})
    {
        fake_store shared;
        test::bootstrap_store(shared);
        configuration_service loser(shared);
        configuration_service winner(shared);
        shared.before_head_write = [&]
        {
            CHECK(apply(winner, command_of("w", "two", 1, {drain_of("two", "a")})).has_value());
            shared.head_writes = {it.of_loser};
        };
        auto const lost = apply(loser, command_of("l", "one", 1, {drain_of("one", "a")}));
        CHECK_FALSE(lost.has_value());
        CHECK(lost.error().kind == it.kind);
        STRCMP_CONTAINS("lost to version 2 by two-op of two at 1970-01-01T00:00:00.000Z",
                        lost.error().message.c_str());
        auto const state = test::read(shared);
        CHECK_EQUAL(std::uint64_t{2}, state.head.version.value());
        CHECK_EQUAL(std::size_t{1}, state.value->drains.size());
        CHECK(state.value->drains[0].organisation == base::organisation_id("two"));
    }
}

// Guards against reporting a command as rejected when its answer was lost and so many commands were
// accepted since that the command log can no longer prove the rejection.
TEST(configuration_service, an_outcome_that_the_log_cannot_prove_is_reported_as_unknown)
{
    configuration_service slow(store);
    configuration_service others(store);
    store.before_head_write = [&]
    {
        for (std::uint64_t n = 1; n <= 70; ++n)
        {
            auto const changes =
                n % 2 == 1
                    ? drain_of("two", "a")
                    : model::change(model::remove_element<model::drain>{base::drain_id("two-a")});
            CHECK(apply(others, command_of(std::to_string(n), "two", n, {changes})).has_value());
        }
        store.head_writes = {fault::lost_before};
    };
    auto const answer = apply(slow, command_of("c", "one", 1, {drain_of("one", "a")}));
    CHECK(answer.error().kind == error_kind::store_answer_unknown);
    CHECK_EQUAL(std::uint64_t{71}, version_in(store));
}

// Guards against a bootstrap that overwrites an existing configuration.
TEST(configuration_service, bootstrap_requires_an_empty_store)
{
    configuration_service service(store);
    std::optional<base::result<change_receipt>> answer;
    auto const bootstrap = [&](fake_store& at, char const* id)
    {
        configuration_service it(at);
        it.bootstrap(test::two_members(), command_of(id, "two", 0, {}),
                     [&answer](auto a) { answer = a; });
    };
    bootstrap(store, "second");
    CHECK(answer->error().kind == error_kind::conflict);
    STRCMP_CONTAINS("lost to version 1 by one-op of one", answer->error().message.c_str());

    fake_store empty;
    empty.before_head_write = [&empty] { test::bootstrap_store(empty); };
    bootstrap(empty, "racing");
    CHECK(answer->error().kind == error_kind::conflict);
    CHECK_EQUAL(std::uint64_t{1}, version_in(empty));
}

TEST_GROUP(authentication){};

// Guards against keys that are accepted for another operator, or after they were replaced.
TEST(authentication, only_the_current_key_is_accepted)
{
    auto c = test::two_members();
    authenticator it;
    auto const kind = [&](char const* id, char const* key)
    {
        auto const who = it.authenticate(c, base::operator_id(id), key);
        return who ? error_kind::internal : who.error().kind;
    };
    auto const who = it.authenticate(c, base::operator_id("one-op"), test::key_of_one);
    CHECK(who.value().organisation == base::organisation_id("one"));
    CHECK(it.authenticate(c, base::operator_id("one-op"), test::key_of_one).has_value());
    CHECK(kind("one-op", test::key_of_two) == error_kind::unauthenticated);
    CHECK(kind("two-op", test::key_of_one) == error_kind::unauthenticated);
    CHECK(kind("x", test::key_of_one) == error_kind::unauthenticated);
    CHECK(kind("", "") == error_kind::unauthenticated);
    c.members[0].operators[0] =
        make_operator_key(base::operator_id("one-op"), "another key of one").value();
    CHECK(kind("one-op", test::key_of_one) == error_kind::unauthenticated);
    CHECK(it.authenticate(c, base::operator_id("one-op"), "another key of one").has_value());
    CHECK(make_operator_key(base::operator_id("x"), "short").error().kind ==
          error_kind::invalid_command);
}

// Guards against a change of the hash function that invalidates all stored keys. The expected value
// comes from an independent implementation, Python's hashlib.pbkdf2_hmac.
TEST(authentication, the_hash_is_pbkdf2_with_sha256)
{
    CHECK_EQUAL(std::string("047f92e4ebc9ec90897f9e893a79c6c2bd99faf7d6f4c156b9d2790fd99440d9"),
                hash_key("varjuvork-demo-key", "765103a40ce6ae2d94a979aed06bac00"));
}
