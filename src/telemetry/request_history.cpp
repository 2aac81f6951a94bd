#include "fuchsiaproxy/telemetry/request_history.hpp"

#include <algorithm>
#include <set>
#include <sstream>
#include <string_view>

#include <nlohmann/json.hpp>

#include "fuchsiaproxy/encoding/json_text.hpp"

namespace fuchsiaproxy::telemetry
{
namespace
{

using nlohmann::json;

// State changes from `context_before_ms` before a request's first line to `context_after_ms` after
// its last one are shown as its context. The record of a terminated upstream expires only after
// three report periods, so that its removal may be logged after the request has failed.
constexpr std::int64_t context_before_ms = 5'000;
constexpr std::int64_t context_after_ms = 5'000;

bool is_one_of(std::string_view event, std::initializer_list<std::string_view> events)
{
    return std::find(events.begin(), events.end(), event) != events.end();
}

bool is_upstream_event(log_record const& it)
{
    return is_one_of(it.event, {"upstream_changed", "upstream_removed"});
}

bool is_entry_event(log_record const& it)
{
    return is_one_of(it.event, {"started", "stopping", "stopped", "store_lost", "store_regained",
                                "store_listed", "watch_given_up", "configuration_read",
                                "evacuation", "lines_left_out", "settings_reloaded",
                                "settings_refused", "control_event_dropped"});
}

std::string cause_of_rejection(log_record const& it)
{
    auto const attempts = it.at("attempts");
    if (it.at("error") == "overloaded" && attempts == "0")
    {
        return "refused, not run: the service had " + it.at("service_load") +
               " requests per slot, and the best upstream was expected to answer after " +
               it.at("expected_ms") + " ms";
    }
    if (it.at("error") == "overloaded")
    {
        return "refused, not run: " + attempts + " upstreams refused it or could not be reached";
    }
    if (it.at("error") == "not_ready")
    {
        return "refused, not run: the entry had no configuration yet";
    }
    if (it.at("error") == "draining")
    {
        return "refused, not run: the entry was stopping";
    }
    if (it.at("error") == "no_upstream")
    {
        return "refused, not run: no upstream of the service could accept requests; all were "
               "draining, evacuated, suspended, cold or full";
    }
    return {};
}

std::string cause_of_failure(log_record const& it)
{
    if (auto result = cause_of_rejection(it); !result.empty())
    {
        return result;
    }
    if (it.at("error") == "unknown_service")
    {
        return "no route of configuration " + it.at("configuration") + " matches the request";
    }
    if (it.at("error") == "upstream_timeout" || it.at("error") == "upstream_failed")
    {
        return "may have run: answered " + it.at("status") + " after " + it.at("attempts") +
               " attempts, the last of which ended without a complete answer";
    }
    return "answered " + it.at("status") + " (" + it.at("error") + ")";
}

std::string cause_of_attempt(log_record const& it, std::vector<log_record> const& context)
{
    auto result = "attempt " + it.at("attempt") + " at " + it.at("upstream") + ", rank " +
                  it.at("rank") + ": " + it.at("result") + " after " + it.at("took_ms") + " ms, " +
                  it.at("expected_ms") + " ms expected";
    if (it.at("refusal") == "first_answer")
    {
        result += "; a refusal as the first answer on the connection did not identify the request";
    }
    else if (it.at("refusal") == "position")
    {
        result += "; a refusal behind other answers on the connection did not identify the request";
    }
    auto const removal = std::find_if(context.begin(), context.end(),
                                      [&](log_record const& one)
                                      {
                                          return one.event == "upstream_removed" &&
                                                 one.at("upstream") == it.at("upstream") &&
                                                 one.time_ms >= it.time_ms;
                                      });
    if (removal != context.end())
    {
        result += "; its record was removed " + std::to_string(removal->time_ms - it.time_ms) +
                  " ms later, so the process has probably terminated";
    }
    return result;
}

std::string cause_of(log_record const& it, std::vector<log_record> const& context)
{
    if (it.event == "request_failed")
    {
        return cause_of_failure(it);
    }
    if (it.event == "body_failed")
    {
        return "the body of the request failed (" + it.at("error") + "): answered " +
               it.at("status") + ", outcome " + it.at("outcome");
    }
    return cause_of_attempt(it, context);
}

/// Returns the last word of the prefix that a log collector put before a line, or `fallback`.
std::string source_of(std::string const& prefix, std::string const& fallback)
{
    std::istringstream words(prefix);
    std::string last = fallback;
    while (words >> last)
    {
    }
    return last;
}

void sort_by_time(std::vector<log_record>& all)
{
    std::stable_sort(all.begin(), all.end(),
                     [](log_record const& a, log_record const& b)
                     { return a.time_ms < b.time_ms; });
}

std::string line_of(log_record const& it, std::int64_t origin_ms)
{
    std::ostringstream out;
    out << (it.time_ms < origin_ms ? "" : "+") << it.time_ms - origin_ms << " ms  " << it.source
        << "  " << it.event;
    for (auto const& field : it.fields)
    {
        out << "  " << field.first << '=' << field.second;
    }
    return out.str();
}

} // namespace

std::string const& log_record::at(std::string const& field) const
{
    static std::string const none;
    auto const it = fields.find(field);
    return it == fields.end() ? none : it->second;
}

std::vector<log_record> read_log(std::istream& in, std::string const& source)
{
    std::vector<log_record> result;
    std::string line;
    while (std::getline(in, line))
    {
        auto const begin = line.find('{');
        auto const read = encoding::parse_json(
            begin == std::string::npos ? std::string_view() : std::string_view(line).substr(begin));
        auto const& parsed = read ? read.value() : json();
        if (!parsed.is_object() || !parsed.contains("event") || !parsed.contains("time_ms"))
        {
            continue;
        }
        log_record it;
        it.source = source_of(line.substr(0, begin), source);
        for (auto const& [name, value] : parsed.items())
        {
            it.fields[name] = value.is_string() ? value.get<std::string>() : value.dump();
        }
        it.time_ms = parsed["time_ms"].is_number() ? parsed["time_ms"].get<std::int64_t>() : 0;
        it.event = it.at("event");
        for (auto const* const key : {"time_ms", "event", "level"})
        {
            it.fields.erase(key);
        }
        result.push_back(std::move(it));
    }
    return result;
}

request_history explain_request(std::vector<log_record> const& logs, std::string const& id)
{
    request_history result;
    std::set<std::string> sources;
    std::set<std::string> upstreams;
    for (auto const& it : logs)
    {
        if (it.at("request") == id)
        {
            result.request_lines.push_back(it);
            sources.insert(it.source);
            upstreams.insert(it.at("upstream"));
        }
    }
    sort_by_time(result.request_lines);
    if (result.request_lines.empty())
    {
        return result;
    }
    auto const begin = result.request_lines.front().time_ms - context_before_ms;
    auto const end = result.request_lines.back().time_ms + context_after_ms;
    for (auto const& it : logs)
    {
        auto const is_related = (is_entry_event(it) && sources.count(it.source) != 0) ||
                                (is_upstream_event(it) && upstreams.count(it.at("upstream")) != 0);
        if (is_related && it.time_ms >= begin && it.time_ms <= end)
        {
            result.context.push_back(it);
        }
    }
    sort_by_time(result.context);
    for (auto const& it : result.request_lines)
    {
        result.causes.push_back(cause_of(it, result.context));
    }
    return result;
}

std::string to_text(request_history const& it, std::string const& id)
{
    if (it.request_lines.empty())
    {
        return "No line names " + id +
               ". It succeeded without being sampled, did not reach these entries, or its line was "
               "dropped: look for lines_left_out.\n";
    }
    std::ostringstream out;
    auto const origin = it.request_lines.front().time_ms;
    for (auto const& one : it.request_lines)
    {
        out << line_of(one, origin) << '\n';
    }
    out << "\nstate changes around the request:\n";
    for (auto const& one : it.context)
    {
        out << "  " << line_of(one, origin) << '\n';
    }
    out << "\nwhat happened:\n";
    for (auto const& one : it.causes)
    {
        out << "  " << one << '\n';
    }
    return out.str();
}

} // namespace fuchsiaproxy::telemetry
