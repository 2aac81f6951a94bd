#ifndef FUCHSIAPROXY_ACCESS_STORE_PROOF_HPP
#define FUCHSIAPROXY_ACCESS_STORE_PROOF_HPP

#include <optional>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::access
{

/// Latest proof that an entry follows the store: the time up to which all confirmed changes are
/// known to be applied. It decides whether requests with API keys are served, since a withdrawn key
/// may be accepted while changes are missing.
///
/// Thread safety: none.
class store_proof
{
public:
    /// Records that all changes confirmed by `as_of` are applied. An earlier time than the known
    /// one is ignored.
    void advance(base::time_point as_of);

    /// Replaces the time of the proof, also by an earlier one. The decision clock does not count
    /// suspension of the machine, so after one the same proof is older than it seemed.
    void restate(base::time_point as_of);

    /// Returns the age of the proof; nothing if there is none.
    std::optional<base::duration> age(base::time_point now) const;

    /// Returns whether requests with API keys may be served. `bound` is the time after which no
    /// request with a withdrawn key may run; zero if withdrawal is not strict.
    bool allows_keys(base::duration bound, base::time_point now) const;

private:
    std::optional<base::time_point> as_of_;
};

/// Part of the bound on withdrawal that is left for an admitted request to reach its upstream: two
/// one-way trips between regions, a new connection, and a delayed event loop.
constexpr base::duration withdrawal_margin = std::chrono::milliseconds(200);

} // namespace fuchsiaproxy::access

#endif
