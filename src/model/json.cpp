#include "fuchsiaproxy/model/json.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "json_codec.hpp"

namespace fuchsiaproxy::model
{
namespace
{

template <class T>
void sort_by_id(std::vector<T>& items)
{
    std::sort(items.begin(), items.end(), [](T const& a, T const& b) { return a.id < b.id; });
}

template <class T>
void append(std::vector<T>& to, std::vector<T>&& from)
{
    std::move(from.begin(), from.end(), std::back_inserter(to));
}

configuration read(std::string_view text)
{
    auto const document = detail::parse_strictly(text);
    return detail::decode_as<configuration>(detail::json_reader(document, ""));
}

void merge(configuration& whole, configuration&& part, std::string const& name)
{
    if (!detail::equal_as_json(part.delays, network_delays{}))
    {
        if (!detail::equal_as_json(whole.delays, network_delays{}))
        {
            throw detail::document_error{name + ": /delays: expected in one document only"};
        }
        whole.delays = part.delays;
    }
    append(whole.zones, std::move(part.zones));
    append(whole.members, std::move(part.members));
    append(whole.joins, std::move(part.joins));
    append(whole.services, std::move(part.services));
    append(whole.places, std::move(part.places));
    append(whole.caps, std::move(part.caps));
    append(whole.shifts, std::move(part.shifts));
    append(whole.drains, std::move(part.drains));
    whole.version = std::max(whole.version, part.version);
}

} // namespace

configuration canonical(configuration value)
{
    sort_by_id(value.zones);
    sort_by_id(value.members);
    sort_by_id(value.joins);
    sort_by_id(value.services);
    sort_by_id(value.places);
    sort_by_id(value.caps);
    sort_by_id(value.shifts);
    sort_by_id(value.drains);
    for (auto& it : value.members)
    {
        sort_by_id(it.operators);
    }
    for (auto& it : value.joins)
    {
        sort_by_id(it.operators);
        std::sort(it.approvals.begin(), it.approvals.end());
    }
    for (auto& it : value.services)
    {
        std::sort(it.shed_statuses.begin(), it.shed_statuses.end());
    }
    for (auto& it : value.places)
    {
        sort_by_id(it.upstreams);
    }
    return value;
}

std::string to_json(configuration const& value)
{
    return detail::encode(canonical(value)).dump();
}

std::string to_indented_json(configuration const& value)
{
    return detail::encode(canonical(value)).dump(2);
}

base::result<configuration> parse_configuration(std::string_view text)
{
    return detail::catch_exceptions([text] { return read(text); });
}

base::result<configuration> parse_declarations(std::vector<named_document> const& documents)
{
    return detail::catch_exceptions(
        [&documents]
        {
            configuration whole;
            for (auto const& it : documents)
            {
                try
                {
                    merge(whole, read(it.text), it.name);
                }
                catch (detail::document_error const& e)
                {
                    auto const named = e.message.rfind(it.name + ": ", 0) == 0;
                    throw detail::document_error{named ? e.message : it.name + ": " + e.message};
                }
            }
            return whole;
        });
}

} // namespace fuchsiaproxy::model
