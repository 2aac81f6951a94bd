#ifndef FUCHSIAPROXY_ENGINE_SERVICE_LEVELS_HPP
#define FUCHSIAPROXY_ENGINE_SERVICE_LEVELS_HPP

#include <map>
#include <utility>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/units.hpp"
#include "fuchsiaproxy/messages/messages.hpp"

namespace fuchsiaproxy::engine
{

/// Counts of requests served on time, by service and request class: this entry's own, and what
/// other entries reported, which outlives them.
///
/// Thread safety: none; owned by one thread.
class service_levels
{
public:
    /// Counts one request that ended, served on time or not.
    void count(base::service_id const& service, std::string const& request_class,
               base::request_weight weight, bool on_time);

    /// Keeps the counts that another entry reported. Counts of one incarnation replace older ones,
    /// so that a repeated message changes nothing.
    void keep(messages::counters const& reported);

    /// Returns this entry's own counts.
    std::vector<messages::class_counts> own() const;

    /// Returns the counts that other entries reported.
    std::vector<messages::counters> kept() const;

private:
    using key = std::pair<base::service_id, std::string>;

    std::map<key, messages::class_counts> own_;
    std::map<std::pair<base::instance_id, base::incarnation>, messages::counters> kept_;
};

} // namespace fuchsiaproxy::engine

#endif
