#include <limits>

#include <nlohmann/json.hpp>

#include "fuchsiaproxy/gossip/load_exchange.hpp"

namespace fuchsiaproxy::gossip
{
namespace
{

using nlohmann::json;

constexpr std::uint32_t format_version = 2;
constexpr std::size_t figures_per_upstream = 3;

std::uint32_t figure(json const& it)
{
    auto const value = it.get<std::uint64_t>();
    if (!it.is_number_unsigned() || value > std::numeric_limits<std::uint32_t>::max())
    {
        throw std::out_of_range("figure out of range");
    }
    return static_cast<std::uint32_t>(value);
}

} // namespace

std::string to_cbor(steering::peer_load const& it)
{
    auto figures = json::array();
    for (auto const& one : it.upstreams)
    {
        figures.push_back(one.upstream);
        figures.push_back(one.in_flight);
        figures.push_back(one.pace_percent);
    }
    json const message = json::array(
        {format_version, it.from.value(), it.sequence, std::move(figures), it.revision.value()});
    std::string out;
    json::to_cbor(message, out);
    return out;
}

base::result<steering::peer_load> parse_load(std::string_view bytes)
{
    try
    {
        auto const message = json::from_cbor(bytes.begin(), bytes.end());
        auto const& figures = message.at(3);
        if (message.at(0) != format_version || !figures.is_array() ||
            figures.size() % figures_per_upstream != 0)
        {
            return base::make_error(base::error_kind::bad_message, "not a load of this version");
        }
        steering::peer_load made;
        made.from = base::instance_id(message.at(1).get<std::string>());
        made.sequence = message.at(2).get<std::uint64_t>();
        made.revision = steering::control_revision(message.at(4).get<std::uint64_t>());
        for (std::size_t n = 0; n < figures.size(); n += figures_per_upstream)
        {
            made.upstreams.push_back(
                {figure(figures[n]), figure(figures[n + 1]), figure(figures[n + 2])});
        }
        return made;
    }
    catch (std::exception const& ex)
    {
        return base::make_error(base::error_kind::bad_message, ex.what());
    }
}

} // namespace fuchsiaproxy::gossip
