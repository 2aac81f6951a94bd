#ifndef FUCHSIAPROXY_REQUESTS_CLAIM_ACTION_HPP
#define FUCHSIAPROXY_REQUESTS_CLAIM_ACTION_HPP

#include <cstdint>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/messages/messages.hpp"

namespace fuchsiaproxy::requests
{

/// Permits this entry to run the request at an upstream, once. Each attempt still needs
/// `claim_protocol::may_send`.
struct run_request
{
    base::local_request_id request;
};

/// Answers the request with `kind` instead of running it. `status` is the upstream's status if
/// `kind` is `already_run`.
struct refuse_request
{
    base::local_request_id request;
    base::error_kind kind = base::error_kind::claim_refused;
    std::uint32_t status = 0;
};

using messages::send_message;

using claim_action = std::variant<run_request, refuse_request, send_message>;
using claim_actions = std::vector<claim_action>;

/// Numbers of protocol decisions since the entry started.
struct claim_counters
{
    std::uint64_t claims = 0;
    std::uint64_t claims_denied = 0;
    std::uint64_t claims_timed_out = 0;
    std::uint64_t witness_unreachable = 0;
    std::uint64_t runs = 0;
    std::uint64_t runs_without_witness = 0;
    /// Attempts that `may_send` refused because the deadline had passed.
    std::uint64_t late_sends_prevented = 0;
    /// Requests whose id already had a record at this primary.
    std::uint64_t duplicates = 0;
    std::uint64_t malformed_ids = 0;
    /// Generations that were closed because the claim ledger was full.
    std::uint64_t generations_closed_early = 0;
    std::uint64_t grants_given = 0;
    std::uint64_t grants_refused = 0;
    /// `resolve` messages that were answered with `tombstoned`.
    std::uint64_t tombstones_for_others = 0;
    std::uint64_t resolutions_started = 0;
    std::uint64_t resolutions_refused = 0;
    std::uint64_t outcomes_resent = 0;
    std::uint64_t answered_not_run = 0;
    std::uint64_t answered_already_run = 0;
    std::uint64_t answered_may_have_run = 0;
    std::uint64_t ignored_messages = 0;
    /// Messages that contradict an earlier record; a value other than zero indicates a defect.
    std::uint64_t contradictions = 0;
};

} // namespace fuchsiaproxy::requests

#endif
