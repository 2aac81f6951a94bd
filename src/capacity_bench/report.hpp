#ifndef FUCHSIAPROXY_CAPACITY_BENCH_REPORT_HPP
#define FUCHSIAPROXY_CAPACITY_BENCH_REPORT_HPP

#include <string>
#include <vector>

namespace fuchsiaproxy::capacity_bench
{

/// Measurements at growing sizes; the first column is the size.
struct table
{
    std::string name;
    std::vector<std::string> columns;
    std::vector<std::vector<double>> rows;
};

/// Least-squares line `intercept + slope * size`.
struct fitted_line
{
    double slope = 0;
    double intercept = 0;
};

/// Fits column `column` against the first one. A table of fewer than two sizes has no slope.
/// Thread safe.
fitted_line fit(table const& it, std::size_t column);

/// Tables of one run, each printed when it is added.
///
/// Thread safety: none.
class report
{
public:
    /// Prints `it` with the fitted line of each column, and keeps it.
    void add(table it);

    /// Writes all tables as JSON to `path`; returns whether that succeeded.
    bool write_json(std::string const& path) const;

private:
    std::vector<table> tables_;
};

} // namespace fuchsiaproxy::capacity_bench

#endif
