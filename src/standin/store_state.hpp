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

/// Earlier values of something, for reads of the past.
template <class T>
class value_history
{
public:
    /// Records that the value is `it` since `at`. Precondition: `at` is not before the last one.
    void record(base::time_point at, T it)
    {
        versions_.emplace_back(at, std::move(it));
        if (versions_.size() > max_versions)
        {
            versions_.pop_front();
        }
    }

    /// Returns what was in force at `at`, or the default value before the first one.
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
        // The oldest version stands in for those that were dropped.
        return versions_.size() == max_versions ? versions_.front().second : none;
    }

    /// Returns the latest value.
    T const& latest() const
    {
        static T const none{};
        return versions_.empty() ? none : versions_.back().second;
    }

private:
    // Bounds the memory for keys with values of 1 MB.
    static constexpr std::size_t max_versions = 64;

    std::deque<std::pair<base::time_point, T>> versions_;
};

/// A value with its revision; revision 0 means that the key does not exist.
struct revised_value
{
    std::uint64_t revision = 0;
    std::string value;
};

/// A lease and its holder.
struct lease_state
{
    std::string holder;
    std::uint64_t fencing_token = 0;
    base::time_point expires{};
};

/// Keys, leases and instances of the store. Time is passed in.
class store_state
{
public:
    /// Returns the value of `key` at `at`.
    revised_value const& read(std::string const& key, base::time_point at) const;

    /// Returns the latest value of `key`.
    revised_value const& latest(std::string const& key) const;

    /// Writes `value` if the revision is `expected`, and returns the new revision.
    std::optional<std::uint64_t> compare_and_swap(std::string const& key, std::uint64_t expected,
                                                  std::string value, base::time_point now);

    /// Grants or renews a lease, or returns nothing while another holder has it.
    std::optional<lease_state> acquire(std::string const& name, std::string const& holder,
                                       base::duration ttl, base::time_point now);

    /// Ends a lease; false if `holder` does not have it.
    bool release(std::string const& name, std::string const& holder, base::time_point now);

    /// Ends a lease whoever holds it.
    void lapse(std::string const& name);

    /// Adds, replaces or removes instances.
    void put_instance(metadata::listed_instance instance, base::time_point now);
    void remove_instance(std::string const& id, base::time_point now);

    /// Returns the instances as listed at `at`.
    std::vector<metadata::listed_instance> const& instances(base::time_point at) const;

private:
    std::map<std::string, value_history<revised_value>> keys_;
    std::map<std::string, lease_state> leases_;
    value_history<std::vector<metadata::listed_instance>> instances_;
    std::uint64_t revision_ = 0;
    std::uint64_t token_ = 0;
};

/// Limit on the rate of calls: a token bucket that holds one second's worth.
class rate_limit
{
public:
    /// Precondition: `per_second >= 0`; zero means no limit.
    explicit rate_limit(double per_second) : per_second_(per_second), tokens_(per_second) {}

    /// Takes one token, or returns false when there is none.
    bool take(base::time_point now);

private:
    double per_second_;
    double tokens_;
    base::time_point last_{};
};

} // namespace fuchsiaproxy::standin

#endif
