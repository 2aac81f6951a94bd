#include "fuchsiaproxy/standin/upstream_json.hpp"

#include <functional>

#include <nlohmann/json.hpp>

#include "clock.hpp"

namespace fuchsiaproxy::standin
{
namespace
{

using nlohmann::json;

struct unknown_setting
{
};

service_time_shape shape_of(std::string const& name)
{
    if (name == "constant")
    {
        return service_time_shape::constant;
    }
    if (name == "exponential")
    {
        return service_time_shape::exponential;
    }
    if (name == "lognormal")
    {
        return service_time_shape::lognormal;
    }
    throw unknown_setting{};
}

template <class T>
std::optional<T> optional_of(json const& it)
{
    return it.is_null() ? std::optional<T>() : it.get<T>();
}

struct setting_row
{
    char const* name;
    void (*set)(upstream_settings&, json const&);
};

using s = upstream_settings;

constexpr setting_row setting_rows[] = {
    {"slots", [](s& to, json const& it) { to.slots = it.get<std::size_t>(); }},
    {"max_queued", [](s& to, json const& it) { to.max_queued = it.get<std::size_t>(); }},
    {"max_connections", [](s& to, json const& it) { to.max_connections = it.get<std::size_t>(); }},
    {"service_time_ms",
     [](s& to, json const& it) { to.service_time = from_milliseconds(it.get<double>()); }},
    {"shape", [](s& to, json const& it) { to.shape = shape_of(it.get<std::string>()); }},
    {"straggler_share", [](s& to, json const& it) { to.straggler_share = it.get<double>(); }},
    {"straggler_factor", [](s& to, json const& it) { to.straggler_factor = it.get<double>(); }},
    {"cold_requests", [](s& to, json const& it) { to.cold_requests = it.get<std::size_t>(); }},
    {"cold_factor", [](s& to, json const& it) { to.cold_factor = it.get<double>(); }},
    {"slow_every_ms",
     [](s& to, json const& it) { to.slow_every = from_milliseconds(it.get<double>()); }},
    {"slow_for_ms",
     [](s& to, json const& it) { to.slow_for = from_milliseconds(it.get<double>()); }},
    {"slow_factor", [](s& to, json const& it) { to.slow_factor = it.get<double>(); }},
    {"draining", [](s& to, json const& it) { to.draining = it.get<bool>(); }},
    {"report_lag_ms",
     [](s& to, json const& it) { to.report_lag = from_milliseconds(it.get<double>()); }},
    {"reported_load", [](s& to, json const& it) { to.reported_load = optional_of<double>(it); }},
    {"reported_healthy",
     [](s& to, json const& it) { to.reported_healthy = optional_of<bool>(it); }},
    {"hold", [](s& to, json const& it) { to.hold = it.get<bool>(); }},
    {"answer_bytes", [](s& to, json const& it) { to.answer_bytes = it.get<std::size_t>(); }},
};

void apply(upstream_settings& settings, std::string const& name, json const& value)
{
    for (auto const& row : setting_rows)
    {
        if (name == row.name)
        {
            row.set(settings, value);
            return;
        }
    }
    throw unknown_setting{};
}

} // namespace

base::result<void> change_settings(upstream_settings& settings, std::string const& text)
{
    auto const fail = [](std::string why)
    { return base::make_error(base::error_kind::invalid_settings, std::move(why)); };
    auto const body = json::parse(text, nullptr, false);
    if (!body.is_object())
    {
        return fail("settings of an upstream are not a JSON object");
    }
    auto changed = settings;
    for (auto const& it : body.items())
    {
        try
        {
            apply(changed, it.key(), it.value());
        }
        catch (unknown_setting const&)
        {
            return fail("unknown setting or value \"" + it.key() + "\"");
        }
        catch (json::exception const& e)
        {
            return fail("setting \"" + it.key() + "\": " + e.what());
        }
    }
    settings = changed;
    return boost::outcome_v2::success();
}

} // namespace fuchsiaproxy::standin
