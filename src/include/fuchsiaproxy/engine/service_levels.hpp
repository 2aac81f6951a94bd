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

/// Counts of requests served on time, by service and request class: those of this entry, and
/// those that other entries reported, which remain after the reporter has stopped.
///
/// Thread safety: none; owned by one thread.
class service_levels
{
public:
    /// Counts one finished request.
    void count(base::service_id const& service, std::string const& request_class,
               base::request_weight weight, bool on_time);

    /// Stores the counts that another entry reported. They replace earlier counts of the same
    /// incarnation, so a duplicate message has no effect.
    void record_reported(messages::counters const& reported);

    /// Returns this entry's own counts.
    std::vector<messages::class_counts> own_counts() const;

    /// Returns the counts that other entries reported.
    std::vector<messages::counters> reported_counts() const;

private:
    using key = std::pair<base::service_id, std::string>;

    std::map<key, messages::class_counts> own_;
    std::map<std::pair<base::instance_id, base::incarnation>, messages::counters> kept_;
};

} // namespace fuchsiaproxy::engine

#endif
