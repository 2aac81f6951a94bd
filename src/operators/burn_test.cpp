#include "fuchsiaproxy/operators/burn.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::operators;
using std::chrono::seconds;

namespace
{

messages::counters counts(char const* owner, std::uint64_t incarnation, std::uint64_t weight,
                          std::uint64_t on_time)
{
    return {base::instance_id(owner),
            base::incarnation(incarnation),
            {{base::service_id("s"), "other", weight, on_time, weight, on_time}}};
}

model::configuration one_service()
{
    model::configuration c;
    model::service s;
    s.id = base::service_id("s");
    s.objective = 0.99;
    c.services = {s};
    return c;
}

service_burn burn_of(burn_history const& history)
{
    return calculate_burn(one_service(), history.samples(), {}).services.at(0);
}

} // namespace

TEST_GROUP(burn){};

// Guards against counts that are added twice or lost when entries restart or reports are repeated.
TEST(burn, sums_are_correct_after_restarts_and_repeated_reports)
{
    burn_history it;
    it.record(seconds(0), {counts("a", 1, 100, 90)});
    it.record(seconds(10), {counts("a", 1, 100, 90), counts("b", 1, 50, 50)});
    it.record(seconds(20), {counts("a", 1, 40, 40)});
    it.record(seconds(30), {counts("a", 2, 30, 20), counts("a", 1, 110, 95)});
    auto const sums = it.samples().back().sums.at(base::service_id("s"));
    CHECK_EQUAL(std::uint64_t{190}, sums.weight_total);
    CHECK_EQUAL(std::uint64_t{165}, sums.weight_on_time);
}

// Guards against a history that grows without bound, and samples at too short intervals.
TEST(burn, samples_are_spaced_and_bounded)
{
    burn_history it;
    for (int n = 0; n < 20'000; ++n)
    {
        it.record(seconds(n), {});
    }
    auto const& samples = it.samples();
    CHECK(samples.back().at - samples.front().at <= burn_history::retention);
    CHECK(samples.back().at - samples.front().at >= long_window);
    CHECK(samples.size() <= 364);
}

// Guards against wrong values of credit, budget and burn rate, and alerts raised by one window
// only.
TEST(burn, figures_are_calculated_from_the_weights)
{
    struct row
    {
        std::uint64_t missed_before; // of 10,000 in the first 55 minutes
        std::uint64_t missed_late;   // of 1,000 in the last 5 minutes
        double short_rate;
        double long_rate;
        burn_alert alert;
    };
    for (auto const& it : {
             row{0, 0, 0, 0, burn_alert::none},
             row{0, 500, 50, 500 / 110.0, burn_alert::none},
             row{5'000, 0, 0, 5'000 / 110.0, burn_alert::none},
             row{940, 61, 6.1, 1'001 / 110.0, burn_alert::ticket},
             row{1'440, 145, 14.5, 1'585 / 110.0, burn_alert::page},
         })
    {
        burn_history history;
        history.record(seconds(0), {});
        history.record(seconds(3'300), {counts("a", 1, 10'000, 10'000 - it.missed_before)});
        history.record(seconds(3'600),
                       {counts("a", 1, 11'000, 11'000 - it.missed_before - it.missed_late)});
        auto const burn = burn_of(history);
        auto const missed = it.missed_before + it.missed_late;
        CHECK_EQUAL(missed, burn.credit_missed);
        CHECK_EQUAL(11'000 - missed, burn.credit_earned);
        DOUBLES_EQUAL(1 - static_cast<double>(missed) / 11'000, burn.on_time_share, 1e-9);
        DOUBLES_EQUAL(1 - static_cast<double>(missed) / 110, burn.budget_left, 1e-6);
        DOUBLES_EQUAL(it.short_rate, burn.short_burn.rate, 1e-6);
        DOUBLES_EQUAL(it.long_rate, burn.long_burn.rate, 1e-6);
        CHECK_EQUAL(3'600, burn.long_burn.covered.count());
        STRCMP_EQUAL(name_of(it.alert), name_of(burn.alert));
    }
}

// Guards against a division by zero without traffic, and a report that does not list the entries
// whose counts it lacks.
TEST(burn, no_traffic_and_missing_entries_are_reported)
{
    auto const idle = burn_of(burn_history());
    DOUBLES_EQUAL(1, idle.on_time_share, 0);
    DOUBLES_EQUAL(1, idle.budget_left, 0);
    messages::entry_info a;
    a.id = base::instance_id("a");
    a.incarnation = base::incarnation(2);
    messages::entry_info b;
    b.id = base::instance_id("b");
    b.incarnation = base::incarnation(1);
    auto const missing = missing_entries({a, b}, {counts("a", 1, 1, 1), counts("b", 1, 1, 1)});
    CHECK_EQUAL(std::size_t{1}, missing.size());
    CHECK(missing[0] == a.id);
}
