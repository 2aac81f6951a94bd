#ifndef FUCHSIAPROXY_STANDIN_STORE_STATE_HPP
#define FUCHSIAPROXY_STANDIN_STORE_STATE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/metadata/instance_list.hpp"

namespace fuchsiaproxy::standin
{

/// Versions of a value with the times from which they are valid, for stale reads.
template <class T>
class value_history
{
public:
    /// Appends the version `it`, valid from `at`. Precondition: `at` is not before the last
    /// version.
    void record(base::time_point at, T it)
    {
        versions_.emplace_back(at, std::move(it));
        if (versions_.size() > max_versions)
        {
            versions_.pop_front();
        }
    }

    /// Returns the version that was valid at `at`, or the default value before the first version.
    T const& at(base::time_point at) const
    {
        static T const none{};
        for (auto it = versions_.rbegin(); it != versions_.rend(); ++it)
        {
            if (it->first <= at)
            {
                return it->second;
            }
        }
        // Once versions were dropped, the oldest one left is the best approximation.
        return versions_.size() == max_versions ? versions_.front().second : none;
    }

    /// Returns the latest value.
    T const& latest() const
    {
        static T const none{};
        return versions_.empty() ? none : versions_.back().second;
    }

private:
    // Limits the memory used by keys whose values are up to 1 MB.
    static constexpr std::size_t max_versions = 64;

    std::deque<std::pair<base::time_point, T>> versions_;
};

/// A value with its revision; revision 0 means that the key does not exist.
struct versioned_value
{
    std::uint64_t revision = 0;
    std::string value;
};

/// A lease with its holder and expiry time.
struct lease_state
{
    std::string holder;
    std::uint64_t fencing_token = 0;
    base::time_point expires{};
};

/// Keys, leases and instances of the store. The caller passes the current time.
class store_state
{
public:
    /// Returns the value that `key` had at `at`.
    versioned_value const& read(std::string const& key, base::time_point at) const;

    /// Returns the latest value of `key`.
    versioned_value const& latest(std::string const& key) const;

    /// Writes `value` if the current revision is `expected`, and returns the new revision; returns
    /// nothing otherwise.
    std::optional<std::uint64_t> compare_and_swap(std::string const& key, std::uint64_t expected,
                                                  std::string value, base::time_point now);

    /// Grants or renews a lease. Returns nothing while another holder has it.
    std::optional<lease_state> acquire(std::string const& name, std::string const& holder,
                                       base::duration ttl, base::time_point now);

    /// Ends a lease. Returns false if `holder` does not have it.
    bool release(std::string const& name, std::string const& holder, base::time_point now);

    /// Ends a lease regardless of its holder.
    void drop_lease(std::string const& name);

    /// Adds, replaces or removes instances.
    void put_instance(metadata::listed_instance instance, base::time_point now);
    void remove_instance(std::string const& id, base::time_point now);

    /// Returns the instances that were listed at `at`.
    std::vector<metadata::listed_instance> const& instances(base::time_point at) const;

private:
    std::map<std::string, value_history<versioned_value>> keys_;
    std::map<std::string, lease_state> leases_;
    value_history<std::vector<metadata::listed_instance>> instances_;
    std::uint64_t revision_ = 0;
    std::uint64_t token_ = 0;
};

/// Token bucket that limits the rate of calls. Its capacity is one second of calls.
class rate_limit
{
public:
    /// Precondition: `per_second >= 0`; zero means no limit.
    explicit rate_limit(double per_second) : per_second_(per_second), tokens_(per_second) {}

    /// Takes one token, or returns false when there is none.
    bool try_acquire(base::time_point now);

private:
    double per_second_;
    double tokens_;
    base::time_point last_{};
};

} // namespace fuchsiaproxy::standin

#endif
