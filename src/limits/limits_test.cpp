#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "fuchsiaproxy/limits/cap_set.hpp"
#include "fuchsiaproxy/limits/extra_attempt_budget.hpp"
#include "fuchsiaproxy/limits/move_gate.hpp"
#include "fuchsiaproxy/limits/share_ledger.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::limits;
using namespace std::chrono_literals;

namespace
{

/// Reference implementation of a sliding window: the exact sum of what was admitted in it.
class history
{
public:
    void add(base::time_point now, std::uint64_t amount)
    {
        all_.emplace_back(now, amount);
        sum_ += amount;
    }
    std::uint64_t sum(base::time_point now)
    {
        while (!all_.empty() && all_.front().first + limit_window <= now)
        {
            sum_ -= all_.front().second;
            all_.pop_front();
        }
        return sum_;
    }

private:
    std::deque<std::pair<base::time_point, std::uint64_t>> all_;
    std::uint64_t sum_ = 0;
};

} // namespace

TEST_GROUP(gates){};

// Guards against more moves than the limit in any window, and against unnecessary refusals.
TEST(gates, moves_are_counted_exactly)
{
    std::mt19937_64 random{1};
    move_gate gate;
    history admitted;
    std::uint64_t limit = 0;
    base::time_point now{1h};
    for (int n = 0; n < 200'000; ++n)
    {
        now += base::duration{std::int64_t(random() % 20'000'000)};
        if (random() % 200 == 0)
        {
            limit = random() % 150;
            gate.set_limit(limit);
        }
        CHECK_EQUAL(admitted.sum(now) < limit, gate.admits(now));
        if (gate.admits(now))
        {
            gate.charge(now);
            admitted.add(now, 1);
        }
    }
}

// Guards against more bits than the limit in any window, and against a gate that loses more than
// 1/32 of the limit to unnecessary refusals.
TEST(gates, bits_never_exceed_the_limit)
{
    constexpr std::uint64_t limit = 1'000'000;
    std::mt19937_64 random{2};
    bit_gate gate;
    gate.set_limit(limit);
    history admitted;
    base::time_point now{1h};
    std::uint64_t total = 0;
    for (int n = 0; n < 200'000; ++n)
    {
        now += base::duration{std::int64_t(random() % 1'000'000)};
        std::uint64_t const bits = random() % 4'000;
        if (gate.admits(bits, now))
        {
            gate.charge(bits, now);
            admitted.add(now, bits);
            total += bits;
        }
        CHECK(admitted.sum(now) <= limit);
    }
    auto const seconds = std::uint64_t((now - base::time_point{1h}) / 1s);
    CHECK(total >= seconds * (limit - limit / 32));
    CHECK_FALSE(gate.admits(limit + 1, now + 2s));
    CHECK(gate.admits(limit, now + 2s));
}

// Guards against extra attempts beyond their fraction of the first attempts, which would amplify an
// overload.
TEST(gates, extra_attempts_stay_within_their_budget)
{
    extra_attempt_budget budget{retry_permille, 5};
    std::uint64_t extra = 0;
    for (std::uint64_t n = 1; n <= 10'000; ++n)
    {
        budget.on_first_attempt();
        extra += budget.try_take() ? 1 : 0;
        CHECK(extra * 1'000 <= 5'000 + n * retry_permille);
    }
    // 5 from the initial bucket and 199.98 from refills: the first attempt added nothing, because
    // the bucket was full.
    CHECK_EQUAL(204, extra);
}

TEST_GROUP(cap_set)
{
    model::configuration config;
    cap_set caps;
    base::time_point now{1h};

    void setup()
    {
        config.zones = {{base::availability_zone_id{"a1"}, base::region_id{"a"}},
                        {base::availability_zone_id{"b1"}, base::region_id{"b"}}};
        config.services = {{base::service_id{"s"}, base::organisation_id{"o"}, {}, {}, 0.9},
                           {base::service_id{"t"}, base::organisation_id{"p"}, {}, {}, 0.9}};
        for (auto const* const it : {"s", "t"})
        {
            for (auto const* const zone : {"a1", "b1"})
            {
                config.places.push_back(
                    {place(it, zone), base::service_id{it}, base::availability_zone_id{zone}, {}});
            }
        }
        add("o-a-b", "o", {base::region_id{"a"}, {}}, {base::region_id{"b"}, {}},
            model::cap_unit::requests_per_second);
        add("s-place", "o", {}, {{}, place("s", "b1")}, model::cap_unit::requests_per_second);
        add("link", "o", {base::region_id{"a"}, {}}, {base::region_id{"b"}, {}},
            model::cap_unit::kilobits_per_second);
        caps.apply(config);
    }
    static base::place_id place(char const* service, char const* zone)
    {
        return base::place_id{std::string{service} + "-" + zone};
    }
    void add(char const* id, char const* organisation, model::cap_end from, model::cap_end to,
             model::cap_unit unit)
    {
        config.caps.push_back({base::cap_id{id},
                               base::organisation_id{organisation},
                               std::move(from),
                               std::move(to),
                               unit,
                               100,
                               {}});
    }
    std::string move(char const* service, char const* from, char const* to,
                     std::uint64_t bytes = 125)
    {
        auto const* const refused =
            caps.try_charge(place(service, from), place(service, to), base::byte_count{bytes}, now);
        return refused == nullptr ? "admitted" : refused->value();
    }
    void share(char const* id, std::uint64_t amount)
    {
        caps.set_share(base::cap_id{id}, amount);
    }
};

// Guards against a cap that is not applied, or that is applied to moves it does not match.
TEST(cap_set, every_matching_cap_must_admit)
{
    CHECK_EQUAL(std::string{"admitted"}, move("s", "a1", "a1"));
    CHECK_EQUAL(std::string{"admitted"}, move("s", "b1", "a1"));
    CHECK_EQUAL(std::string{"link"}, move("t", "a1", "b1"));
    CHECK_EQUAL(std::string{"unknown-place"}, move("u", "a1", "b1"));
    share("link", 10);
    CHECK_EQUAL(std::string{"admitted"}, move("t", "a1", "b1"));
    CHECK_EQUAL(std::string{"o-a-b"}, move("s", "a1", "b1"));
    share("o-a-b", 2);
    CHECK_EQUAL(std::string{"s-place"}, move("s", "a1", "b1"));
    share("s-place", 9);
    CHECK_EQUAL(std::string{"admitted"}, move("s", "a1", "b1"));
    CHECK_EQUAL(std::string{"link"}, move("s", "a1", "b1", 1'250));
    // The refused moves were not charged to any cap.
    CHECK_EQUAL(std::string{"admitted"}, move("s", "a1", "b1"));
    CHECK_EQUAL(std::string{"o-a-b"}, move("s", "a1", "b1"));
    auto const demand = caps.take_demand();
    CHECK_EQUAL(3, demand.size());
    CHECK_EQUAL(6, demand[1].amount);
}

// Guards against a new configuration that resets the window of a cap.
TEST(cap_set, a_new_configuration_keeps_the_window_of_a_cap)
{
    share("link", 10);
    share("o-a-b", 1);
    share("s-place", 9);
    CHECK_EQUAL(std::string{"admitted"}, move("s", "a1", "b1"));
    caps.apply(config);
    CHECK_EQUAL(std::string{"o-a-b"}, move("s", "a1", "b1"));
    now += limit_window;
    CHECK_EQUAL(std::string{"admitted"}, move("s", "a1", "b1"));
}

TEST_GROUP(fair_division){};

// Guards against a division that exceeds the part or an owner's demand, or that is unfair to an
// owner.
TEST(fair_division, no_owner_gets_more_than_it_wants_and_the_sum_is_within_the_part)
{
    share_owner const a{base::instance_id{"a"}, base::incarnation{1}};
    share_owner const b{base::instance_id{"b"}, base::incarnation{2}};
    share_owner const c{base::instance_id{"c"}, base::incarnation{3}};
    using amounts = std::map<share_owner, std::uint64_t>;
    CHECK((divide_fairly(100, {{a, 10}, {b, 20}}) == amounts{{a, 10}, {b, 20}}));
    CHECK((divide_fairly(100, {{a, 10}, {b, 80}, {c, 90}}) == amounts{{a, 10}, {b, 45}, {c, 45}}));
    CHECK((divide_fairly(2, {{a, 9}, {b, 9}, {c, 9}}) == amounts{{a, 0}, {b, 1}, {c, 1}}));
    CHECK((divide_fairly(0, {{a, 9}}) == amounts{{a, 0}}));
}
