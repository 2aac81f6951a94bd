#ifndef FUCHSIAPROXY_REQUESTS_CLAIM_LIMITS_HPP
#define FUCHSIAPROXY_REQUESTS_CLAIM_LIMITS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::requests
{

/// Limits and timeouts of the at-most-once protocol. Its safety doesn't depend on the timeouts:
/// they only decide how long an entry waits and how long it can report a definite outcome.
struct claim_limits
{
    /// Time that a primary waits for the witness's answer before it refuses the request.
    base::duration claim_timeout = std::chrono::milliseconds{250};
    /// Interval at which `resolve` is repeated for a request recorded at another entry.
    base::duration resolve_interval = std::chrono::milliseconds{100};
    /// Interval at which a new generation of tickets starts.
    base::duration generation_length = std::chrono::seconds{60};
    /// Number of closed generations whose records a primary keeps.
    std::uint32_t kept_generations = 15;
    /// Time for which a witness keeps the records of a generation after their last change, and
    /// after which a primary that sent nothing may be evicted.
    base::duration witness_retention = std::chrono::minutes{15};
    /// Maximum number of records as primary; about 0.5 KB each.
    std::size_t max_claims = 32'768;
    /// Maximum number of records as witness, over all primaries; about 0.5 KB each.
    std::size_t max_witness_records = 32'768;
    /// Maximum number of primary incarnations registered at a witness.
    std::size_t max_primaries = 1'024;
    /// Maximum number of local requests waiting for an outcome recorded at another entry.
    std::size_t max_pending_resolutions = 8'192;
};

} // namespace fuchsiaproxy::requests

#endif
