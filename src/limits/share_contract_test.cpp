#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

#include "fuchsiaproxy/limits/share_holder.hpp"
#include "fuchsiaproxy/limits/share_ledger.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::limits;
using namespace std::chrono_literals;

namespace
{

base::cap_id const cap{"shift"};
base::availability_zone_id const zone{"z"};
share_owner const owner{base::instance_id{"e"}, base::incarnation{1}};

model::configuration make_configuration(std::uint64_t version, std::uint64_t part)
{
    model::configuration it;
    it.version = base::config_version{version};
    model::cap shift;
    shift.id = cap;
    shift.split = {{zone, part}};
    it.caps = {shift};
    return it;
}

share_document make_document(std::uint64_t version, std::uint64_t amount)
{
    share_document it;
    it.revision = 7;
    it.version = base::config_version{version};
    it.caps[cap][owner] = {amount, amount, 7};
    return it;
}

} // namespace

TEST_GROUP(share_contract)
{
    base::time_point now{1h};
    share_ledger ledger;
    share_holder holder{owner.number};
    share_actions actions;

    /// Advances the time by `wait`, writes the ledger's next document if there is one, and returns
    /// the amount that is reserved in the store.
    std::uint64_t reserved_after(base::duration wait)
    {
        now += wait;
        if (auto const next = ledger.prepare(now))
        {
            document = *next;
            hub_actions ignored;
            ledger.on_committed(ignored);
        }
        return reserved(document, cap);
    }

    void load(std::uint64_t version, std::uint64_t amount)
    {
        document = make_document(version, amount);
        ledger.load(document, now);
    }

    share_document document;
};

// Guards against declaring an owner dead because of an outdated list, and against a share of a dead
// owner that is never reclaimed.
TEST(share_contract, an_owner_absent_from_the_list_is_dead_after_a_minute)
{
    ledger.apply(make_configuration(1, 100), zone);
    load(1, 10);
    ledger.on_instance_list({}, now);
    CHECK_EQUAL(10, reserved_after(59s));
    ledger.on_instance_list({}, now);
    CHECK_EQUAL(10, reserved_after(1s));
    ledger.on_instance_list({}, now);
    CHECK_EQUAL(10, reserved_after(1s));
    CHECK_EQUAL(0, reserved_after(50ms));
}

// Guards against a delay of one minute before the share of an entry that was listed and then
// disappeared is reclaimed.
TEST(share_contract, an_owner_that_disappears_from_the_list_is_dead_at_once)
{
    ledger.apply(make_configuration(1, 100), zone);
    load(1, 10);
    ledger.on_instance_list({owner.instance}, now);
    ledger.on_instance_list({}, now);
    CHECK_EQUAL(0, reserved_after(1050ms));
}

// Guards against a hub with an older configuration that grants a reduced part, and against a
// reduction that is reported in force before the zone's hub has applied it.
TEST(share_contract, a_hub_with_an_older_configuration_does_not_write)
{
    ledger.apply(make_configuration(1, 100), zone);
    load(2, 10);
    CHECK_FALSE(ledger.prepare(now).has_value());
    CHECK_FALSE(is_reduction_in_force(document, cap, 10, base::config_version{3}));
    CHECK_FALSE(is_reduction_in_force(document, cap, 9, base::config_version{2}));
    CHECK(is_reduction_in_force(document, cap, 10, base::config_version{2}));
    ledger.apply(make_configuration(3, 10), zone);
    CHECK_EQUAL(10, reserved_after(0s));
    CHECK(is_reduction_in_force(document, cap, 10, base::config_version{3}));
}

// Guards against a grant that is applied twice, out of order or by the wrong process, and against a
// reduction that is not acknowledged.
TEST(share_contract, grants_are_applied_once_in_order_and_acknowledged)
{
    holder.apply(make_configuration(1, 100), zone, actions);
    struct row
    {
        std::uint64_t number;
        std::uint64_t amount;
        std::uint64_t revision;
        std::uint64_t held;
    };
    for (auto const& it : {row{1, 20, 5, 20}, row{1, 30, 4, 20}, row{1, 30, 5, 20},
                           row{2, 30, 6, 20}, row{1, 8, 6, 8}, row{1, 120, 7, 100}})
    {
        actions.clear();
        holder.on_grant({cap, base::incarnation{it.number}, it.amount, it.revision}, actions);
        CHECK_EQUAL(it.held, holder.held(cap));
        CHECK_EQUAL(it.number != owner.number.value(), actions.empty());
        if (!actions.empty())
        {
            auto const& sent = std::get<send_to_hub>(actions.back());
            CHECK_EQUAL(it.held, std::get<messages::share_return>(sent.body).amount);
        }
    }
    holder.apply(make_configuration(2, 25), zone, actions);
    CHECK_EQUAL(25, holder.held(cap));
}
