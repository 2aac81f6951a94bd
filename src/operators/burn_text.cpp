#include "fuchsiaproxy/operators/burn_text.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

#include "fuchsiaproxy/operators/table.hpp"

namespace fuchsiaproxy::operators
{
namespace
{

constexpr double plot_width = 640;
constexpr double plot_height = 160;
constexpr double plot_margin = 40;

std::string format_number(double value, char const* format)
{
    std::array<char, 64> buf{};
    std::snprintf(buf.data(), buf.size(), format, value);
    return buf.data();
}

std::string format_percent(double share)
{
    return format_number(share * 100, "%.3f %%");
}

/// Formats a burn rate, with the time that its samples cover if that is less than the window.
std::string rate_text(window_burn const& it)
{
    auto text = format_number(it.rate, "%.2f");
    if (it.covered < it.length)
    {
        text += " (" + std::to_string(it.covered.count()) + " s)";
    }
    return text;
}

std::string escape_html(std::string const& text)
{
    std::string out;
    for (char const c : text)
    {
        switch (c)
        {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

table summary(burn_report const& it)
{
    table out{{"service", "objective", "on time", "earned", "missed", "budget left",
               "burn " + std::to_string(short_window.count() / 60) + " min",
               "burn " + std::to_string(long_window.count() / 60) + " min", "alert"},
              {}};
    for (auto const& s : it.services)
    {
        out.rows.push_back(
            {s.service.value(), format_percent(s.objective), format_percent(s.on_time_share),
             static_cast<std::int64_t>(s.credit_earned), static_cast<std::int64_t>(s.credit_missed),
             format_percent(s.budget_left), rate_text(s.short_burn), rate_text(s.long_burn),
             std::string(name_of(s.alert))});
    }
    return out;
}

std::string missing_line(burn_report const& it)
{
    if (it.missing.empty())
    {
        return "The sums include all known entries.";
    }
    std::string out = "Missing from the sums:";
    for (auto const& id : it.missing)
    {
        out += " " + id.value();
    }
    return out;
}

struct point
{
    double seconds;
    double value;
};

/// Returns the burn rate between each two consecutive samples.
std::vector<point> rates_of(burn_report const& it, service_burn const& s)
{
    std::vector<point> out;
    auto const counts_at = [&s](burn_sample const& sample)
    {
        auto const found = sample.sums.find(s.service);
        return found == sample.sums.end() ? service_counts{} : found->second;
    };
    for (std::size_t n = 1; n < it.samples.size(); ++n)
    {
        auto const at = it.samples[n].at - it.samples.front().at;
        out.push_back(
            {static_cast<double>(at.count()),
             burn_rate(counts_at(it.samples[n - 1]), counts_at(it.samples[n]), s.objective)});
    }
    return out;
}

std::string horizontal_line(double y, std::string const& colour, std::string const& label)
{
    auto const at = format_number(y, "%.1f");
    return "<line x1='" + format_number(plot_margin, "%.0f") + "' y1='" + at + "' x2='" +
           format_number(plot_width, "%.0f") + "' y2='" + at + "' stroke='" + colour +
           "' stroke-dasharray='4 3'/><text x='2' y='" + at + "' font-size='10'>" + label +
           "</text>\n";
}

std::string plot(std::vector<point> const& points)
{
    if (points.empty())
    {
        return "<p>No samples yet.</p>\n";
    }
    double highest = page_rate * 1.2;
    for (auto const& p : points)
    {
        highest = std::max(highest, p.value);
    }
    auto const last = std::max(points.back().seconds, 1.0);
    auto const x = [last](double s) { return plot_margin + (plot_width - plot_margin) * s / last; };
    auto const y = [highest](double v) { return plot_height - plot_height * v / highest; };
    std::string line;
    for (auto const& p : points)
    {
        line += format_number(x(p.seconds), "%.1f") + "," + format_number(y(p.value), "%.1f") + " ";
    }
    return "<svg width='" + format_number(plot_width, "%.0f") + "' height='" +
           format_number(plot_height + 16, "%.0f") + "' role='img' aria-label='burn rate'>\n" +
           horizontal_line(y(0), "#888", "0") + horizontal_line(y(ticket_rate), "#c80", "ticket") +
           horizontal_line(y(page_rate), "#c00", "page") +
           "<polyline fill='none' stroke='#046' stroke-width='1.5' points='" + line +
           "'/>\n<text x='" + format_number(plot_margin, "%.0f") + "' y='" +
           format_number(plot_height + 13, "%.0f") + "' font-size='10'>burn rate over the last " +
           format_number(last, "%.0f") + " s, highest " + format_number(highest, "%.1f") +
           "</text>\n</svg>\n";
}

std::string html_table(table const& it)
{
    std::string out = "<table>\n<tr>";
    for (auto const& column : it.columns)
    {
        out += "<th>" + escape_html(column) + "</th>";
    }
    out += "</tr>\n";
    for (auto const& row : it.rows)
    {
        out += "<tr>";
        for (auto const& value : row)
        {
            auto const* text = std::get_if<std::string>(&value);
            auto const* number = std::get_if<std::int64_t>(&value);
            out +=
                "<td>" + (text != nullptr ? escape_html(*text) : std::to_string(*number)) + "</td>";
        }
        out += "</tr>\n";
    }
    return out + "</table>\n";
}

} // namespace

std::string to_text(burn_report const& it)
{
    return to_text(summary(it)) + missing_line(it) + "\n";
}

std::string to_html(burn_report const& it)
{
    std::string out = "<!DOCTYPE html>\n<html lang='en'><head><meta charset='utf-8'>"
                      "<title>Service-level burn</title>\n<style>body{font-family:sans-serif}"
                      "td,th{padding:2px 8px;text-align:right}"
                      "td:first-child,th:first-child{text-align:left}</style></head><body>\n"
                      "<h1>Service-level burn</h1>\n";
    out += html_table(summary(it));
    out += "<p>" + escape_html(missing_line(it)) + "</p>\n";
    for (auto const& s : it.services)
    {
        out += "<h2>" + escape_html(s.service.value()) + "</h2>\n" + plot(rates_of(it, s));
    }
    return out + "</body></html>\n";
}

} // namespace fuchsiaproxy::operators
