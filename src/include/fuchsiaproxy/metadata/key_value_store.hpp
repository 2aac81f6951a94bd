#ifndef FUCHSIAPROXY_METADATA_KEY_VALUE_STORE_HPP
#define FUCHSIAPROXY_METADATA_KEY_VALUE_STORE_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/strong_type.hpp"
#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::metadata
{

/// Revision of the whole store; grows with each change of any key.
using store_revision = base::strong_type<struct store_revision_tag, std::uint64_t>;
/// Number of a lease; zero means none.
using lease_id = base::strong_type<struct lease_tag, std::uint64_t>;

/// A key with its value at one revision, or the removal of a key.
struct key_value
{
    std::string key;
    std::string value;
    store_revision revision;
    bool removed = false;
};

/// Part of a listing.
struct key_value_page
{
    std::vector<key_value> items;
    bool has_more = false;
    /// Revision of the store when the page was read.
    store_revision current;
};

/// Changes after a revision, in order. Continue from `current`.
struct key_value_changes
{
    std::vector<key_value> changes;
    store_revision current;
};

/// A lease that the store has granted, valid from the arrival of the call.
struct granted_lease
{
    lease_id id;
    base::duration ttl{};
};

/// Key-value store with a revision for the whole store, listings by prefix, watches and leases.
///
/// Errors: `store_unavailable` if nothing was done, `store_answer_unknown` if the call may have
/// taken effect or may do so later, `history_lost` from a watch whose revision is no longer kept,
/// `lease_lost` for a lease that has ended, `bad_message` for an answer that cannot be read.
///
/// Every completion is called exactly once, from the thread's event loop and never before the
/// function returns. Thread safety: all calls on one thread.
class key_value_store
{
public:
    using page_handler = std::function<void(base::result<key_value_page>)>;
    using changes_handler = std::function<void(base::result<key_value_changes>)>;
    using lease_handler = std::function<void(base::result<granted_lease>)>;
    using done_handler = std::function<void(base::result<void>)>;

    virtual ~key_value_store() = default;

    /// Reads the keys with `prefix` that sort behind `after`. Pages are no snapshot.
    virtual void list(std::string prefix, std::string after, page_handler done) = 0;

    /// Answers when keys with `prefix` have changed after the revision, or after `wait` without.
    virtual void watch(std::string prefix, store_revision after, base::duration wait,
                       changes_handler done) = 0;

    /// Writes one key under a lease, whatever its revision.
    virtual void put(std::string key, std::string value, lease_id lease, done_handler done) = 0;

    virtual void grant_lease(base::duration ttl, lease_handler done) = 0;
    virtual void renew_lease(lease_id lease, lease_handler done) = 0;
    /// Ends a lease, which removes its keys.
    virtual void end_lease(lease_id lease, done_handler done) = 0;
};

} // namespace fuchsiaproxy::metadata

#endif
