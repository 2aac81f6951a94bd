#include "api_json.hpp"

#include <boost/outcome/try.hpp>

#include "fuchsiaproxy/model/json.hpp"

namespace fuchsiaproxy::operators
{
namespace
{

using base::error_kind;
using base::make_error;
using nlohmann::json;

// The deepest valid body has 8 levels.
constexpr int max_depth = 32;

/// Returns the error of a part of a body, with `path`, the place of the part, before its own path.
base::error prefix_error_path(std::string const& path, base::error const& it)
{
    bool const has_path = !it.message.empty() && it.message.front() == '/';
    return make_error(it.kind, path + (has_path ? "" : ": ") + it.message);
}

base::result<json> parse_object(std::string_view text, std::vector<std::string> const& names)
{
    // `dump` recurses into nested values, so a deeply nested body would overflow the stack.
    bool too_deep = false;
    auto const check_depth = [&too_deep](int depth, json::parse_event_t, json const&)
    {
        too_deep = too_deep || depth > max_depth;
        return !too_deep;
    };
    auto document = json::parse(text, check_depth, false);
    if (too_deep)
    {
        return make_error(error_kind::bad_request, "/: expected at most " +
                                                       std::to_string(max_depth) +
                                                       " levels of nesting");
    }
    if (!document.is_object())
    {
        return make_error(error_kind::bad_request, "/: expected a JSON object");
    }
    for (auto const& name : names)
    {
        if (!document.contains(name))
        {
            return make_error(error_kind::bad_request,
                              "/" + name + ": expected this field, found none");
        }
    }
    if (document.size() != names.size())
    {
        return make_error(error_kind::bad_request, "/: expected " + std::to_string(names.size()) +
                                                       " fields, found " +
                                                       std::to_string(document.size()));
    }
    return document;
}

base::result<base::command_id> read_command(json const& document)
{
    if (!document["command"].is_string())
    {
        return make_error(error_kind::bad_request, "/command: expected a string");
    }
    return base::command_id(document["command"].get<std::string>());
}

json to_json(service_counts const& it)
{
    return {{"total", it.total},
            {"on_time", it.on_time},
            {"weight_total", it.weight_total},
            {"weight_on_time", it.weight_on_time}};
}

service_counts counts_from(json const& it)
{
    return {it.at("total").get<std::uint64_t>(), it.at("on_time").get<std::uint64_t>(),
            it.at("weight_total").get<std::uint64_t>(),
            it.at("weight_on_time").get<std::uint64_t>()};
}

json to_json(window_burn const& it)
{
    return {{"window_s", it.length.count()}, {"covered_s", it.covered.count()}, {"rate", it.rate}};
}

window_burn window_from(json const& it)
{
    return {std::chrono::seconds(it.at("window_s").get<std::int64_t>()),
            std::chrono::seconds(it.at("covered_s").get<std::int64_t>()),
            it.at("rate").get<double>()};
}

json to_json(service_burn const& it)
{
    return {{"service", it.service.value()},     {"organisation", it.organisation.value()},
            {"objective", it.objective},         {"counts", to_json(it.counts)},
            {"on_time_share", it.on_time_share}, {"credit_earned", it.credit_earned},
            {"credit_missed", it.credit_missed}, {"budget_left", it.budget_left},
            {"short", to_json(it.short_burn)},   {"long", to_json(it.long_burn)},
            {"alert", name_of(it.alert)}};
}

service_burn service_from(json const& it)
{
    service_burn out;
    out.service = base::service_id(it.at("service").get<std::string>());
    out.organisation = base::organisation_id(it.at("organisation").get<std::string>());
    out.objective = it.at("objective").get<double>();
    out.counts = counts_from(it.at("counts"));
    out.on_time_share = it.at("on_time_share").get<double>();
    out.credit_earned = it.at("credit_earned").get<std::uint64_t>();
    out.credit_missed = it.at("credit_missed").get<std::uint64_t>();
    out.budget_left = it.at("budget_left").get<double>();
    out.short_burn = window_from(it.at("short"));
    out.long_burn = window_from(it.at("long"));
    for (auto const alert : {burn_alert::ticket, burn_alert::page})
    {
        if (it.at("alert").get<std::string>() == name_of(alert))
        {
            out.alert = alert;
        }
    }
    return out;
}

json to_json(burn_sample const& it)
{
    auto sums = json::object();
    for (auto const& [service, counts] : it.sums)
    {
        sums[service.value()] = to_json(counts);
    }
    return {{"at_s", it.at.count()}, {"sums", std::move(sums)}};
}

burn_sample sample_from(json const& it)
{
    burn_sample out;
    out.at = std::chrono::seconds(it.at("at_s").get<std::int64_t>());
    for (auto const& [service, counts] : it.at("sums").items())
    {
        out.sums[base::service_id(service)] = counts_from(counts);
    }
    return out;
}

burn_report report_from(json const& it)
{
    burn_report out;
    for (auto const& s : it.at("services"))
    {
        out.services.push_back(service_from(s));
    }
    for (auto const& id : it.at("missing"))
    {
        out.missing.emplace_back(id.get<std::string>());
    }
    for (auto const& s : it.at("samples"))
    {
        out.samples.push_back(sample_from(s));
    }
    return out;
}

double milliseconds(base::duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace

base::result<change_body> parse_change_body(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parse_object(text, {"command", "base_version", "changes"}));
    change_body out;
    BOOST_OUTCOME_TRY(command, read_command(document));
    out.command = std::move(command);
    if (!document["base_version"].is_number_unsigned())
    {
        return make_error(error_kind::bad_request,
                          "/base_version: expected an integer of at least 0");
    }
    out.base_version = base::config_version(document["base_version"].get<std::uint64_t>());
    auto changes = model::parse_changes(document["changes"].dump());
    if (!changes)
    {
        return prefix_error_path("/changes", changes.error());
    }
    out.changes = std::move(changes).value();
    return out;
}

base::result<bootstrap_body> parse_bootstrap_body(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parse_object(text, {"command", "configuration"}));
    bootstrap_body out;
    BOOST_OUTCOME_TRY(command, read_command(document));
    out.command = std::move(command);
    auto first = model::parse_configuration(document["configuration"].dump());
    if (!first)
    {
        return prefix_error_path("/configuration", first.error());
    }
    out.first = std::move(first).value();
    return out;
}

json to_json(change_receipt const& it)
{
    auto out = to_json(it.record);
    out["replayed"] = it.replayed;
    return out;
}

json to_json(model::command_record const& it)
{
    return {{"version", it.version.value()},
            {"command", it.command.value()},
            {"operator", it.by.value()},
            {"organisation", it.organisation.value()},
            {"at", model::to_text(it.at)}};
}

json to_json(entry_status const& it)
{
    return {{"id", it.info.id.value()},
            {"incarnation", std::to_string(it.info.incarnation.value())},
            {"region", it.info.region.value()},
            {"zone", it.info.zone.value()},
            {"caller_address", it.info.caller_address},
            {"peer_address", it.info.peer_address},
            {"draining", it.info.draining},
            {"version", it.info.version.value()},
            {"load_permille", it.info.load_permille},
            {"silent_ms", milliseconds(it.time_since_last_contact)}};
}

json to_json(explanation const& it)
{
    auto candidates = json::array();
    for (auto const& c : it.candidates)
    {
        candidates.push_back({{"place", c.place.value()},
                              {"upstream", c.upstream.value()},
                              {"chosen", c.chosen},
                              {"cost_ms", milliseconds(c.cost)},
                              {"free_slots", c.free_slots.value()},
                              {"reason", c.reason}});
    }
    return {{"class", it.request_class},
            {"home", it.home.value()},
            {"candidates", std::move(candidates)}};
}

json to_json(burn_report const& it)
{
    json out{{"services", json::array()}, {"missing", json::array()}, {"samples", json::array()}};
    for (auto const& s : it.services)
    {
        out["services"].push_back(to_json(s));
    }
    for (auto const& id : it.missing)
    {
        out["missing"].push_back(id.value());
    }
    for (auto const& s : it.samples)
    {
        out["samples"].push_back(to_json(s));
    }
    return out;
}

base::result<burn_report> parse_burn_report(json const& text)
{
    try
    {
        return report_from(text);
    }
    catch (json::exception const& e)
    {
        return make_error(error_kind::bad_message, std::string("burn report: ") + e.what());
    }
}

api_answer json_answer(json const& body)
{
    return {200, "application/json", body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

api_answer error_answer(base::error const& it)
{
    json const body{{"error", std::string(base::name_of(it.kind))}, {"message", it.message}};
    auto answer = json_answer(body);
    answer.status = base::answer_for(it.kind).http_status;
    return answer;
}

base::error_kind error_kind_from_name(std::string_view name)
{
    for (int n = 0; n <= static_cast<int>(error_kind::internal); ++n)
    {
        auto const kind = static_cast<error_kind>(n);
        if (base::name_of(kind) == name)
        {
            return kind;
        }
    }
    return error_kind::internal;
}

} // namespace fuchsiaproxy::operators
