#include <chrono>
#include <cstdint>
#include <limits>
#include <string>

#include <nlohmann/json.hpp>

#include "../testing/small_stack.hpp"

#include "fuchsiaproxy/gossip/load_exchange.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace std::chrono_literals;

namespace
{

steering::peer_load sample()
{
    return {base::instance_id("e1"),
            7,
            {{0xffffffffU, 3, 250}, {1, 0, 100}},
            {},
            {{}, base::store_revision(1ULL << 40U)}};
}

/// The same load with tenants and open work.
steering::peer_load full_sample()
{
    auto made = sample();
    made.tenants = {{0xfffffffeU, 0xfffffffdU, 12.34}, {2, 5, 0}};
    made.upstreams[0].open_work = 1250ms;
    return made;
}

/// A message of the version before tenants and open work, for `sample`.
std::string const older_message = []
{
    constexpr char bytes[] = "\x85\x03\x62"
                             "e1\x07\x50"
                             "\xff\xff\xff\xff\x00\x03\x00\xfa"
                             "\x00\x00\x00\x01\x00\x00\x00\x64"
                             "\x1b\x00\x00\x01\x00\x00\x00\x00\x00";
    return std::string(bytes, sizeof bytes - 1);
}();

std::string encoded(nlohmann::json const& message)
{
    std::string out;
    nlohmann::json::to_cbor(message, out);
    return out;
}

} // namespace

TEST_GROUP(load_codec){};

TEST(load_codec, decoding_restores_the_encoded_load)
{
    auto const read = gossip::parse_load(gossip::to_cbor(sample()));
    CHECK(read.has_value());
    CHECK(read.value().from == base::instance_id("e1"));
    LONGS_EQUAL(7, read.value().sequence);
    CHECK(read.value().position == sample().position);
    LONGS_EQUAL(2, read.value().upstreams.size());
    CHECK(read.value().upstreams[0].upstream == 0xffffffffU);
    LONGS_EQUAL(3, read.value().upstreams[0].in_flight);
    LONGS_EQUAL(250, read.value().upstreams[0].service_time_percent);
}

// Guards against a load that appears small because its count does not fit.
TEST(load_codec, counts_that_do_not_fit_are_capped)
{
    auto large = sample();
    large.upstreams[0].in_flight = 0x10001;
    auto const read = gossip::parse_load(gossip::to_cbor(large));
    LONGS_EQUAL(0xffff, read.value().upstreams[0].in_flight);
    LONGS_EQUAL(250, read.value().upstreams[0].service_time_percent);
}

// Guards against a position without its era, which would be older than those of entries that know
// it, and against a message that entries of an older version reject.
TEST(load_codec, the_era_is_optional_and_has_a_fixed_place)
{
    auto with_era = sample();
    with_era.position.era = base::store_era(3);
    auto message = nlohmann::json::from_cbor(gossip::to_cbor(with_era));
    LONGS_EQUAL(9, message.size());
    LONGS_EQUAL(3, message.at(8).get<std::uint64_t>());
    for (std::size_t const other : {5U, 6U, 7U})
    {
        CHECK(message.at(other).is_binary());
    }
    auto const decoded = [](nlohmann::json const& it)
    {
        std::string text;
        nlohmann::json::to_cbor(it, text);
        return gossip::parse_load(text);
    };
    message.push_back("of a later version");
    CHECK(decoded(message).value().position == with_era.position);
    for (auto const& bad : {nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json("3")})
    {
        message.at(8) = bad;
        CHECK_FALSE(decoded(message).has_value());
    }
    auto without = sample();
    without.position.era = {};
    message = nlohmann::json::from_cbor(gossip::to_cbor(without));
    LONGS_EQUAL(5, message.size());
    CHECK(decoded(message).value().position == without.position);
    // An element before that of the era is not read as one.
    message.push_back(nlohmann::json::binary({}));
    CHECK(decoded(message).value().position == without.position);
}

// Guards against datagrams of other programs that crash the process or are decoded as a load.
TEST(load_codec, malformed_datagrams_are_rejected)
{
    auto const whole = gossip::to_cbor(sample());
    for (std::size_t n = 0; n < whole.size(); ++n)
    {
        CHECK_FALSE(gossip::parse_load(whole.substr(0, n)).has_value());
    }
    for (std::string const text :
         {"\x85\x03\x61\x61\x01\x47\x01\x01\x01\x01\x01\x01\x01\x01",
          "\x85\x03\x61\x61\x01\x81\x01\x01", "\x80", "\xa0", "\x84\x02\x61\x61\x01\x80",
          "\x85\x01\x61\x61\x01\x80\x01", "\x85\x02\x61\x61\x01\x81\x01\x01", "hello"})
    {
        CHECK_FALSE(gossip::parse_load(text).has_value());
    }
}

TEST(load_codec, decoding_restores_tenants_and_open_work)
{
    auto const read = gossip::parse_load(gossip::to_cbor(full_sample()));
    CHECK(read.has_value());
    LONGS_EQUAL(2, read.value().tenants.size());
    CHECK(read.value().tenants[0].tenant == 0xfffffffeU);
    CHECK(read.value().tenants[0].admitted == 0xfffffffdU);
    DOUBLES_EQUAL(12.34, read.value().tenants[0].demand_per_s, 1e-9);
    LONGS_EQUAL(5, read.value().tenants[1].admitted);
    CHECK(read.value().upstreams[0].open_work == 1250ms);
    CHECK(read.value().upstreams[1].open_work == 0ms);
}

// Guards against an upgrade after which entries reject the messages of those not yet upgraded.
TEST(load_codec, messages_of_the_older_version_have_no_tenants_and_no_open_work)
{
    auto const read = gossip::parse_load(older_message);
    CHECK(read.has_value());
    LONGS_EQUAL(2, read.value().upstreams.size());
    LONGS_EQUAL(250, read.value().upstreams[0].service_time_percent);
    CHECK(read.value().upstreams[0].open_work == 0ms);
    CHECK(read.value().tenants.empty());
}

// Guards against an upgrade after which entries that are not yet upgraded reject the messages of
// the others. The older version reads the first five elements and ignores further ones.
TEST(load_codec, older_versions_can_read_new_messages)
{
    CHECK(older_message == gossip::to_cbor(sample()));
    auto message = nlohmann::json::from_cbor(gossip::to_cbor(full_sample()));
    LONGS_EQUAL(7, message.size());
    message.erase(6);
    message.erase(5);
    CHECK(older_message == encoded(message));
}

// Guards against an entry that believes that all others hear it, because its name was left out.
TEST(load_codec, decoding_restores_the_entries_that_are_not_heard)
{
    auto load = sample();
    load.unheard = {0xfffffff0U, 3};
    auto const read = gossip::parse_load(gossip::to_cbor(load));
    CHECK(read.has_value());
    CHECK(read.value().unheard == load.unheard);
    CHECK(read.value().tenants.empty());
    CHECK(read.value().upstreams[0].open_work == 0ms);
    auto message = nlohmann::json::from_cbor(gossip::to_cbor(load));
    message[7] = nlohmann::json::binary({1, 2, 3});
    CHECK_FALSE(gossip::parse_load(encoded(message)).has_value());
}

// Guards against a later version whose further elements this version rejects.
TEST(load_codec, further_elements_are_ignored)
{
    auto message = nlohmann::json::from_cbor(gossip::to_cbor(full_sample()));
    message.push_back(nlohmann::json::binary({}));
    message.push_back(0U);
    message.push_back("later");
    auto const read = gossip::parse_load(encoded(message));
    CHECK(read.has_value());
    LONGS_EQUAL(2, read.value().tenants.size());
}

// Guards against open work that is read as tenants because the element before it is missing.
TEST(load_codec, open_work_without_tenants_follows_an_empty_element)
{
    auto load = full_sample();
    load.tenants.clear();
    auto const message = nlohmann::json::from_cbor(gossip::to_cbor(load));
    LONGS_EQUAL(7, message.size());
    LONGS_EQUAL(0, message[5].get_binary().size());
    load.upstreams[0].open_work = 0ms;
    LONGS_EQUAL(5, nlohmann::json::from_cbor(gossip::to_cbor(load)).size());
    load.tenants = full_sample().tenants;
    LONGS_EQUAL(6, nlohmann::json::from_cbor(gossip::to_cbor(load)).size());
}

// Guards against records that are read at the wrong offset, or attributed to the wrong upstream.
TEST(load_codec, tenants_and_open_work_of_the_wrong_size_or_type_are_rejected)
{
    using nlohmann::json;
    auto const whole = json::from_cbor(gossip::to_cbor(full_sample()));
    for (auto const& [element, value] :
         {std::pair<std::size_t, json>{5, json::binary({1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11})},
          {5, "text"},
          {5, nullptr},
          {6, json::binary({0, 1})},
          {6, json::binary({0, 1, 0})},
          {6, json::binary({})},
          {6, json::array({1, 2})}})
    {
        auto message = whole;
        message[element] = value;
        CHECK_FALSE(gossip::parse_load(encoded(message)).has_value());
    }
}

// Guards against open work or demand that appears small because it does not fit.
TEST(load_codec, open_work_and_demand_that_do_not_fit_are_capped)
{
    auto large = full_sample();
    large.upstreams[0].open_work = 1h;
    large.upstreams[1].open_work = -1s;
    large.tenants[0].demand_per_s = 1e12;
    large.tenants[1].demand_per_s = std::numeric_limits<double>::quiet_NaN();
    auto const read = gossip::parse_load(gossip::to_cbor(large));
    CHECK(read.value().upstreams[0].open_work == 655350ms);
    CHECK(read.value().upstreams[1].open_work == 0ms);
    DOUBLES_EQUAL(42949672.95, read.value().tenants[0].demand_per_s, 1e-3);
    DOUBLES_EQUAL(0, read.value().tenants[1].demand_per_s, 0);
}

// Guards against messages that outgrow the path's bytes unnoticed: the interfaces of small entries
// are paid for by the byte. A message of 25 upstreams had 230 bytes before tenants and open work.
TEST(load_codec, bytes_of_a_message_with_25_upstreams_and_15_tenants)
{
    steering::peer_load load;
    load.from = base::instance_id("mazowsze-a-0001");
    load.sequence = 100'000;
    load.position.revision = base::store_revision(100'000);
    for (std::uint32_t n = 0; n < 25; ++n)
    {
        load.upstreams.push_back({n, 3, 100});
    }
    LONGS_EQUAL(230, gossip::to_cbor(load).size());
    for (std::uint32_t n = 0; n < 15; ++n)
    {
        load.tenants.push_back({n, 1000, 8});
    }
    LONGS_EQUAL(412, gossip::to_cbor(load).size());
    load.upstreams[0].open_work = 800ms;
    LONGS_EQUAL(464, gossip::to_cbor(load).size());
}

// Guards against a datagram of another sender that ends the process: nlohmann's CBOR reader
// recurses once per level, and a datagram holds 16,384 of them.
TEST(load_codec, deeply_nested_messages_are_rejected)
{
    constexpr std::size_t largest_datagram = 16384;
    std::string const arrays(largest_datagram, '\x81');
    std::string maps;
    while (maps.size() < largest_datagram)
    {
        maps += "\xa1\x60"; // A map with one key, the empty string.
    }
    std::size_t rejected = 0;
    testing::run_on_small_stack(
        [&]()
        {
            for (auto const& nested : {arrays, maps, "\x85\x03" + arrays})
            {
                rejected += gossip::parse_load(nested) ? 0 : 1;
            }
        });
    LONGS_EQUAL(3, rejected);
}
