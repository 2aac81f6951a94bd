#include "fixture_test.hpp"

#include <functional>

#include "fuchsiaproxy/model/adoption.hpp"
#include "fuchsiaproxy/model/membership.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::model;
using base::error_kind;
using base::organisation_id;
using test::command_of;
using test::head_of;
using test::two_members;

namespace
{

place_loads loads_of(double a, double b)
{
    return {{base::place_id("s-a"), a}, {base::place_id("s-b"), b}};
}

bool has_member(configuration const& c, std::string const& id)
{
    return is_member(c, organisation_id(id));
}

} // namespace

TEST_GROUP(configuration_validation){};

// Guards against accepting a configuration that is inconsistent or overloads a place.
TEST(configuration_validation, invalid_configurations_are_rejected_with_the_path)
{
    struct row
    {
        std::function<void(configuration&)> make_invalid;
        char const* message;
    };
    std::vector<row> const rows{
        {[](auto& c) { c.members.clear(); }, "/members: expected at least one member"},
        {[](auto& c) { c.members[1].operators = c.members[0].operators; },
         "/members/two/operators/one-op: expected an operator id"},
        {[](auto& c) { c.services[0].organisation = organisation_id("x"); },
         "/services/s/organisation: expected a member, found \"x\""},
        {[](auto& c) { c.places.erase(c.places.begin(), c.places.begin() + 2); },
         "/services/s: expected at least one place"},
        {[](auto& c) { c.places[0].service = base::service_id("x"); },
         "/places/s-a/service: expected a declared service, found \"x\""},
        {[](auto& c) { c.places[0].zone = base::availability_zone_id("x"); },
         "/places/s-a/zone: expected a declared zone, found \"x\""},
        {[](auto& c) { c.places[0].upstreams[0].at.port = 2; },
         "/places/s-b/upstreams/s-b: expected an address and port"},
        {[](auto& c) { c.drains = {test::drain_of("x", "one")}; },
         "/drains/x/place: expected a declared place"},
        {[](auto& c) { c.drains = {test::drain_of("s-a", "two")}; },
         "/drains/s-a/organisation: expected the place's organisation, \"one\""},
        {[](auto& c) {
             c.drains = {test::drain_of("s-a", "one"), test::drain_of("s-b", "one")};
         },
         "/services/s: expected at least one place with an upstream that is not drained"},
        {[](auto& c) { c.caps[0].split[base::availability_zone_id("b")] = 7; },
         "/caps/c/split: expected a sum of at most the limit, 10"},
        {[](auto& c) { c.caps[0].split[base::availability_zone_id("x")] = 0; },
         "/caps/c/split/x: expected a declared zone"},
        {[](auto& c) { c.caps[0].to.place = base::place_id("t-a"); },
         "/caps/c/to/place: expected a place of \"one\""},
        {[](auto& c) { c.caps[0].from.region = base::region_id("x"); },
         "/caps/c/from/region: expected a declared region"},
        {[](auto& c) { c.shifts = {test::shift_of("s-a", "t-b", 1)}; },
         "/shifts/s-a-to-t-b/to: expected a place of service \"s\""},
        {[](auto& c) { c.shifts = {test::shift_of("s-a", "s-a", 1)}; },
         "/shifts/s-a-to-s-a/to: expected a place other than \"from\""},
        {[](auto& c)
         {
             c.shifts = {test::shift_of("s-a", "s-b", 1)};
             c.drains = {test::drain_of("s-b", "one")};
         },
         "/shifts/s-a-to-s-b/to: expected a place that is not drained"},
        {[](auto& c)
         {
             c.shifts = {test::shift_of("s-a", "s-b", 60), test::shift_of("s-a", "s-b", 50)};
             c.shifts[1].id = base::shift_id("second");
         },
         "to add up to at most 100, found 110"},
        {[](auto& c)
         {
             c.shifts = {test::shift_of("s-a", "s-b", 60)};
             c.places[0].upstreams[0].slots = base::slot_count(8);
         },
         "/shifts/s-a-to-s-b/to: expected a load that fits the 4 slots"},
    };
    CHECK(validate(two_members()).has_value());
    for (auto const& it : rows)
    {
        auto c = two_members();
        it.make_invalid(c);
        auto const checked = validate(c);
        CHECK_FALSE(checked.has_value());
        STRCMP_CONTAINS(it.message, checked.error().message.c_str());
    }
}

// Guards against shifts and drains that move more measured load than the remaining places can
// serve.
TEST(configuration_validation, shifts_and_drains_must_fit_the_measured_load)
{
    auto c = two_members();
    c.shifts = {test::shift_of("s-a", "s-b", 50)};
    CHECK(validate(c, loads_of(4, 2)).has_value());
    CHECK_FALSE(validate(c, loads_of(4, 2.1)).has_value());
    c.shifts.clear();
    c.drains = {test::drain_of("s-a", "one")};
    CHECK(validate(c, loads_of(2, 2)).has_value());
    CHECK_FALSE(validate(c, loads_of(2.1, 2)).has_value());
}

TEST_GROUP(changes){};

// Guards against `diff` missing a difference, or returning changes in an order that cannot be
// applied.
TEST(changes, applying_a_diff_yields_the_target_configuration)
{
    auto const before = two_members();
    auto after = before;
    after.shifts = {test::shift_of("s-a", "s-b", 10)};
    after.drains = {test::drain_of("s-a", "one")};
    after.caps.clear();
    after.services[0].objective = 0.9;
    after.zones.push_back({base::availability_zone_id("c"), base::region_id("q")});
    auto const changes = diff(before, after);
    CHECK_EQUAL(std::size_t{5}, changes.size());
    auto const done = apply_change(head_of(before), before, command_of("1", "one", 1, changes));
    CHECK(done.has_value());
    after.version = base::config_version(2);
    CHECK_EQUAL(to_json(after), to_json(done.value().next));
    CHECK(diff(done.value().next, after).empty());
    CHECK_EQUAL(std::string("remove cap \"c\""), describe(changes[0], before));
}

// Guards against a member's declaration removing elements that another member owns.
TEST(changes, a_declaration_does_not_change_other_members)
{
    auto const current = two_members();
    auto declared = current;
    declared.services.pop_back();
    declared.places.erase(declared.places.begin() + 1, declared.places.end());
    declared.members.clear();
    auto const changes = diff_of_organisation(organisation_id("one"), current, declared);
    CHECK_EQUAL(std::size_t{1}, changes.size());
    CHECK_EQUAL(std::string("remove place \"s-b\""), describe(changes[0], current));
}

// Guards against a drain or shift being ended because a declaration omits it, and against changes
// that cannot be applied because they remove a place that a drain or shift still refers to.
TEST(changes, a_declaration_removes_drains_and_shifts_only_with_their_places)
{
    auto current = two_members();
    current.drains = {test::drain_of("s-a", "one")};
    current.shifts = {test::shift_of("s-a", "s-b", 10)};
    auto declared = two_members();
    CHECK(diff_of_organisation(organisation_id("one"), current, declared).empty());
    declared.places.erase(declared.places.begin());
    auto const changes = diff_of_organisation(organisation_id("one"), current, declared);
    CHECK_EQUAL(std::size_t{3}, changes.size());
    CHECK(apply_change(head_of(current), current, command_of("1", "one", 1, changes)).has_value());
}

// Guards against changes to elements that another organisation owns, directly or by a reference.
TEST(changes, changes_to_elements_of_another_organisation_are_forbidden)
{
    auto const c = two_members();
    auto reassigned = c.services[0];
    reassigned.organisation = organisation_id("two");
    auto moved = c.places[2];
    moved.service = base::service_id("s");
    auto zone = c.zones[0];
    zone.region = base::region_id("q");
    std::vector<change> const forbidden{
        put_element<service>{reassigned},
        remove_element<service>{base::service_id("s")},
        put_element<place>{moved},
        put_element<place>{c.places[0]},
        remove_element<place>{base::place_id("s-b")},
        put_element<cap>{c.caps[0]},
        remove_element<cap>{base::cap_id("c")},
        put_element<drain>{test::drain_of("s-a", "one")},
        put_element<member>{c.members[0]},
        put_element<availability_zone>{zone},
        set_delays{},
    };
    for (auto const& it : forbidden)
    {
        auto const done = apply_change(head_of(c), c, command_of("1", "two", 1, {it}));
        CHECK_FALSE(done.has_value());
        CHECK(done.error().kind == error_kind::forbidden);
    }
}

// Guards against a cap being exceeded because entries use the raised part of a split before the
// lowered part takes effect.
TEST(changes, a_change_does_not_both_raise_and_lower_a_split)
{
    auto const c = two_members();
    auto changed = c.caps[0];
    changed.split = {{base::availability_zone_id("a"), 5}, {base::availability_zone_id("b"), 5}};
    auto const refused =
        apply_change(head_of(c), c, command_of("1", "one", 1, {put_element<cap>{changed}}));
    STRCMP_CONTAINS("/caps/c/split: expected a change that only raises or only lowers",
                    refused.error().message.c_str());
    changed.split = {{base::availability_zone_id("b"), 6}};
    CHECK(apply_change(head_of(c), c, command_of("1", "one", 1, {put_element<cap>{changed}}))
              .has_value());
}

// Guards against applying a repeated command twice, accepting another command under a used id, and
// conflict errors that do not name the accepted command.
TEST(changes, repeated_commands_return_their_record_and_conflicts_name_the_accepted_command)
{
    auto const c = two_members();
    auto const first =
        command_of("first", "two", 1, {put_element<drain>{test::drain_of("t-a", "two")}});
    auto const done = apply_change(head_of(c), c, first).value();
    auto const again = apply_change(done.head, done.next, first).value();
    CHECK(again.replayed);
    CHECK(again.record.version == base::config_version(2));
    CHECK(again.head.version == base::config_version(2));

    auto const reused =
        command_of("first", "two", 2, {put_element<drain>{test::drain_of("t-b", "two")}});
    CHECK(apply_change(done.head, done.next, reused).error().kind == error_kind::invalid_command);

    auto const outdated =
        command_of("late", "one", 1, {put_element<drain>{test::drain_of("s-a", "one")}});
    auto const rejected = apply_change(done.head, done.next, outdated);
    CHECK(rejected.error().kind == error_kind::conflict);
    STRCMP_CONTAINS("lost to version 2 by two-op of two at 1970-01-01T00:00:00.000Z",
                    rejected.error().message.c_str());
}

// Guards against segments that are missing or altered, or that do not yield the configuration they
// were made from, and against a command log that grows without bound.
TEST(changes, splitting_into_segments_preserves_the_configuration)
{
    auto const c = two_members();
    manifest head;
    auto const bootstrapped = apply_bootstrap(head, c, command_of("begin", "one", 0, {})).value();
    CHECK(bootstrapped.next.version == base::config_version(1));
    auto const again = apply_bootstrap(bootstrapped.head, c, command_of("other", "one", 0, {}));
    CHECK(again.error().kind == error_kind::conflict);
    auto const read = parse_manifest(to_json(bootstrapped.head)).value();
    segment_documents documents;
    for (auto const& it : bootstrapped.segments)
    {
        documents[it.hash] = it.document;
    }
    CHECK_EQUAL(to_json(bootstrapped.next), to_json(assemble(read, documents).value()));
    documents.begin()->second += " ";
    CHECK(assemble(read, documents).error().kind == error_kind::invalid_configuration);
    documents.erase(documents.begin());
    CHECK(assemble(read, documents).error().kind == error_kind::not_found);

    command_log log;
    for (std::uint64_t n = 0; n < 70; ++n)
    {
        command_record it;
        it.command = base::command_id(std::to_string(n));
        log.append(it);
    }
    CHECK_EQUAL(max_logged_commands, log.records().size());
    CHECK(log.find(base::command_id("5")) == nullptr);
    CHECK(log.find(base::command_id("6")) != nullptr);
}

TEST_GROUP(membership){};

// Guards against an organisation becoming a member without the approval of every current member
// (I9).
TEST(membership, a_join_requires_the_approval_of_every_current_member)
{
    struct row
    {
        char const* by;
        change requested;
        error_kind expected_error;
        bool three;
        bool four;
    };
    auto const no_error = error_kind::internal; // Represents success, which has no `error_kind`.
    organisation_id const three("three");
    organisation_id const four("four");
    auto pre_approved = test::join_of("three");
    pre_approved.approvals = {organisation_id("one"), organisation_id("two")};
    std::vector<row> const steps{
        {"one", put_element<join_request>{pre_approved}, error_kind::invalid_configuration, false,
         false},
        {"one", put_element<member>{test::member_with_operator("three")},
         error_kind::invalid_configuration, false, false},
        {"one", approve_join{three}, error_kind::not_found, false, false},
        {"one", put_element<join_request>{test::join_of("three")}, no_error, false, false},
        {"one", put_element<join_request>{test::join_of("three")}, error_kind::conflict, false,
         false},
        {"two", put_element<join_request>{test::join_of("four")}, no_error, false, false},
        {"one", approve_join{three}, no_error, false, false},
        {"one", approve_join{three}, no_error, false, false},
        {"three", approve_join{three}, error_kind::forbidden, false, false},
        {"one", withdraw_approval{three}, no_error, false, false},
        {"two", approve_join{three}, no_error, false, false},
        {"two", withdraw_approval{four}, error_kind::not_found, false, false},
        {"one", approve_join{four}, no_error, false, false},
        {"one", approve_join{three}, no_error, true, false},
        {"one", withdraw_approval{three}, error_kind::not_found, true, false},
        // "three" is a member now, so the approvals of "one" and "two" are no longer sufficient.
        {"two", approve_join{four}, no_error, true, false},
        {"three", approve_join{four}, no_error, true, true},
        {"three", remove_element<member>{four}, error_kind::forbidden, true, true},
        {"one", remove_element<member>{organisation_id("one")}, error_kind::invalid_configuration,
         true, true},
        {"four", remove_element<member>{four}, no_error, true, false},
    };
    auto c = two_members();
    auto head = head_of(c);
    int n = 0;
    for (auto const& it : steps)
    {
        auto const done = apply_change(
            head, c, command_of(std::to_string(n++), it.by, c.version.value(), {it.requested}));
        CHECK_EQUAL(it.expected_error == no_error, done.has_value());
        if (done.has_value())
        {
            head = done.value().head;
            c = done.value().next;
        }
        else
        {
            CHECK(done.error().kind == it.expected_error);
        }
        CHECK_EQUAL(it.three, has_member(c, "three"));
        CHECK_EQUAL(it.four, has_member(c, "four"));
    }
}

// Guards against one change admitting two organisations although the first has not approved the
// second. Once a member is removed, both requests have the approval of all members that remain.
TEST(membership, removing_a_member_admits_only_one_of_two_join_requests)
{
    auto c = two_members();
    c.services.pop_back();
    c.places.resize(2);
    for (auto const* id : {"four", "three"})
    {
        c.joins.push_back(test::join_of(id));
        c.joins.back().approvals = {organisation_id("one")};
    }
    auto const done = apply_change(
        head_of(c), c, command_of("1", "two", 1, {remove_element<member>{organisation_id("two")}}));
    CHECK(done.has_value());
    CHECK(has_member(done.value().next, "four"));
    CHECK_FALSE(has_member(done.value().next, "three"));
}

TEST_GROUP(adoption){};

// Guards against an entry reverting to an older configuration, or serving without one.
TEST(adoption, only_higher_versions_are_adopted)
{
    adoption it;
    CHECK_FALSE(it.ready());
    auto const offer = [&it](std::uint64_t version)
    {
        auto c = std::make_shared<configuration>();
        c->version = base::config_version(version);
        return it.offer(c);
    };
    CHECK_FALSE(it.offer(nullptr));
    CHECK_FALSE(offer(0));
    CHECK_FALSE(it.ready());
    CHECK(offer(3));
    CHECK(it.ready());
    CHECK_FALSE(offer(3));
    CHECK_FALSE(offer(2));
    CHECK(offer(4));
    CHECK(it.version() == base::config_version(4));
}
