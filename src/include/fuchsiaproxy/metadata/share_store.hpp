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

/// Parses the output of `to_json`. Fails with `bad_message` for other text. Thread safe.
base::result<limits::share_document> parse_share_document(std::string_view text);

/// Reads and writes the share reservations of one availability zone in the store.
///
/// Thread safety: none; used on the thread of the store.
class share_store
{
public:
    using load_handler = std::function<void(base::result<limits::share_document>)>;
    using store_handler = std::function<void(bool committed)>;

    /// `values` must outlive the object and its pending calls.
    explicit share_store(store& values) : store_(values) {}

    /// Reads the reservations. A missing key yields an empty document.
    void load(base::availability_zone_id const& zone, load_handler done);

    /// Writes the reservations if no other writer has changed them since the last `load` or `save`.
    /// A write whose outcome is unknown is reported as not committed.
    void save(base::availability_zone_id const& zone, limits::share_document const& document,
              store_handler done);

private:
    store& store_;
    key_revision revision_;
};

} // namespace fuchsiaproxy::metadata

#endif
