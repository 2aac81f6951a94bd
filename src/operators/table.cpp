#include "fuchsiaproxy/operators/table.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace fuchsiaproxy::operators
{
namespace
{

using base::error_kind;
using base::make_error;

std::string text_of(cell const& it)
{
    if (auto const* text = std::get_if<std::string>(&it))
    {
        return *text;
    }
    if (auto const* number = std::get_if<std::int64_t>(&it))
    {
        return std::to_string(*number);
    }
    if (auto const* flag = std::get_if<bool>(&it))
    {
        return *flag ? "yes" : "no";
    }
    std::array<char, 64> buf{};
    std::snprintf(buf.data(), buf.size(), "%.6g", std::get<double>(it));
    return buf.data();
}

bool is_number(cell const& it)
{
    return std::holds_alternative<std::int64_t>(it) || std::holds_alternative<double>(it);
}

double number_of(cell const& it)
{
    auto const* whole = std::get_if<std::int64_t>(&it);
    return whole != nullptr ? static_cast<double>(*whole) : std::get<double>(it);
}

std::optional<double> parse_number(std::string const& text)
{
    char* end = nullptr;
    auto const value = std::strtod(text.c_str(), &end);
    if (text.empty() || end != text.c_str() + text.size())
    {
        return std::nullopt;
    }
    return value;
}

int compare(cell const& a, cell const& b)
{
    if (is_number(a) && is_number(b))
    {
        return number_of(a) < number_of(b) ? -1 : (number_of(b) < number_of(a) ? 1 : 0);
    }
    return text_of(a).compare(text_of(b));
}

bool satisfies(int order, comparison op)
{
    switch (op)
    {
    case comparison::equal:
        return order == 0;
    case comparison::not_equal:
        return order != 0;
    case comparison::less:
        return order < 0;
    case comparison::less_or_equal:
        return order <= 0;
    case comparison::greater:
        return order > 0;
    case comparison::greater_or_equal:
        break;
    }
    return order >= 0;
}

base::result<std::size_t> find_column(table const& it, std::string const& name)
{
    auto const found = std::find(it.columns.begin(), it.columns.end(), name);
    if (found == it.columns.end())
    {
        std::string known;
        for (auto const& column : it.columns)
        {
            known += (known.empty() ? "" : ", ") + column;
        }
        return make_error(error_kind::invalid_command,
                          "column \"" + name + "\" does not exist, expected one of: " + known);
    }
    return static_cast<std::size_t>(found - it.columns.begin());
}

base::result<void> filter(table& it, condition const& by)
{
    auto const column = find_column(it, by.column);
    if (!column)
    {
        return column.error();
    }
    auto const n = column.value();
    cell wanted = by.value;
    if (!it.rows.empty() && is_number(it.rows.front()[n]))
    {
        auto const number = parse_number(by.value);
        if (!number)
        {
            return make_error(error_kind::invalid_command, "column \"" + by.column +
                                                               "\": expected a number, found \"" +
                                                               by.value + "\"");
        }
        wanted = *number;
    }
    auto const fails = [&](auto const& row) { return !satisfies(compare(row[n], wanted), by.op); };
    it.rows.erase(std::remove_if(it.rows.begin(), it.rows.end(), fails), it.rows.end());
    return boost::outcome_v2::success();
}

std::int64_t milliseconds(base::duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

std::string cap_end_name(model::cap_end const& it)
{
    if (!it.place.value().empty())
    {
        return it.place.value();
    }
    return it.region.value().empty() ? "any" : it.region.value();
}

std::string join_ids(std::vector<base::organisation_id> const& ids)
{
    std::string out;
    for (auto const& it : ids)
    {
        out += (out.empty() ? "" : " ") + it.value();
    }
    return out;
}

table zones_of(model::configuration const& c)
{
    table out{{"zone", "region"}, {}};
    for (auto const& it : c.zones)
    {
        out.rows.push_back({it.id.value(), it.region.value()});
    }
    return out;
}

table members_of(model::configuration const& c)
{
    table out{{"member", "operator"}, {}};
    for (auto const& it : c.members)
    {
        for (auto const& key : it.operators)
        {
            out.rows.push_back({it.id.value(), key.id.value()});
        }
    }
    return out;
}

table joins_of(model::configuration const& c)
{
    table out{{"organisation", "approvals", "missing"}, {}};
    for (auto const& it : c.joins)
    {
        std::vector<base::organisation_id> missing;
        for (auto const& m : c.members)
        {
            if (std::find(it.approvals.begin(), it.approvals.end(), m.id) == it.approvals.end())
            {
                missing.push_back(m.id);
            }
        }
        out.rows.push_back({it.id.value(), join_ids(it.approvals), join_ids(missing)});
    }
    return out;
}

table services_of(model::configuration const& c)
{
    table out{{"service", "organisation", "objective", "classes", "places", "upstreams", "slots"},
              {}};
    for (auto const& it : c.services)
    {
        std::int64_t places = 0;
        std::int64_t upstreams = 0;
        std::int64_t slots = 0;
        for (auto const& p : c.places)
        {
            if (p.service != it.id)
            {
                continue;
            }
            ++places;
            for (auto const& u : p.upstreams)
            {
                ++upstreams;
                slots += u.slots.value();
            }
        }
        out.rows.push_back({it.id.value(), it.organisation.value(), it.objective,
                            static_cast<std::int64_t>(it.classes.size()), places, upstreams,
                            slots});
    }
    return out;
}

table classes_of(model::configuration const& c)
{
    table out{{"service", "class", "method", "prefix", "idempotent", "weight", "deadline_ms"}, {}};
    for (auto const& s : c.services)
    {
        for (auto const& it : s.classes)
        {
            out.rows.push_back({s.id.value(), it.name, it.method, it.path_prefix, it.idempotent,
                                static_cast<std::int64_t>(it.weight.value()),
                                milliseconds(it.deadline)});
        }
    }
    return out;
}

table places_of(model::configuration const& c)
{
    table out{{"place", "service", "zone", "upstreams", "slots", "drained"}, {}};
    for (auto const& it : c.places)
    {
        std::int64_t slots = 0;
        for (auto const& u : it.upstreams)
        {
            slots += u.slots.value();
        }
        bool const drained = std::any_of(c.drains.begin(), c.drains.end(),
                                         [&it](auto const& d) { return d.place == it.id; });
        out.rows.push_back({it.id.value(), it.service.value(), it.zone.value(),
                            static_cast<std::int64_t>(it.upstreams.size()), slots, drained});
    }
    return out;
}

table upstreams_of(model::configuration const& c)
{
    table out{{"upstream", "place", "address", "slots", "max_connections"}, {}};
    for (auto const& p : c.places)
    {
        for (auto const& it : p.upstreams)
        {
            out.rows.push_back({it.id.value(), p.id.value(),
                                it.at.address + ":" + std::to_string(it.at.port),
                                static_cast<std::int64_t>(it.slots.value()),
                                static_cast<std::int64_t>(it.max_connections)});
        }
    }
    return out;
}

table caps_of(model::configuration const& c)
{
    table out{{"cap", "organisation", "from", "to", "unit", "limit", "split"}, {}};
    for (auto const& it : c.caps)
    {
        std::string split;
        for (auto const& [zone, part] : it.split)
        {
            split += (split.empty() ? "" : " ") + zone.value() + "=" + std::to_string(part);
        }
        auto const* unit = it.unit == model::cap_unit::requests_per_second ? "requests_per_second"
                                                                           : "kilobits_per_second";
        out.rows.push_back({it.id.value(), it.organisation.value(), cap_end_name(it.from),
                            cap_end_name(it.to), std::string(unit),
                            static_cast<std::int64_t>(it.limit), split});
    }
    return out;
}

table shifts_of(model::configuration const& c)
{
    table out{{"shift", "organisation", "service", "from", "to", "percent"}, {}};
    for (auto const& it : c.shifts)
    {
        out.rows.push_back({it.id.value(), it.organisation.value(), it.service.value(),
                            it.from.value(), it.to.value(), static_cast<std::int64_t>(it.percent)});
    }
    return out;
}

table drains_of(model::configuration const& c)
{
    table out{{"drain", "organisation", "place"}, {}};
    for (auto const& it : c.drains)
    {
        out.rows.push_back({it.id.value(), it.organisation.value(), it.place.value()});
    }
    return out;
}

} // namespace

table table_of(show_subject subject, model::configuration const& value)
{
    switch (subject)
    {
    case show_subject::zones:
        return zones_of(value);
    case show_subject::members:
        return members_of(value);
    case show_subject::joins:
        return joins_of(value);
    case show_subject::services:
        return services_of(value);
    case show_subject::classes:
        return classes_of(value);
    case show_subject::places:
        return places_of(value);
    case show_subject::upstreams:
        return upstreams_of(value);
    case show_subject::caps:
        return caps_of(value);
    case show_subject::shifts:
        return shifts_of(value);
    case show_subject::drains:
        return drains_of(value);
    case show_subject::entries:
        break;
    }
    return {};
}

base::result<table> select(table from, show_command const& query)
{
    for (auto const& it : query.conditions)
    {
        auto const filtered = filter(from, it);
        if (!filtered)
        {
            return filtered.error();
        }
    }
    if (!query.order_by.empty())
    {
        auto const column = find_column(from, query.order_by);
        if (!column)
        {
            return column.error();
        }
        auto const n = column.value();
        std::stable_sort(from.rows.begin(), from.rows.end(),
                         [n, &query](auto const& a, auto const& b)
                         {
                             auto const order = compare(a[n], b[n]);
                             return query.descending ? order > 0 : order < 0;
                         });
    }
    if (query.limit && *query.limit < from.rows.size())
    {
        from.rows.resize(*query.limit);
    }
    return from;
}

std::string to_text(table const& it)
{
    std::vector<std::size_t> widths;
    for (std::size_t n = 0; n < it.columns.size(); ++n)
    {
        auto width = it.columns[n].size();
        for (auto const& row : it.rows)
        {
            width = std::max(width, text_of(row[n]).size());
        }
        widths.push_back(width);
    }
    std::string out;
    auto const add = [&out, &widths](std::size_t n, std::string const& text, bool right)
    {
        auto const space = std::string(widths[n] - text.size(), ' ');
        out += (n == 0 ? "" : "  ") + (right ? space + text : text + space);
    };
    auto const end_line = [&out]
    {
        out.erase(out.find_last_not_of(' ') + 1);
        out += '\n';
    };
    for (std::size_t n = 0; n < it.columns.size(); ++n)
    {
        add(n, it.columns[n], !it.rows.empty() && is_number(it.rows.front()[n]));
    }
    end_line();
    for (auto const& row : it.rows)
    {
        for (std::size_t n = 0; n < row.size(); ++n)
        {
            add(n, text_of(row[n]), is_number(row[n]));
        }
        end_line();
    }
    return out;
}

std::string to_json(table const& it)
{
    auto out = nlohmann::ordered_json::array();
    for (auto const& row : it.rows)
    {
        auto object = nlohmann::ordered_json::object();
        for (std::size_t n = 0; n < row.size(); ++n)
        {
            std::visit([&](auto const& value) { object[it.columns[n]] = value; }, row[n]);
        }
        out.push_back(std::move(object));
    }
    return out.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace fuchsiaproxy::operators
