#include "fuchsiaproxy/standin/caller.hpp"

#include <iomanip>
#include <sstream>

#include <nlohmann/json.hpp>

namespace fuchsiaproxy::standin
{
namespace
{

using nlohmann::json;

constexpr int name_width = 9;
constexpr int column_width = 12;

json json_of(request_report const& it)
{
    return {{"sent", it.sent},       {"on_time", it.on_time}, {"late", it.late},
            {"failed", it.failed},   {"not_run", it.not_run}, {"already_run", it.already_run},
            {"unknown", it.unknown}, {"wrong", it.wrong},     {"p50_ms", it.p50_ms},
            {"p99_ms", it.p99_ms}};
}

void add_row(std::ostringstream& out, char const* name, request_report const& it)
{
    out << std::left << std::setw(name_width) << name << std::right;
    for (auto const n : {it.sent, it.on_time, it.late, it.failed, it.already_run, it.not_run,
                         it.unknown, it.wrong})
    {
        out << std::setw(column_width) << n;
    }
    for (auto const ms : {it.p50_ms, it.p99_ms})
    {
        out << std::setw(column_width) << std::fixed << std::setprecision(1) << ms;
    }
    out << '\n';
}

} // namespace

std::string to_table(caller_report const& report)
{
    std::ostringstream out;
    out << std::left << std::setw(name_width) << "kind" << std::right;
    for (auto const* name : {"sent", "on time", "late", "failed", "already run", "not run",
                             "unknown", "wrong", "p50 ms", "p99 ms"})
    {
        out << std::setw(column_width) << name;
    }
    out << '\n';
    add_row(out, "lookups", report.lookups);
    add_row(out, "orders", report.orders);
    out << "further attempts " << report.further_attempts << ", entry queries "
        << report.entry_queries << ", failed " << report.failed_entry_queries << '\n';
    return out.str();
}

std::string to_json(caller_report const& report)
{
    auto claims = json::object();
    for (auto const& it : report.order_outcomes)
    {
        claims[std::string(base::name_of(it.outcome))].push_back(it.request_id);
    }
    return json{{"lookups", json_of(report.lookups)},
                {"orders", json_of(report.orders)},
                {"order_ids", claims},
                {"further_attempts", report.further_attempts},
                {"entry_queries", report.entry_queries},
                {"failed_entry_queries", report.failed_entry_queries}}
        .dump();
}

} // namespace fuchsiaproxy::standin
