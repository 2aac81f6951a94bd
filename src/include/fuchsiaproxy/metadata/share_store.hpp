#ifndef FUCHSIAPROXY_METADATA_SHARE_STORE_HPP
#define FUCHSIAPROXY_METADATA_SHARE_STORE_HPP

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/limits/share_document.hpp"
#include "fuchsiaproxy/metadata/store.hpp"

namespace fuchsiaproxy::metadata
{

/// Returns the key of the share reservations of `zone`. Thread safe.
std::string share_key(base::availability_zone_id const& zone);

/// Returns the JSON text of `document`. Thread safe.
std::string to_json(limits::share_document const& document);

/// Reads what `to_json` wrote. Fails with `bad_message` for anything else. Thread safe.
base::result<limits::share_document> parse_share_document(std::string_view text);

/// Share reservations of one availability zone in the store.
///
/// Thread safety: none; used on the thread of the store.
class share_store
{
public:
    using load_handler = std::function<void(base::result<limits::share_document>)>;
    using store_handler = std::function<void(bool committed)>;

    /// `values` must outlive the object and its pending calls.
    explicit share_store(store& values) : store_(values) {}

    /// Reads the reservations; a key that does not exist yet is an empty document.
    void load(base::availability_zone_id const& zone, load_handler done);

    /// Writes the reservations if nobody else has written since the last `load` or `save`. An
    /// unknown answer of the store counts as not committed.
    void save(base::availability_zone_id const& zone, limits::share_document const& document,
              store_handler done);

private:
    store& store_;
    key_revision revision_;
};

} // namespace fuchsiaproxy::metadata

#endif
