#ifndef FUCHSIAPROXY_REQUESTS_CLAIM_PROTOCOL_HPP
#define FUCHSIAPROXY_REQUESTS_CLAIM_PROTOCOL_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/messages/messages.hpp"

namespace fuchsiaproxy::requests
{

/// The request may be sent to an upstream by this entry, once.
struct run_request
{
    base::local_request_id request;
};

/// The request must be answered with `kind`; `status` is set for `already_run`.
struct refuse_request
{
    base::local_request_id request;
    base::error_kind kind = base::error_kind::claim_refused;
    std::uint32_t status = 0;
};

/// A message for another entry.
struct send_message
{
    base::instance_id to;
    messages::message body;
};

using claim_action = std::variant<run_request, refuse_request, send_message>;
using claim_actions = std::vector<claim_action>;

} // namespace fuchsiaproxy::requests

#endif
