#ifndef FUCHSIAPROXY_STEERING_CALLER_ACCESS_HPP
#define FUCHSIAPROXY_STEERING_CALLER_ACCESS_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "fuchsiaproxy/access/key_table.hpp"
#include "fuchsiaproxy/access/store_proof.hpp"
#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/steering/configuration.hpp"

namespace fuchsiaproxy::steering
{

/// On whose behalf a request runs.
struct request_access
{
    /// Digest of the caller's API key; unset without exactly one key.
    std::optional<access::key_digest> key;
    /// Whether any configuration that the request was checked against has tenants. The caller's
    /// credentials are then not forwarded.
    bool has_tenants = false;
    /// Tenant that has the key, by the latest check; null if none. `owner` owns it.
    access::tenant const* tenant = nullptr;
    std::shared_ptr<configuration const> owner;

    /// Returns the priority of a request to `matched`: the tenant's, if it has one, or the route's.
    std::uint32_t priority_on(route const& matched) const;
    /// Returns the regions in which the tenant's requests may run; null if all.
    std::vector<base::region_id> const* regions() const;
    /// Returns the tenant's name; empty if there is no tenant.
    base::tenant_id tenant_id() const;
};

/// Decides whether a request may run, by its API key, the configuration in force and the proof that
/// this entry follows the store.
///
/// Thread safety: none.
class caller_access
{
public:
    /// Puts a configuration in force.
    void replace(std::shared_ptr<configuration const> it);

    /// Returns the access of a request that arrives with `api_key`.
    static request_access identify(std::optional<std::string_view> api_key);

    /// Finds the tenant of a request to `matched` by the configuration in force. Returns the error
    /// if the request must not run now: `unauthenticated` or, if the proof is older than `bound`
    /// allows, `not_ready`. Precondition: a configuration is in force.
    std::optional<base::error_kind> check(request_access& it, route const& matched,
                                          base::duration bound, base::time_point now) const;

    /// Returns whether requests with API keys are refused because of the proof's age.
    bool is_stale(base::duration bound, base::time_point now) const;

    access::store_proof proof;

private:
    std::shared_ptr<configuration const> config_;
    std::shared_ptr<access::key_table const> keys_;
};

} // namespace fuchsiaproxy::steering

#endif
