#ifndef FUCHSIAPROXY_LIMITS_SHARE_DOCUMENT_HPP
#define FUCHSIAPROXY_LIMITS_SHARE_DOCUMENT_HPP

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/messages/messages.hpp"

namespace fuchsiaproxy::limits
{

/// Owner of a reservation: one process lifetime of an entry.
struct share_owner
{
    base::instance_id instance;
    base::incarnation number;

    friend bool operator==(share_owner const& a, share_owner const& b)
    {
        return a.number == b.number && a.instance == b.instance;
    }
    friend bool operator<(share_owner const& a, share_owner const& b)
    {
        return a.instance < b.instance || (a.instance == b.instance && a.number < b.number);
    }
};

/// Part of a cap that is reserved for an entry.
struct share_reservation
{
    /// Upper bound of what the entry used in the last window or may be using now; counts against
    /// the zone's part.
    std::uint64_t amount = 0;
    /// Granted amount; lower than `amount` until the entry has acknowledged the reduction.
    std::uint64_t target = 0;
    /// Revision of the document that set `target`; identifies the grant.
    std::uint64_t revision = 0;

    friend bool operator==(share_reservation const& a, share_reservation const& b)
    {
        return a.amount == b.amount && a.target == b.target && a.revision == b.revision;
    }
};

/// Reservations of the entries of one availability zone; the value of the key `shares/<zone>`.
struct share_document
{
    /// Incremented by each write.
    std::uint64_t revision = 0;
    std::map<base::cap_id, std::map<share_owner, share_reservation>> caps;
    /// Version of the configuration from which the writer took the zone's parts. A hub with a lower
    /// version must not write, because a part may have been reduced since that version.
    base::config_version version;
};

/// Returns the sum of the amounts of `cap`, which bounds the moves of the zone's entries in any
/// window. Thread safe.
std::uint64_t reserved(share_document const& document, base::cap_id const& cap);

/// Returns whether a reduction of the zone's part of `cap` to `part` by configuration `version` is
/// in force. Until then no other zone's part may be raised. Thread safe.
bool is_reduction_in_force(share_document const& document, base::cap_id const& cap,
                           std::uint64_t part, base::config_version version);

/// Messages from the hub to entries of its zone.
using hub_actions = std::vector<messages::send_message>;

/// Set the entry's share of the cap to `amount`.
struct set_share
{
    base::cap_id cap;
    std::uint64_t amount = 0;
};

/// Send a message to the hub of the entry's zone.
struct send_to_hub
{
    messages::message body;
};

using share_action = std::variant<set_share, send_to_hub>;
using share_actions = std::vector<share_action>;

} // namespace fuchsiaproxy::limits

#endif
