#include "fuchsiaproxy/telemetry/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace fuchsiaproxy::telemetry
{

metrics::metrics() : registry_(std::make_shared<prometheus::Registry>()) {}

prometheus::Counter& metrics::counter(std::string const& name, std::string const& help,
                                      labels const& label_values)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*registry_).Add(label_values);
}

prometheus::Gauge& metrics::gauge(std::string const& name, std::string const& help,
                                  labels const& label_values)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add(label_values);
}

prometheus::Histogram& metrics::histogram(std::string const& name, std::string const& help,
                                          std::vector<double> const& buckets,
                                          labels const& label_values)
{
    auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(*registry_);
    return family.Add(label_values, prometheus::Histogram::BucketBoundaries(buckets));
}

void metrics::set_counter(std::string const& name, std::string const& help,
                          labels const& label_values, double value)
{
    auto& it = counter(name, help, label_values);
    if (value > it.Value())
    {
        it.Increment(value - it.Value());
    }
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace fuchsiaproxy::telemetry
