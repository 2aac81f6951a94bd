#ifndef FUCHSIAPROXY_REQUESTS_CLAIM_LIMITS_HPP
#define FUCHSIAPROXY_REQUESTS_CLAIM_LIMITS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::requests
{

/// Bounds and times of the at-most-once protocol. No promise depends on the times: they only decide
/// how long an entry waits and how long it can answer precisely.
struct claim_limits
{
    /// Time that a primary waits for the witness before it refuses the request.
    base::duration claim_timeout = std::chrono::milliseconds{250};
    /// Time between two questions about a request that another entry holds.
    base::duration resolve_interval = std::chrono::milliseconds{100};
    /// Time after which tickets get a new generation.
    base::duration generation_length = std::chrono::seconds{60};
    /// Generations that a primary remembers after it stopped to accept them.
    std::uint32_t kept_generations = 15;
    /// Time for which a witness remembers a generation after its last change, and after which a
    /// silent primary may lose its place among the primaries.
    base::duration witness_retention = std::chrono::minutes{15};
    /// Records of an entry's own claims; about 0.5 KB each.
    std::size_t max_claims = 32'768;
    /// Records of an entry as a witness, over all primaries; about 0.5 KB each.
    std::size_t max_witnessed = 32'768;
    /// Primary incarnations that a witness keeps.
    std::size_t max_primaries = 1'024;
    /// Requests that wait for the outcome at another entry.
    std::size_t max_resolving = 8'192;
};

} // namespace fuchsiaproxy::requests

#endif
