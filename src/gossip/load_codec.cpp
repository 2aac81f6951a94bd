#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "fuchsiaproxy/encoding/cbor_structure.hpp"
#include "fuchsiaproxy/gossip/load_exchange.hpp"

namespace fuchsiaproxy::gossip
{
namespace
{

using nlohmann::json;

constexpr std::uint32_t format_version = 3;

// The upstreams of a message are a byte string of records, each with the tag, the attempts and the
// service time, in network byte order. Decoding a CBOR number for each value would take most of the
// time of an entry that hears from hundreds of others.
constexpr std::size_t tag_bytes = 4;
constexpr std::size_t count_bytes = 2;
constexpr std::size_t record_bytes = tag_bytes + 2 * count_bytes;

// Elements 5 to 8 were added later; older versions ignore them and don't send them. Element 5 has a
// record for each tenant: the tag, the count of admissions and the demand. Element 6 has the open
// work of each upstream of element 3, in the same order. Element 7 has the tags of entries that are
// not heard, element 8 the era of the sender's position. An element is left out if it and those
// after it are empty.
constexpr std::size_t tenants_element = 5;
constexpr std::size_t open_work_element = 6;
constexpr std::size_t unheard_element = 7;
constexpr std::size_t era_element = 8;
constexpr std::size_t number_bytes = 4;
constexpr std::size_t tenant_bytes = tag_bytes + 2 * number_bytes;
constexpr double demand_units_per_s = 100;
constexpr base::duration open_work_unit = std::chrono::milliseconds(10);

void append(std::vector<std::uint8_t>& out, std::uint32_t value, std::size_t bytes)
{
    for (auto n = bytes; n-- > 0;)
    {
        out.push_back(static_cast<std::uint8_t>(value >> (8 * n)));
    }
}

/// Appends a count of two bytes; larger values are replaced by the largest one.
void append_count(std::vector<std::uint8_t>& out, std::uint32_t value)
{
    constexpr std::uint32_t largest = 0xffff;
    append(out, std::min(value, largest), count_bytes);
}

std::uint32_t read_number(std::uint8_t const* from, std::size_t bytes)
{
    std::uint32_t made = 0;
    for (std::size_t n = 0; n < bytes; ++n)
    {
        made = (made << 8U) | from[n];
    }
    return made;
}

/// Returns the era of a message; zero if it has none, as from entries of an older version and of a
/// store without eras.
base::store_era read_era(json const& message)
{
    if (message.size() <= era_element)
    {
        return {};
    }
    auto const& it = message.at(era_element);
    if (!it.is_number_unsigned())
    {
        throw std::invalid_argument("the era is not a whole number");
    }
    return base::store_era(it.get<std::uint64_t>());
}

steering::upstream_load read_record(std::uint8_t const* from)
{
    return {read_number(from, tag_bytes), read_number(from + tag_bytes, count_bytes),
            read_number(from + tag_bytes + count_bytes, count_bytes)};
}

std::uint32_t demand_units(double per_s)
{
    constexpr double largest = 0xffffffffU;
    auto const units = per_s * demand_units_per_s + 0.5;
    // The comparison is false for a value that is not a number as well.
    return units > 0 ? static_cast<std::uint32_t>(std::min(units, largest)) : 0;
}

std::uint32_t open_work_units(base::duration work)
{
    constexpr base::duration::rep largest = 0xffff;
    auto const units = (work + open_work_unit / 2) / open_work_unit;
    return static_cast<std::uint32_t>(std::clamp<base::duration::rep>(units, 0, largest));
}

json::binary_t tenant_records(steering::peer_load const& it)
{
    std::vector<std::uint8_t> out;
    out.reserve(it.tenants.size() * tenant_bytes);
    for (auto const& one : it.tenants)
    {
        append(out, one.tenant, tag_bytes);
        append(out, one.admitted, number_bytes);
        append(out, demand_units(one.demand_per_s), number_bytes);
    }
    return json::binary_t(std::move(out));
}

json::binary_t open_work_records(steering::peer_load const& it)
{
    std::vector<std::uint8_t> out;
    out.reserve(it.upstreams.size() * count_bytes);
    for (auto const& one : it.upstreams)
    {
        append(out, open_work_units(one.open_work), count_bytes);
    }
    return json::binary_t(std::move(out));
}

json::binary_t unheard_records(steering::peer_load const& it)
{
    std::vector<std::uint8_t> out;
    out.reserve(it.unheard.size() * tag_bytes);
    for (auto const one : it.unheard)
    {
        append(out, one, tag_bytes);
    }
    return json::binary_t(std::move(out));
}

/// Returns element `n` of a message, empty if the message is from a version without it; unset if it
/// is of another type.
std::optional<json::binary_t> later_element(json const& message, std::size_t n)
{
    if (message.size() <= n)
    {
        return json::binary_t();
    }
    return message[n].is_binary() ? std::optional(message[n].get_binary()) : std::nullopt;
}

/// Reads the elements that older versions don't send; returns whether they are well formed.
bool read_later_elements(json const& message, steering::peer_load& into)
{
    auto const tenants = later_element(message, tenants_element);
    auto const work = later_element(message, open_work_element);
    auto const unheard = later_element(message, unheard_element);
    auto const has_work = message.size() > open_work_element;
    if (!tenants || !unheard || unheard->size() % tag_bytes != 0 || !work ||
        tenants->size() % tenant_bytes != 0 ||
        (has_work && work->size() != into.upstreams.size() * count_bytes))
    {
        return false;
    }
    into.tenants.reserve(tenants->size() / tenant_bytes);
    for (std::size_t n = 0; n < tenants->size(); n += tenant_bytes)
    {
        auto const* const from = tenants->data() + n;
        into.tenants.push_back(
            {read_number(from, tag_bytes), read_number(from + tag_bytes, number_bytes),
             read_number(from + tag_bytes + number_bytes, number_bytes) / demand_units_per_s});
    }
    for (std::size_t n = 0; n < work->size(); n += count_bytes)
    {
        into.upstreams[n / count_bytes].open_work =
            open_work_unit * read_number(work->data() + n, count_bytes);
    }
    for (std::size_t n = 0; n < unheard->size(); n += tag_bytes)
    {
        into.unheard.push_back(read_number(unheard->data() + n, tag_bytes));
    }
    return true;
}

} // namespace

std::string to_cbor(steering::peer_load const& it)
{
    std::vector<std::uint8_t> records;
    records.reserve(it.upstreams.size() * record_bytes);
    for (auto const& one : it.upstreams)
    {
        append(records, one.upstream, tag_bytes);
        append_count(records, one.in_flight);
        append_count(records, one.service_time_percent);
    }
    json message = json::array({format_version, it.from.value(), it.sequence,
                                json::binary(std::move(records)), it.position.revision.value()});
    auto const has_work =
        std::any_of(it.upstreams.begin(), it.upstreams.end(),
                    [](auto const& one) { return open_work_units(one.open_work) > 0; });
    auto const has_era = it.position.era != base::store_era();
    auto const has_unheard = !it.unheard.empty();
    if (!it.tenants.empty() || has_work || has_unheard || has_era)
    {
        message.push_back(json::binary(tenant_records(it)));
    }
    if (has_work || has_unheard || has_era)
    {
        message.push_back(json::binary(open_work_records(it)));
    }
    if (has_unheard || has_era)
    {
        message.push_back(json::binary(unheard_records(it)));
    }
    if (has_era)
    {
        message.push_back(it.position.era.value());
    }
    std::string out;
    json::to_cbor(message, out);
    return out;
}

base::result<steering::peer_load> parse_load(std::string_view bytes)
{
    auto const structure = encoding::check_structure(bytes);
    if (!structure)
    {
        return structure.error();
    }
    try
    {
        auto const message = json::from_cbor(bytes.begin(), bytes.end());
        if (message.at(0) != format_version || !message.at(3).is_binary() ||
            message.at(3).get_binary().size() % record_bytes != 0)
        {
            return base::make_error(base::error_kind::bad_message,
                                    "not a load message of the supported format version");
        }
        steering::peer_load made;
        made.from = base::instance_id(message.at(1).get<std::string>());
        made.sequence = message.at(2).get<std::uint64_t>();
        made.position = {read_era(message),
                         base::store_revision(message.at(4).get<std::uint64_t>())};
        auto const& records = message.at(3).get_binary();
        made.upstreams.reserve(records.size() / record_bytes);
        for (std::size_t n = 0; n < records.size(); n += record_bytes)
        {
            made.upstreams.push_back(read_record(records.data() + n));
        }
        if (!read_later_elements(message, made))
        {
            return base::make_error(base::error_kind::bad_message,
                                    "load message with malformed tenants, open work or entries");
        }
        return made;
    }
    catch (std::exception const& ex)
    {
        return base::make_error(base::error_kind::bad_message, ex.what());
    }
}

} // namespace fuchsiaproxy::gossip
