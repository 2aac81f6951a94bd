#ifndef FUCHSIAPROXY_ROUTING_DISPATCHER_HPP
#define FUCHSIAPROXY_ROUTING_DISPATCHER_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/attempt_result.hpp"
#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/units.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::routing
{

/// A request that waits for a slot.
struct queued_request
{
    base::local_request_id id;
    base::service_id service;
    /// Index into `model::service::classes`.
    std::size_t request_class = 0;
    base::time_point arrived;
    base::time_point deadline;
    base::byte_count size;
};

using base::attempt_result;

/// Send the request to this upstream. The second attempt of a request is a hedge or a retry.
struct start_attempt
{
    base::attempt_id attempt;
    base::local_request_id request;
    base::upstream_id upstream;
    model::endpoint at;
    base::time_point deadline;
};

/// Stop this attempt; its slot is released when the attempt is reported as finished.
struct cancel_attempt
{
    base::attempt_id attempt;
};

/// No attempt of the request is running and none will be made.
struct give_up
{
    base::local_request_id request;
    base::error_kind kind = base::error_kind::overloaded;
};

/// A message for another entry.
struct send_message
{
    base::instance_id to;
    messages::message body;
};

using dispatch_action = std::variant<start_attempt, cancel_attempt, give_up, send_message>;
using dispatch_actions = std::vector<dispatch_action>;

} // namespace fuchsiaproxy::routing

#endif
