#include "report.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <fstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace fuchsiaproxy::capacity_bench
{
namespace
{

constexpr std::size_t min_width = 11;

void print_cell(std::string const& text, std::size_t width)
{
    std::printf("  %*s", static_cast<int>(width), text.c_str());
}

std::string to_text(double value)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.6g", value);
    return buf;
}

std::size_t width_of(std::string const& column)
{
    return std::max(column.size(), min_width);
}

template <class Value>
void print_line(char const* label, table const& it, Value&& value)
{
    std::printf("  %-9s", label);
    for (std::size_t n = 0; n < it.columns.size(); ++n)
    {
        print_cell(value(n), width_of(it.columns[n]));
    }
    std::printf("\n");
}

void print(table const& it)
{
    std::printf("\n[%s]\n", it.name.c_str());
    print_line("", it, [&](std::size_t n) { return it.columns[n]; });
    for (auto const& row : it.rows)
    {
        print_line("", it, [&](std::size_t n) { return to_text(row[n]); });
    }
    auto const fitted = [&](double fitted_line::*part)
    {
        return [&it, part](std::size_t n)
        { return n == 0 ? std::string() : to_text(fit(it, n).*part); };
    };
    print_line("slope", it, fitted(&fitted_line::slope));
    print_line("intercept", it, fitted(&fitted_line::intercept));
    std::fflush(stdout);
}

} // namespace

fitted_line fit(table const& it, std::size_t column)
{
    auto const n = static_cast<double>(it.rows.size());
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (auto const& row : it.rows)
    {
        x += row[0];
        y += row[column];
        xx += row[0] * row[0];
        xy += row[0] * row[column];
    }
    double const spread = n * xx - x * x;
    if (spread <= 0)
    {
        return {0, n > 0 ? y / n : 0};
    }
    double const slope = (n * xy - x * y) / spread;
    return {slope, (y - slope * x) / n};
}

void report::add(table it)
{
    print(it);
    tables_.push_back(std::move(it));
}

bool report::write_json(std::string const& path) const
{
    auto all = nlohmann::json::array();
    for (auto const& it : tables_)
    {
        auto lines = nlohmann::json::array();
        for (std::size_t n = 1; n < it.columns.size(); ++n)
        {
            auto const line = fit(it, n);
            lines.push_back(
                {{"column", it.columns[n]}, {"slope", line.slope}, {"intercept", line.intercept}});
        }
        all.push_back({{"name", it.name},
                       {"columns", it.columns},
                       {"rows", it.rows},
                       {"lines", std::move(lines)}});
    }
    std::ofstream out(path);
    out << all.dump(1) << '\n';
    out.flush();
    return out.good();
}

} // namespace fuchsiaproxy::capacity_bench
