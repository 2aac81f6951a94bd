#ifndef FUCHSIAPROXY_OPERATORS_DAEMON_VIEW_HPP
#define FUCHSIAPROXY_OPERATORS_DAEMON_VIEW_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "fuchsiaproxy/model/validate.hpp"

namespace fuchsiaproxy::operators
{

/// State of an entry, as known to this entry.
struct entry_status
{
    messages::entry_info info;
    /// Time since the entry was last known to be alive; zero for this entry itself.
    base::duration time_since_last_contact{};
};

/// A request whose routing is to be explained.
struct explain_query
{
    base::service_id service;
    std::string method;
    std::string path;
    /// Zone in which the request arrives; empty for the zone of this entry.
    base::availability_zone_id zone;
};

/// An upstream that could serve the request.
struct explain_candidate
{
    base::place_id place;
    base::upstream_id upstream;
    bool chosen = false;
    base::duration cost{};
    base::slot_count free_slots;
    /// Why it is or is not chosen, such as "drained" or "cap link-harju-tartu is reached".
    std::string reason;
};

/// How a request would be routed now.
struct explanation
{
    std::string request_class;
    base::place_id home;
    std::vector<explain_candidate> candidates;
};

/// Interface through which the operators' API reads the state of the running daemon.
///
/// All functions are called on the API's thread. Each handler must be called exactly once, on any
/// thread, before or after the function returns.
class daemon_view
{
public:
    using entries_handler = std::function<void(base::result<std::vector<entry_status>>)>;
    using explain_handler = std::function<void(base::result<explanation>)>;
    using counters_handler = std::function<void(base::result<std::vector<messages::counters>>)>;

    virtual ~daemon_view() = default;

    /// Returns the configuration that the entry has adopted, or null before it adopted any.
    virtual std::shared_ptr<model::configuration const> adopted() = 0;

    /// Returns whether the entry serves callers, for `/readyz`.
    virtual bool ready() = 0;

    /// Returns the known load of places; empty when none is known.
    virtual model::place_loads loads() = 0;

    /// Lists all entries that are known, this one included.
    virtual void entries(entries_handler done) = 0;

    /// Explains how `query` would be routed.
    virtual void explain(explain_query query, explain_handler done) = 0;

    /// Lists the service-level counts of all entries that reported them, this one included.
    virtual void counters(counters_handler done) = 0;
};

} // namespace fuchsiaproxy::operators

#endif
