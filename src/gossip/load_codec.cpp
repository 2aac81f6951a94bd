#include <limits>

#include <nlohmann/json.hpp>

#include "fuchsiaproxy/gossip/load_exchange.hpp"

namespace fuchsiaproxy::gossip
{
namespace
{

using nlohmann::json;

constexpr std::uint32_t format_version = 2;
constexpr std::size_t values_per_upstream = 3;

std::uint32_t to_uint32(json const& it)
{
    auto const value = it.get<std::uint64_t>();
    if (!it.is_number_unsigned() || value > std::numeric_limits<std::uint32_t>::max())
    {
        throw std::out_of_range("value does not fit into 32 bits");
    }
    return static_cast<std::uint32_t>(value);
}

} // namespace

std::string to_cbor(steering::peer_load const& it)
{
    auto values = json::array();
    for (auto const& one : it.upstreams)
    {
        values.push_back(one.upstream);
        values.push_back(one.in_flight);
        values.push_back(one.service_time_percent);
    }
    json const message = json::array(
        {format_version, it.from.value(), it.sequence, std::move(values), it.revision.value()});
    std::string out;
    json::to_cbor(message, out);
    return out;
}

base::result<steering::peer_load> parse_load(std::string_view bytes)
{
    try
    {
        auto const message = json::from_cbor(bytes.begin(), bytes.end());
        auto const& values = message.at(3);
        if (message.at(0) != format_version || !values.is_array() ||
            values.size() % values_per_upstream != 0)
        {
            return base::make_error(base::error_kind::bad_message,
                                    "not a load message of the supported format version");
        }
        steering::peer_load made;
        made.from = base::instance_id(message.at(1).get<std::string>());
        made.sequence = message.at(2).get<std::uint64_t>();
        made.revision = steering::control_revision(message.at(4).get<std::uint64_t>());
        for (std::size_t n = 0; n < values.size(); n += values_per_upstream)
        {
            made.upstreams.push_back(
                {to_uint32(values[n]), to_uint32(values[n + 1]), to_uint32(values[n + 2])});
        }
        return made;
    }
    catch (std::exception const& ex)
    {
        return base::make_error(base::error_kind::bad_message, ex.what());
    }
}

} // namespace fuchsiaproxy::gossip
