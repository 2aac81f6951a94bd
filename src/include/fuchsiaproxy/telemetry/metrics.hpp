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
/// references are valid for the lifetime of this object.
class metrics
{
public:
    metrics();

    /// Returns the counter `name` with the labels `label_values`, created on the first call.
    /// Preconditions: `name` follows Prometheus' rules and ends with "_total"; `help` is the same
    /// on every call.
    prometheus::Counter& counter(std::string const& name, std::string const& help,
                                 labels const& label_values = {});

    /// Returns the gauge `name` with the labels `label_values`, created on the first call.
    /// Preconditions: as for `counter`, except for the suffix of the name.
    prometheus::Gauge& gauge(std::string const& name, std::string const& help,
                             labels const& label_values = {});

    /// Returns the histogram `name`, in seconds, with the labels `label_values`, created on the
    /// first call. Preconditions: `name` ends with "_seconds"; `buckets` are ascending upper
    /// bounds.
    prometheus::Histogram& histogram(std::string const& name, std::string const& help,
                                     std::vector<double> const& buckets,
                                     labels const& label_values = {});

    /// Raises the counter to `value`, for counts that are maintained elsewhere. Has no effect if
    /// the counter is at `value` or above.
    void set_counter(std::string const& name, std::string const& help, labels const& label_values,
                     double value);

    /// Returns all metrics in the text format of Prometheus.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
};

} // namespace fuchsiaproxy::telemetry

#endif
