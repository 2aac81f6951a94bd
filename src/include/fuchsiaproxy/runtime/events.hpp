#ifndef FUCHSIAPROXY_RUNTIME_EVENTS_HPP
#define FUCHSIAPROXY_RUNTIME_EVENTS_HPP

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/engine/engine.hpp"
#include "fuchsiaproxy/limits/share_document.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/metadata/configuration_reader.hpp"
#include "fuchsiaproxy/metadata/instance_list.hpp"

namespace fuchsiaproxy::runtime
{

/// A message arrived from another entry.
struct peer_message
{
    messages::envelope it;
};

/// The link to an entry went down or refused a message, so messages to it may have been lost.
struct peer_unreachable
{
    base::instance_id id;
};

/// The platform's instance list was read.
struct instances_read
{
    std::vector<metadata::listed_instance> instances;
};

/// The share reservations of the availability zone were read.
struct shares_loaded
{
    limits::share_document document;
};

/// A write of the share reservations ended.
struct shares_stored
{
    bool committed = false;
};

/// A function to call with the engine and the current time on the traffic thread.
struct engine_query
{
    std::function<void(engine::engine&, base::time_point)> callback;
};

/// Event that another thread sends to the traffic thread.
using traffic_event = std::variant<peer_message, peer_unreachable, metadata::accepted_configuration,
                                   instances_read, shares_loaded, shares_stored, engine_query>;

/// Send a message to an entry.
struct peer_send
{
    base::instance_id to;
    messages::message body;
};

/// Set the address of an entry.
struct peer_address
{
    base::instance_id id;
    std::string address;
};

/// Command that the traffic thread sends to the peers thread.
using peer_command = std::variant<peer_send, peer_address>;

/// Start or stop watching the configuration and reading the instance list every second.
struct hub_role
{
    bool is_hub = false;
};

/// Parse a configuration that another entry sent.
struct parse_document
{
    base::config_version version;
    std::string document;
};

/// A configuration is in force, so that an entry that is not a hub can stop reading the instance
/// list.
struct configuration_known
{
};

/// Read the share reservations of an availability zone.
struct read_shares
{
    base::availability_zone_id zone;
};

/// Write the share reservations of an availability zone.
struct write_shares
{
    base::availability_zone_id zone;
    limits::share_document document;
};

/// Command that the traffic thread sends to the platform thread.
using platform_command =
    std::variant<hub_role, parse_document, configuration_known, read_shares, write_shares>;

} // namespace fuchsiaproxy::runtime

#endif
