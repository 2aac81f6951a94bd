#ifndef FUCHSIAPROXY_METADATA_LEASE_KEEPER_HPP
#define FUCHSIAPROXY_METADATA_LEASE_KEEPER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/timer_service.hpp"
#include "fuchsiaproxy/metadata/key_value_store.hpp"

namespace fuchsiaproxy::metadata
{

/// Timing of a `lease_keeper`.
struct lease_settings
{
    base::duration ttl = std::chrono::milliseconds(3800);
    base::duration renewal_period = std::chrono::milliseconds(1200);
    /// Back-off after the first failed call; doubles up to `renewal_period`, with jitter.
    base::duration min_backoff = std::chrono::milliseconds(100);
    /// After the store has returned from an older copy, each keeper writes its key at a random time
    /// within this one. With 300 entries, the 600 calls (a lease and a key each) then come at 1,000
    /// a second on average, a third of the 3,200 writes a second that the store bears. It is
    /// shorter than the time for which entries keep a missing record, less the time to notice the
    /// return.
    base::duration restore_spread = std::chrono::milliseconds(600);
    /// Seed of the jitter.
    std::uint64_t seed = 1;
};

/// Counters of a keeper since its construction.
struct lease_counters
{
    std::uint64_t renewals = 0;
    std::uint64_t failed_calls = 0;
    /// Leases that the store reported as ended.
    std::uint64_t lost = 0;
    /// Leases that were given up because the store had returned from an older copy.
    std::uint64_t restored = 0;
};

/// Publishes one key in the store under its own lease and renews the lease. If the lease is lost,
/// acquires a new one and writes the key again.
///
/// Thread safety: none; used on the thread of the store and the timers.
class lease_keeper
{
public:
    /// `store` and `timers` must outlive the keeper.
    lease_keeper(key_value_store& store, base::timer_service& timers, std::string key,
                 std::string value, lease_settings settings);
    ~lease_keeper();

    lease_keeper(lease_keeper const&) = delete;
    lease_keeper& operator=(lease_keeper const&) = delete;

    /// Writes the key and starts to renew its lease. Precondition: called once.
    void start();

    /// Gives up the lease without revoking it, since the store may have returned from a copy that
    /// does not contain it and may have granted its id to another holder. Acquires a new one and
    /// writes the key again within `lease_settings::restore_spread`.
    void store_restored();

    /// Revokes the lease, which removes the key, and stops renewing it. A failed call is not
    /// retried, because the lease expires by itself.
    void withdraw();

    /// Returns the counters.
    lease_counters const& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::metadata

#endif
