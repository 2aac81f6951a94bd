#ifndef FUCHSIAPROXY_METADATA_STORE_HPP
#define FUCHSIAPROXY_METADATA_STORE_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/strong_type.hpp"
#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::metadata
{

/// Revision of a key; increases with each write. Zero means that the key does not exist.
using key_revision = base::strong_type<struct key_revision_tag, std::uint64_t>;

/// Maximum size of a value in the store.
constexpr std::size_t max_value_bytes = 1'000'000;

/// Value of a key with its revision. `value` is empty when the key does not exist.
struct stored_value
{
    std::optional<std::string> value;
    key_revision revision;
};

/// A lease that the store granted to `holder`.
struct lease_grant
{
    std::string holder;
    /// Increases with each change of the holder, so it exceeds the token of every earlier holder.
    std::uint64_t fencing_token = 0;
    /// Time for which the lease is valid, counted from the moment the request was sent.
    base::duration valid_for{};
};

/// The platform's key-value service.
///
/// Each completion is called exactly once, on the thread that made the call. A failed write with
/// `error_kind::store_answer_unknown` may have taken effect; with `store_unavailable` it has not.
/// Thread safety: all calls on one thread.
class store
{
public:
    using value_handler = std::function<void(base::result<stored_value>)>;
    using revision_handler = std::function<void(base::result<key_revision>)>;
    using lease_handler = std::function<void(base::result<lease_grant>)>;
    using release_handler = std::function<void(base::result<void>)>;

    virtual ~store() = default;

    /// Reads `key`.
    virtual void get(std::string key, value_handler done) = 0;

    /// Writes `value` if the key's revision is `expected` (zero: the key must not exist). Fails
    /// with `store_conflict` otherwise. Precondition: `value` has at most `max_value_bytes`.
    virtual void compare_and_swap(std::string key, key_revision expected, std::string value,
                                  revision_handler done) = 0;

    /// Long poll: completes when the key's revision exceeds `known`, or with the current value
    /// after `wait`.
    virtual void watch(std::string key, key_revision known, base::duration wait,
                       value_handler done) = 0;

    /// Acquires or renews the lease `name` for `holder`. Fails with `lease_lost` while another
    /// holder has it.
    virtual void acquire_lease(std::string name, std::string holder, base::duration ttl,
                               lease_handler done) = 0;

    /// Releases the lease `name` if `holder` has it.
    virtual void release_lease(std::string name, std::string holder, release_handler done) = 0;
};

} // namespace fuchsiaproxy::metadata

#endif
