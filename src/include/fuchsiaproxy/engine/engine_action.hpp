#ifndef FUCHSIAPROXY_ENGINE_ENGINE_ACTION_HPP
#define FUCHSIAPROXY_ENGINE_ENGINE_ACTION_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/fleet/fleet_node.hpp"
#include "fuchsiaproxy/limits/share_document.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::engine
{

/// Send the request to an upstream.
struct start_attempt
{
    base::local_request_id request;
    base::attempt_id attempt;
    base::upstream_id upstream;
    model::endpoint at;
    base::time_point deadline;
    bool idempotent = false;
    std::vector<unsigned> shed_statuses;
    /// Id to send as `Request-Id`; empty for idempotent requests, which keep the caller's.
    std::string request_id;
};

/// Cancel an attempt. Its end must still be reported with `engine::on_attempt_finished`.
struct cancel_attempt
{
    base::attempt_id attempt;
};

/// Answer the request with an error.
struct answer_error
{
    base::local_request_id request;
    base::error_kind kind = base::error_kind::internal;
    /// Status of the earlier run, for `already_run`.
    std::uint32_t status = 0;
    /// Id under which the request was accepted; empty for idempotent requests.
    std::string request_id;
    /// Ticket for a retry; empty if the request must not be retried.
    std::string ticket;
};

using fleet::hub_role_changed;
using fleet::use_address;
using messages::send_message;

/// Parse a configuration document and pass the result to `engine::on_configuration`.
struct parse_configuration
{
    base::config_version version;
    std::string document;
};

/// The upstream gets no new requests; its idle connections can be closed.
struct upstream_retired
{
    model::endpoint at;
};

/// Read the share reservations of the availability zone and pass them to
/// `engine::on_shares_loaded`; retry until the store answers.
struct load_shares
{
    base::availability_zone_id zone;
};

/// Write the share reservations by compare-and-swap on the revision that was read or written last,
/// and report the result with `engine::on_shares_stored`.
struct store_shares
{
    base::availability_zone_id zone;
    limits::share_document document;
};

using engine_action = std::variant<start_attempt, cancel_attempt, answer_error, send_message,
                                   use_address, hub_role_changed, parse_configuration,
                                   upstream_retired, load_shares, store_shares>;
using engine_actions = std::vector<engine_action>;

} // namespace fuchsiaproxy::engine

#endif
