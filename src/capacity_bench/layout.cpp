#include "layout.hpp"

#include <algorithm>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "fuchsiaproxy/peers/codec.hpp"

namespace fuchsiaproxy::capacity_bench
{
namespace
{

constexpr std::size_t target_zones = 29;
constexpr std::size_t target_regions = 12;
constexpr std::size_t entries_per_zone = 62;

// Incarnations of the daemon are start times in nanoseconds.
constexpr std::uint64_t first_incarnation = 1'790'000'000'000'000'000ULL;

std::string numbered(char const* prefix, std::size_t n)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%s-%04zu", prefix, n);
    return buf;
}

std::string address_of(std::size_t n, unsigned port)
{
    return "10.20." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":" +
           std::to_string(port);
}

} // namespace

std::vector<std::size_t> fleet_sizes(std::size_t max_entries)
{
    std::vector<std::size_t> sizes{12, 60, 300, 900, 1800};
    while (sizes.size() > 1 && sizes.back() > max_entries)
    {
        sizes.pop_back();
    }
    return sizes;
}

std::size_t zones_of(std::size_t entries)
{
    return std::max<std::size_t>(2, entries / entries_per_zone);
}

messages::entry_info make_entry(std::size_t n, std::size_t zones, std::uint64_t incarnation)
{
    std::size_t const zone = n % zones;
    messages::entry_info it;
    it.id = base::instance_id(numbered("entry", n));
    it.incarnation = base::incarnation(first_incarnation + incarnation);
    it.region = base::region_id(numbered("region", zone * target_regions / target_zones));
    it.zone = base::availability_zone_id(numbered("zone", zone));
    it.caller_address = address_of(n, 8080);
    it.peer_address = address_of(n, 8081);
    it.load_permille = 300;
    return it;
}

messages::digest make_view(std::size_t entries, std::size_t zones)
{
    messages::digest it;
    it.version = base::config_version(70'000);
    it.revision = 100'000;
    it.full = true;
    for (std::size_t n = 0; n < entries; ++n)
    {
        auto entry = make_entry(n, zones, n);
        entry.version = it.version;
        entry.witness = base::instance_id(numbered("entry", (n + 1) % entries));
        entry.witness_incarnation = entry.incarnation;
        entry.generation = 600;
        it.entries.push_back(std::move(entry));
    }
    return it;
}

std::size_t encoded_size(messages::message body)
{
    messages::envelope const it{base::instance_id("entry-0000"),
                                base::incarnation(first_incarnation), 100'000, std::move(body)};
    auto const bytes = peers::encode(it);
    if (!bytes)
    {
        throw std::runtime_error("the codec rejected a message");
    }
    return bytes.value().size();
}

} // namespace fuchsiaproxy::capacity_bench
