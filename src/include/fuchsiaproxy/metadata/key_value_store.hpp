#ifndef FUCHSIAPROXY_METADATA_KEY_VALUE_STORE_HPP
#define FUCHSIAPROXY_METADATA_KEY_VALUE_STORE_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/store_position.hpp"
#include "fuchsiaproxy/base/strong_type.hpp"
#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::metadata
{

using base::store_era;
using base::store_position;
using base::store_revision;
/// Identifier of a lease; zero means none.
using lease_id = base::strong_type<struct lease_tag, std::uint64_t>;

/// A key with its value at a revision, or the removal of a key.
struct key_value
{
    std::string key;
    std::string value;
    store_revision revision;
    bool removed = false;
};

/// One page of a listing.
struct key_value_page
{
    std::vector<key_value> items;
    bool has_more = false;
    /// Position of the store when the page was read.
    store_position current;
};

/// Ordered changes after a revision. The next watch starts from `current`.
struct key_value_changes
{
    std::vector<key_value> changes;
    store_position current;
};

/// A lease granted by the store. Its TTL starts when the request arrives at the store.
struct granted_lease
{
    lease_id id;
    base::duration ttl{};
};

/// What the end of a call says of the store and of the connection.
enum class call_outcome
{
    /// The store was available, also if it refused the call for what it asks for.
    answered,
    /// The store was unavailable or had no capacity, or the call was not sent.
    refused,
    /// The call was sent and its connection brought no answer.
    unanswered
};

/// End of a call to the store.
struct call_end
{
    base::time_point sent_at;
    call_outcome outcome = call_outcome::refused;
    /// Whether the call was a watch. Its follower knows of its end, and may have abandoned it.
    bool is_watch = false;
    /// Era that the answer stated, if any.
    std::optional<store_era> era{};
};

/// Key-value store with a revision for the whole store, listings by prefix, watches and leases.
///
/// Errors: `store_unavailable` if the call had no effect, `store_answer_unknown` if it may have
/// taken effect or may do so later, `history_lost` from a watch whose revision is no longer kept,
/// `lease_lost` for a lease that has ended, `bad_message` for a malformed answer.
///
/// Each completion is called exactly once, from the thread's event loop and never before the
/// function returns. Thread safety: all calls on one thread.
class key_value_store
{
public:
    using page_handler = std::function<void(base::result<key_value_page>)>;
    using changes_handler = std::function<void(base::result<key_value_changes>)>;
    using lease_handler = std::function<void(base::result<granted_lease>)>;
    using done_handler = std::function<void(base::result<void>)>;

    virtual ~key_value_store() = default;

    /// Reads one page of the keys with `prefix` that sort after `after`. Successive pages are not a
    /// consistent snapshot.
    virtual void list(std::string prefix, std::string after, page_handler done) = 0;

    /// Long poll: completes when keys with `prefix` have changed since revision `after`, or without
    /// changes after `wait`.
    virtual void watch(std::string prefix, store_revision after, base::duration wait,
                       changes_handler done) = 0;

    /// Writes one key under a lease, regardless of its revision.
    virtual void put(std::string key, std::string value, lease_id lease, done_handler done) = 0;

    virtual void grant_lease(base::duration ttl, lease_handler done) = 0;
    virtual void renew_lease(lease_id lease, lease_handler done) = 0;
    /// Revokes a lease, which removes its keys.
    virtual void end_lease(lease_id lease, done_handler done) = 0;

    /// Makes later calls use new connections, because those open may have become unresponsive.
    virtual void close_idle_connections() {}
};

} // namespace fuchsiaproxy::metadata

#endif
