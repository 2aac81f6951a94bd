#ifndef FUCHSIAPROXY_TELEMETRY_METRICS_HPP
#define FUCHSIAPROXY_TELEMETRY_METRICS_HPP

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace fuchsiaproxy::telemetry
{

/// Names and values of a metric's labels.
using labels = std::map<std::string, std::string>;

/// The metrics of one process.
///
/// Thread safety: all functions, and the returned objects, may be used on any thread. The returned
/// references live as long as this object.
class metrics
{
public:
    metrics();

    /// Returns the counter `name` with `with`, made on the first call. Preconditions: `name`
    /// follows Prometheus' rules and ends with "_total"; `help` is the same on every call.
    prometheus::Counter& counter(std::string const& name, std::string const& help,
                                 labels const& with = {});

    /// Returns the gauge `name` with `with`, made on the first call. Preconditions: as for
    /// `counter`, without the ending.
    prometheus::Gauge& gauge(std::string const& name, std::string const& help,
                             labels const& with = {});

    /// Returns the histogram `name` with `with` in seconds, made on the first call. Preconditions:
    /// `name` ends with "_seconds"; `buckets` are ascending upper bounds.
    prometheus::Histogram& histogram(std::string const& name, std::string const& help,
                                     std::vector<double> const& buckets, labels const& with = {});

    /// Sets the counter to `value`, for counts that are kept elsewhere. Ignores lower values.
    void set_counter(std::string const& name, std::string const& help, labels const& with,
                     double value);

    /// Returns everything in Prometheus' text form.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
};

} // namespace fuchsiaproxy::telemetry

#endif
