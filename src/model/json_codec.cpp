#include "json_codec.hpp"

#include <arpa/inet.h>

#include <array>
#include <chrono>
#include <limits>
#include <set>

namespace fuchsiaproxy::model::detail
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_path_length = 1024;
constexpr std::size_t max_method_length = 32;
constexpr std::uint64_t max_weight = 1'000'000;
constexpr std::uint64_t max_slots = 100'000;
constexpr std::uint64_t max_connections = 1'000'000;
constexpr std::uint64_t max_deadline_ms = 3'600'000;
constexpr std::uint64_t max_delay_us = 10'000'000;
// Small enough that the sum of the parts cannot overflow 64 bits.
constexpr std::uint64_t max_cap_limit = 1'000'000'000'000;
constexpr std::size_t min_salt_digits = 32;
constexpr std::size_t max_salt_digits = 128;
constexpr std::size_t hash_digits = 64;

std::uint64_t microseconds(base::duration d)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(d).count());
}

base::duration read_delay(json_reader const& in)
{
    return std::chrono::microseconds(in.integer(0, max_delay_us));
}

template <class Items>
json encode_all(Items const& items)
{
    auto result = json::array();
    for (auto const& it : items)
    {
        result.push_back(encode(it));
    }
    return result;
}

json encode_operators(std::vector<operator_key> const& operators)
{
    auto result = json::array();
    for (auto const& it : operators)
    {
        result.push_back({{"id", it.id.value()}, {"salt", it.salt}, {"hash", it.hash}});
    }
    return result;
}

std::vector<operator_key> decode_operators(json_reader const& in)
{
    std::vector<operator_key> result;
    std::set<std::string> seen;
    for (auto const& it : in.elements())
    {
        it.require_object({"id", "salt", "hash"});
        operator_key key;
        key.id = base::operator_id(it.field("id").id());
        key.salt = it.field("salt").hexadecimal(min_salt_digits, max_salt_digits);
        key.hash = it.field("hash").hexadecimal(hash_digits, hash_digits);
        if (!seen.insert(key.id.value()).second)
        {
            it.field("id").fail("an id that no earlier operator has");
        }
        result.push_back(std::move(key));
    }
    return result;
}

json encode_end(cap_end const& it)
{
    auto result = json::object();
    if (!it.region.value().empty())
    {
        result["region"] = it.region.value();
    }
    if (!it.place.value().empty())
    {
        result["place"] = it.place.value();
    }
    return result;
}

cap_end decode_end(json_reader const& in)
{
    in.require_object({"region", "place"});
    cap_end it;
    auto const region = in.optional_field("region");
    auto const at = in.optional_field("place");
    if (region && at)
    {
        in.fail("a region or a place, not both");
    }
    if (region)
    {
        it.region = base::region_id(region->id());
    }
    if (at)
    {
        it.place = base::place_id(at->id());
    }
    return it;
}

json encode_class(request_class const& it)
{
    using std::chrono::milliseconds;
    json result{{"name", it.name},
                {"idempotent", it.idempotent},
                {"weight", it.weight.value()},
                {"deadline_ms", std::chrono::duration_cast<milliseconds>(it.deadline).count()}};
    if (!it.method.empty())
    {
        result["method"] = it.method;
    }
    if (!it.path_prefix.empty())
    {
        result["path_prefix"] = it.path_prefix;
    }
    return result;
}

std::string read_method(json_reader const& in)
{
    auto method = in.text(max_method_length);
    for (char const c : method)
    {
        if (c < 'A' || c > 'Z')
        {
            in.fail("an HTTP method in upper case");
        }
    }
    return method;
}

request_class decode_class(json_reader const& in)
{
    in.require_object({"name", "method", "path_prefix", "idempotent", "weight", "deadline_ms"});
    request_class it;
    it.name = in.field("name").id();
    if (auto const method = in.optional_field("method"))
    {
        it.method = read_method(*method);
    }
    if (auto const prefix = in.optional_field("path_prefix"))
    {
        it.path_prefix = prefix->text(max_path_length);
        if (!it.path_prefix.empty() && it.path_prefix.front() != '/')
        {
            prefix->fail("a path that starts with \"/\"");
        }
    }
    it.idempotent = in.field("idempotent").boolean();
    it.weight =
        base::request_weight(static_cast<std::uint32_t>(in.field("weight").integer(1, max_weight)));
    it.deadline = std::chrono::milliseconds(in.field("deadline_ms").integer(1, max_deadline_ms));
    return it;
}

json encode_upstream(upstream const& it)
{
    return {{"id", it.id.value()},
            {"address", it.at.address},
            {"port", it.at.port},
            {"slots", it.slots.value()},
            {"max_connections", it.max_connections}};
}

bool is_address(std::string const& text)
{
    std::array<unsigned char, sizeof(in6_addr)> ignored{};
    return inet_pton(AF_INET, text.c_str(), ignored.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), ignored.data()) == 1;
}

upstream decode_upstream(json_reader const& in)
{
    in.require_object({"id", "address", "port", "slots", "max_connections"});
    upstream it;
    it.id = base::upstream_id(in.field("id").id());
    it.at.address = in.field("address").text(max_path_length);
    if (!is_address(it.at.address))
    {
        in.field("address").fail("an IPv4 or IPv6 address");
    }
    it.at.port = static_cast<std::uint16_t>(
        in.field("port").integer(1, std::numeric_limits<std::uint16_t>::max()));
    it.slots =
        base::slot_count(static_cast<std::uint32_t>(in.field("slots").integer(1, max_slots)));
    it.max_connections =
        static_cast<std::uint32_t>(in.field("max_connections").integer(1, max_connections));
    return it;
}

template <class Id>
std::string read_unique_id(json_reader const& in, std::set<Id>& seen)
{
    auto id = in.id();
    if (!seen.insert(id).second)
    {
        in.fail("an id that no earlier element has");
    }
    return id;
}

template <class T>
void decode_section(json_reader const& in, std::string const& name, std::vector<T>& items)
{
    auto const section = in.optional_field(name);
    if (!section)
    {
        return;
    }
    std::set<std::string> seen;
    for (auto const& it : section->elements())
    {
        items.push_back(decode_as<T>(it));
        if (!seen.insert(items.back().id.value()).second)
        {
            it.field("id").fail("an id that no earlier element has");
        }
    }
}

template <class T>
void encode_section(json& out, char const* name, std::vector<T> const& items)
{
    if (!items.empty())
    {
        out[name] = encode_all(items);
    }
}

} // namespace

json encode(availability_zone const& it)
{
    return {{"id", it.id.value()}, {"region", it.region.value()}};
}

json encode(network_delays const& it)
{
    return {{"between_zones_us", microseconds(it.between_zones)},
            {"between_regions_us", microseconds(it.between_regions)},
            {"to_callers_us", microseconds(it.to_callers)}};
}

json encode(member const& it)
{
    return {{"id", it.id.value()}, {"operators", encode_operators(it.operators)}};
}

json encode(join_request const& it)
{
    auto approvals = json::array();
    for (auto const& by : it.approvals)
    {
        approvals.push_back(by.value());
    }
    return {{"id", it.id.value()},
            {"operators", encode_operators(it.operators)},
            {"approvals", std::move(approvals)}};
}

json encode(service const& it)
{
    auto classes = json::array();
    for (auto const& c : it.classes)
    {
        classes.push_back(encode_class(c));
    }
    return {{"id", it.id.value()},
            {"organisation", it.organisation.value()},
            {"classes", std::move(classes)},
            {"shed_statuses", it.shed_statuses},
            {"objective", it.objective}};
}

json encode(place const& it)
{
    auto upstreams = json::array();
    for (auto const& u : it.upstreams)
    {
        upstreams.push_back(encode_upstream(u));
    }
    return {{"id", it.id.value()},
            {"service", it.service.value()},
            {"zone", it.zone.value()},
            {"upstreams", std::move(upstreams)}};
}

json encode(cap const& it)
{
    auto split = json::object();
    for (auto const& [zone, part] : it.split)
    {
        split[zone.value()] = part;
    }
    return {{"id", it.id.value()},
            {"organisation", it.organisation.value()},
            {"from", encode_end(it.from)},
            {"to", encode_end(it.to)},
            {"unit", it.unit == cap_unit::requests_per_second ? "requests_per_second"
                                                              : "kilobits_per_second"},
            {"limit", it.limit},
            {"split", std::move(split)}};
}

json encode(shift const& it)
{
    return {{"id", it.id.value()},           {"organisation", it.organisation.value()},
            {"service", it.service.value()}, {"from", it.from.value()},
            {"to", it.to.value()},           {"percent", it.percent}};
}

json encode(drain const& it)
{
    return {{"id", it.id.value()},
            {"organisation", it.organisation.value()},
            {"place", it.place.value()}};
}

json encode(configuration const& it)
{
    auto out = json::object();
    if (it.version != base::config_version(0))
    {
        out["version"] = it.version.value();
    }
    if (!equal_as_json(it.delays, network_delays{}))
    {
        out["delays"] = encode(it.delays);
    }
    encode_section(out, "zones", it.zones);
    encode_section(out, "members", it.members);
    encode_section(out, "joins", it.joins);
    encode_section(out, "services", it.services);
    encode_section(out, "places", it.places);
    encode_section(out, "caps", it.caps);
    encode_section(out, "shifts", it.shifts);
    encode_section(out, "drains", it.drains);
    return out;
}

void decode(json_reader const& in, availability_zone& it)
{
    in.require_object({"id", "region"});
    it.id = base::availability_zone_id(in.field("id").id());
    it.region = base::region_id(in.field("region").id());
}

void decode(json_reader const& in, network_delays& it)
{
    in.require_object({"between_zones_us", "between_regions_us", "to_callers_us"});
    it.between_zones = read_delay(in.field("between_zones_us"));
    it.between_regions = read_delay(in.field("between_regions_us"));
    it.to_callers = read_delay(in.field("to_callers_us"));
}

void decode(json_reader const& in, member& it)
{
    in.require_object({"id", "operators"});
    it.id = base::organisation_id(in.field("id").id());
    it.operators = decode_operators(in.field("operators"));
}

void decode(json_reader const& in, join_request& it)
{
    in.require_object({"id", "operators", "approvals"});
    it.id = base::organisation_id(in.field("id").id());
    it.operators = decode_operators(in.field("operators"));
    if (auto const approvals = in.optional_field("approvals"))
    {
        std::set<std::string> seen;
        for (auto const& by : approvals->elements())
        {
            it.approvals.emplace_back(read_unique_id(by, seen));
        }
    }
}

void decode(json_reader const& in, service& it)
{
    in.require_object({"id", "organisation", "classes", "shed_statuses", "objective"});
    it.id = base::service_id(in.field("id").id());
    it.organisation = base::organisation_id(in.field("organisation").id());
    auto const classes = in.field("classes");
    std::set<std::string> names;
    for (auto const& c : classes.elements())
    {
        it.classes.push_back(decode_class(c));
        read_unique_id(c.field("name"), names);
    }
    if (it.classes.empty())
    {
        classes.fail("at least one class, the last of which is the default");
    }
    if (auto const statuses = in.optional_field("shed_statuses"))
    {
        for (auto const& status : statuses->elements())
        {
            it.shed_statuses.push_back(static_cast<unsigned>(status.integer(400, 599)));
        }
    }
    if (auto const objective = in.optional_field("objective"))
    {
        it.objective = objective->open_fraction();
    }
}

void decode(json_reader const& in, place& it)
{
    in.require_object({"id", "service", "zone", "upstreams"});
    it.id = base::place_id(in.field("id").id());
    it.service = base::service_id(in.field("service").id());
    it.zone = base::availability_zone_id(in.field("zone").id());
    std::set<std::string> seen;
    for (auto const& u : in.field("upstreams").elements())
    {
        it.upstreams.push_back(decode_upstream(u));
        read_unique_id(u.field("id"), seen);
    }
}

void decode(json_reader const& in, cap& it)
{
    in.require_object({"id", "organisation", "from", "to", "unit", "limit", "split"});
    it.id = base::cap_id(in.field("id").id());
    it.organisation = base::organisation_id(in.field("organisation").id());
    it.from = decode_end(in.field("from"));
    it.to = decode_end(in.field("to"));
    auto const unit = in.field("unit").text(max_method_length);
    if (unit != "requests_per_second" && unit != "kilobits_per_second")
    {
        in.field("unit").fail("\"requests_per_second\" or \"kilobits_per_second\"");
    }
    it.unit = unit == "requests_per_second" ? cap_unit::requests_per_second
                                            : cap_unit::kilobits_per_second;
    it.limit = in.field("limit").integer(0, max_cap_limit);
    for (auto const& [zone, part] : in.field("split").fields())
    {
        if (!is_id(zone))
        {
            part.fail("the id of a zone as the field's name");
        }
        it.split[base::availability_zone_id(zone)] = part.integer(0, max_cap_limit);
    }
}

void decode(json_reader const& in, shift& it)
{
    in.require_object({"id", "organisation", "service", "from", "to", "percent"});
    it.id = base::shift_id(in.field("id").id());
    it.organisation = base::organisation_id(in.field("organisation").id());
    it.service = base::service_id(in.field("service").id());
    it.from = base::place_id(in.field("from").id());
    it.to = base::place_id(in.field("to").id());
    it.percent = static_cast<std::uint32_t>(in.field("percent").integer(0, 100));
}

void decode(json_reader const& in, drain& it)
{
    in.require_object({"id", "organisation", "place"});
    it.id = base::drain_id(in.field("id").id());
    it.organisation = base::organisation_id(in.field("organisation").id());
    it.place = base::place_id(in.field("place").id());
}

void decode(json_reader const& in, configuration& it)
{
    in.require_object({"version", "delays", "zones", "members", "joins", "services", "places",
                       "caps", "shifts", "drains"});
    if (auto const version = in.optional_field("version"))
    {
        it.version =
            base::config_version(version->integer(0, std::numeric_limits<std::int64_t>::max()));
    }
    if (auto const delays = in.optional_field("delays"))
    {
        decode(*delays, it.delays);
    }
    decode_section(in, "zones", it.zones);
    decode_section(in, "members", it.members);
    decode_section(in, "joins", it.joins);
    decode_section(in, "services", it.services);
    decode_section(in, "places", it.places);
    decode_section(in, "caps", it.caps);
    decode_section(in, "shifts", it.shifts);
    decode_section(in, "drains", it.drains);
}

} // namespace fuchsiaproxy::model::detail
