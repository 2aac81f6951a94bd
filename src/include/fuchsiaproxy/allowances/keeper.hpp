#ifndef FUCHSIAPROXY_ALLOWANCES_KEEPER_HPP
#define FUCHSIAPROXY_ALLOWANCES_KEEPER_HPP

#include <cstdint>
#include <memory>
#include <vector>

#include "fuchsiaproxy/access/tenant.hpp"
#include "fuchsiaproxy/allowances/usage.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::allowances
{

/// Within any window, the requests of a tenant that all entries admit together stay within
/// (rate x window + burst) x (1 + overshoot) + slack.
struct allowance_bounds
{
    base::duration window{};
    double overshoot = 0;
    double slack = 0;
};

/// Another entry in the store's list, and the longest time between two of its reports to this one.
struct live_peer
{
    base::instance_id id;
    base::duration report_interval{};
};

/// Answer of `keeper::take`.
struct decision
{
    bool admitted = true;
    /// Time until there is room; zero if the request is admitted.
    base::duration retry_after{};
    /// Inputs of a refusal, for logs: requests left in this entry's copy of the tenant's bucket,
    /// and this entry's part of the tenant's allowance.
    double level = 0;
    double part = 0;
};

/// Admissions and refusals of one tenant by this entry since its start.
struct tenant_counters
{
    base::tenant_id tenant;
    double requests_per_s = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t given_back = 0;
};

/// Decides whether a tenant's request is within the tenant's allowance, which all entries share.
/// Each entry keeps a copy of one token bucket a tenant and learns from the reports of the others
/// what they admit; see docs/design/allowances.md.
///
/// Thread safety: none; owned by one thread. Times must not decrease from call to call.
class keeper
{
public:
    explicit keeper(base::instance_id const& self);
    ~keeper();
    keeper(keeper const&) = delete;
    keeper& operator=(keeper const&) = delete;

    /// Replaces the tenants and the bounds. Tenants without a rate and a burst are not limited.
    void apply(std::vector<access::tenant> const& tenants, allowance_bounds const& bounds,
               base::time_point now);

    /// Replaces the list of the other live entries. Until the first list, nothing is admitted.
    void set_live_peers(std::vector<live_peer> const& peers, base::time_point now);

    /// Applies the report of another entry. Reports that are not newer than the last one are
    /// ignored.
    void on_report(base::instance_id const& from, usage_report const& it, base::time_point now);

    /// Takes a token for a request that has just arrived, if there is one.
    decision take(base::tenant_id const& tenant, base::time_point now);

    /// Returns the token of a request that was admitted and has not run.
    void give_back(base::tenant_id const& tenant);

    /// Returns what to send to the other entries. The caller sets the sequence. Precondition: every
    /// report is sent.
    usage_report report(base::time_point now);

    /// Returns the counters of all limited tenants, in the order of their ids.
    std::vector<tenant_counters> counters() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace fuchsiaproxy::allowances

#endif
