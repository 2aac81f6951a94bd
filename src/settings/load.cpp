#include "fuchsiaproxy/settings/load.hpp"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <fstream>
#include <map>
#include <sstream>

#include <nlohmann/json.hpp>

#include "validate.hpp"

namespace fuchsiaproxy::settings
{
namespace
{

using nlohmann::json;

json const& schema()
{
    static json const parsed = json::parse(schema_text());
    return parsed;
}

std::vector<std::string> split(std::string const& text, std::string const& separator)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    for (auto end = text.find(separator); end != std::string::npos;
         end = text.find(separator, begin))
    {
        parts.push_back(text.substr(begin, end - begin));
        begin = end + separator.size();
    }
    parts.push_back(text.substr(begin));
    return parts;
}

void apply_override(json& document, override_value const& it)
{
    auto parsed = json::parse(it.value, nullptr, false);
    json* at = &document;
    for (auto const& key : split(it.path, "."))
    {
        if (!at->is_object())
        {
            *at = json::object();
        }
        at = &(*at)[key];
    }
    *at = parsed.is_discarded() ? json(it.value) : std::move(parsed);
}

// Adds the defaults in `subschema` for keys that `document` does not set.
void fill_defaults(json& document, json const& subschema)
{
    auto const& resolved = resolve_reference(subschema, schema());
    if (!resolved.contains("properties") || !document.is_object())
    {
        return;
    }
    for (auto const& it : resolved.at("properties").items())
    {
        if (!document.contains(it.key()) && it.value().contains("default"))
        {
            document[it.key()] = it.value().at("default");
        }
        if (document.contains(it.key()))
        {
            fill_defaults(document[it.key()], it.value());
        }
    }
}

model::endpoint endpoint_of(json const& it)
{
    return {it.at("address").get<std::string>(), it.at("port").get<std::uint16_t>()};
}

base::duration milliseconds_of(json const& it)
{
    return std::chrono::milliseconds(it.get<std::int64_t>());
}

limit_settings limits_of(json const& it)
{
    limit_settings limits;
    limits.caller_connections = it.at("caller_connections");
    limits.caller_connections_per_address = it.at("caller_connections_per_address");
    limits.body_bytes = it.at("body_bytes");
    limits.buffers = it.at("buffers");
    limits.queued_requests = it.at("queued_requests");
    limits.ring_items = it.at("ring_items");
    limits.request_records = it.at("request_records");
    limits.connections_per_upstream = it.at("connections_per_upstream");
    return limits;
}

timing_settings timing_of(json const& it)
{
    timing_settings timing;
    timing.lookup_ttl = milliseconds_of(it.at("lookup_ttl_ms"));
    timing.drain_bound = milliseconds_of(it.at("drain_bound_ms"));
    timing.claim_timeout = milliseconds_of(it.at("claim_timeout_ms"));
    timing.heartbeat_period = milliseconds_of(it.at("heartbeat_ms"));
    timing.lost_after = milliseconds_of(it.at("lost_after_ms"));
    timing.header_timeout = milliseconds_of(it.at("header_timeout_ms"));
    timing.idle_limit = milliseconds_of(it.at("idle_limit_ms"));
    timing.connect_limit = milliseconds_of(it.at("connect_limit_ms"));
    timing.pooled_idle_limit = milliseconds_of(it.at("pooled_idle_limit_ms"));
    return timing;
}

daemon_settings settings_of(json const& it)
{
    daemon_settings out;
    auto const& instance = it.at("instance");
    out.instance.id = base::instance_id(instance.at("id").get<std::string>());
    out.instance.region = base::region_id(instance.at("region").get<std::string>());
    out.instance.zone = base::availability_zone_id(instance.at("zone").get<std::string>());
    out.listen.callers = endpoint_of(it.at("listen").at("callers"));
    out.listen.peers = endpoint_of(it.at("listen").at("peers"));
    out.listen.operators = endpoint_of(it.at("listen").at("operators"));
    out.advertise.callers = it.at("advertise").at("callers").get<std::string>();
    out.advertise.peers = it.at("advertise").at("peers").get<std::string>();
    out.platform.store = endpoint_of(it.at("platform").at("store"));
    out.platform.instances = endpoint_of(it.at("platform").at("instances"));
    out.platform.call_timeout = milliseconds_of(it.at("platform").at("call_timeout_ms"));
    out.peer_secret = it.at("peers").at("secret").get<std::string>();
    out.limits = limits_of(it.at("limits"));
    out.timing = timing_of(it.at("timing"));
    out.log_level = it.at("log").at("level").get<std::string>();
    out.seed = it.at("seed").get<std::uint64_t>();
    return out;
}

// Parses the file. Rejects duplicate keys, which the parser itself accepts silently.
base::result<json> parse_file(std::string_view text)
{
    std::vector<std::map<std::string, int>> open_objects;
    std::string duplicate;
    auto const check = [&](int, json::parse_event_t event, json& parsed)
    {
        if (event == json::parse_event_t::object_start)
        {
            open_objects.emplace_back();
        }
        else if (event == json::parse_event_t::object_end && !open_objects.empty())
        {
            open_objects.pop_back();
        }
        else if (event == json::parse_event_t::key &&
                 ++open_objects.back()[parsed.get<std::string>()] > 1)
        {
            duplicate = parsed.get<std::string>();
        }
        return true;
    };
    try
    {
        auto document = json::parse(text, check);
        if (!duplicate.empty())
        {
            return base::make_error(base::error_kind::invalid_settings,
                                    "/: the key \"" + duplicate + "\" is set twice");
        }
        return document;
    }
    catch (json::parse_error const& ex)
    {
        return base::make_error(base::error_kind::invalid_settings,
                                std::string("/: not valid JSON: ") + ex.what());
    }
}

std::string join_lines(std::vector<std::string> const& lines)
{
    std::string text;
    for (auto const& it : lines)
    {
        text += text.empty() ? it : "\n" + it;
    }
    return text;
}

void add_reference_rows(json const& subschema, std::string const& path, std::string& page)
{
    auto const& resolved = resolve_reference(subschema, schema());
    for (auto const& it : resolved.at("properties").items())
    {
        auto const& entry = resolve_reference(it.value(), schema());
        auto const name = path.empty() ? it.key() : path + "." + it.key();
        if (entry.contains("properties"))
        {
            add_reference_rows(entry, name, page);
            continue;
        }
        auto const default_text =
            entry.contains("default") ? "`" + entry.at("default").dump() + "`" : "required";
        page += "| `" + name + "` | " + entry.value("description", std::string()) + " | " +
                describe_expectation(entry) + " | " + default_text + " |\n";
    }
}

} // namespace

base::result<daemon_settings> load(std::string_view file_text,
                                   std::vector<override_value> const& overrides)
{
    auto parsed = parse_file(file_text);
    if (!parsed)
    {
        return parsed.error();
    }
    auto document = std::move(parsed).value();
    for (auto const& it : overrides)
    {
        apply_override(document, it);
    }
    auto const errors = validation_errors(document, schema());
    if (!errors.empty())
    {
        return base::make_error(base::error_kind::invalid_settings, join_lines(errors));
    }
    fill_defaults(document, schema());
    return settings_of(document);
}

std::vector<override_value> overrides_from_environment(std::vector<std::string> const& variables)
{
    std::vector<override_value> found;
    auto sorted = variables;
    std::sort(sorted.begin(), sorted.end());
    for (auto const& it : sorted)
    {
        auto const equals = it.find('=');
        bool const has_prefix = it.compare(0, environment_prefix.size(), environment_prefix) == 0;
        if (!has_prefix || equals == std::string::npos)
        {
            continue;
        }
        auto name = it.substr(environment_prefix.size(), equals - environment_prefix.size());
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        override_value out;
        for (auto const& part : split(name, "__"))
        {
            out.path += out.path.empty() ? part : "." + part;
        }
        out.value = it.substr(equals + 1);
        found.push_back(std::move(out));
    }
    return found;
}

base::result<override_value> parse_override(std::string_view text)
{
    auto const equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0)
    {
        return base::make_error(base::error_kind::invalid_settings,
                                "\"" + std::string(text) + "\": expected path=value");
    }
    return override_value{std::string(text.substr(0, equals)),
                          std::string(text.substr(equals + 1))};
}

std::string reference_page()
{
    std::string page = "# Settings of fuchsiad\n\n"
                       "Made by `fuchsiad --settings-reference`. Defaults are overridden by the "
                       "file, the file by the\nenvironment (`FUCHSIAPROXY_LISTEN__CALLERS__PORT` "
                       "stands for `listen.callers.port`), and that by\n`--set path=value`.\n\n"
                       "| setting | meaning | value | default |\n| --- | --- | --- | --- |\n";
    add_reference_rows(schema(), "", page);
    return page;
}

base::result<std::string> read_file(std::string const& path)
{
    std::ifstream in(path);
    if (!in)
    {
        return base::make_error(base::error_kind::invalid_settings,
                                "cannot read the settings file \"" + path + "\"");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace fuchsiaproxy::settings
