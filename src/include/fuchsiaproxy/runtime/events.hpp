#ifndef FUCHSIAPROXY_RUNTIME_EVENTS_HPP
#define FUCHSIAPROXY_RUNTIME_EVENTS_HPP

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/engine/engine.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/platform/configuration_reader.hpp"
#include "fuchsiaproxy/platform/instance_list.hpp"

namespace fuchsiaproxy::runtime
{

/// A message arrived from another entry.
struct peer_message
{
    messages::envelope it;
};

/// Messages to an entry were or may have been lost.
struct peer_lost
{
    base::instance_id id;
};

/// The platform's list was read.
struct instances_read
{
    std::vector<platform::listed_instance> instances;
};

/// A question to the engine, answered on the traffic thread.
struct engine_query
{
    std::function<void(engine::engine&, base::time_point)> ask;
};

/// What other threads tell the traffic thread.
using traffic_event = std::variant<peer_message, peer_lost, platform::accepted_configuration,
                                   instances_read, engine_query>;

/// Send a message to an entry.
struct peer_send
{
    base::instance_id to;
    messages::message body;
};

/// Use this address for an entry.
struct peer_address
{
    base::instance_id id;
    std::string address;
};

/// What the traffic thread tells the peers thread.
using peer_order = std::variant<peer_send, peer_address>;

/// Watch the configuration and read the instance list every second, or stop to.
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

/// The configuration in force changed; the entry is no longer in need of one.
struct configuration_known
{
};

/// What the traffic thread tells the platform thread.
using platform_order = std::variant<hub_role, parse_document, configuration_known>;

} // namespace fuchsiaproxy::runtime

#endif
