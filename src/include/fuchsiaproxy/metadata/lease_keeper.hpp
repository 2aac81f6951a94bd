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
    /// Pause after the first failed call; doubles up to `renewal_period`, with jitter.
    base::duration first_pause = std::chrono::milliseconds(100);
    /// Seed of the jitter.
    std::uint64_t seed = 1;
};

/// Counts of a keeper since its start.
struct lease_counters
{
    std::uint64_t renewals = 0;
    std::uint64_t failed_calls = 0;
    /// Leases that ended although they were renewed.
    std::uint64_t lost = 0;
};

/// Keeps one key in the store under a lease of its own. A lost lease is replaced and the key
/// written again.
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

    /// Starts to keep the key. Precondition: called once.
    void start();

    /// Ends the lease, which removes the key, and keeps it no more. One failed call is not
    /// repeated: the lease ends by itself.
    void withdraw();

    /// Returns the counts.
    lease_counters const& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::metadata

#endif
