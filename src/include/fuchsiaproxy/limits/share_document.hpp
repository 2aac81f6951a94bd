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

/// One process lifetime of an entry, to which a reservation belongs.
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

/// Part of a cap that an entry may use.
struct share_reservation
{
    /// The most that the entry used in the last window or may be using; it counts against the
    /// zone's part.
    std::uint64_t amount = 0;
    /// What the entry is to use; less than `amount` until it has acknowledged the reduction.
    std::uint64_t target = 0;
    /// Revision of the document that set `target`; the number of the grant.
    std::uint64_t revision = 0;

    friend bool operator==(share_reservation const& a, share_reservation const& b)
    {
        return a.amount == b.amount && a.target == b.target && a.revision == b.revision;
    }
};

/// Reservations of the entries of one availability zone; the value of the key `shares/<zone>`.
struct share_document
{
    /// Grows with each write.
    std::uint64_t revision = 0;
    std::map<base::cap_id, std::map<share_owner, share_reservation>> caps;
    /// Version of the configuration that the writer divided. A hub with a lower version must not
    /// write: it may know a part that was reduced since.
    base::config_version version;
};

/// Returns the sum of the amounts of `cap`: in no window do the entries of the zone move more.
/// Thread safe.
std::uint64_t reserved(share_document const& document, base::cap_id const& cap);

/// Returns whether a reduction of the zone's part of `cap` to `part`, made by configuration
/// `version`, is in force. Only then may another zone's part grow. Thread safe.
bool is_reduction_in_force(share_document const& document, base::cap_id const& cap,
                           std::uint64_t part, base::config_version version);

/// Messages of the hub for entries of its zone.
using hub_actions = std::vector<messages::send_message>;

/// The entry may use `amount` of the cap from now on.
struct set_share
{
    base::cap_id cap;
    std::uint64_t amount = 0;
};

/// A message of an entry for the hub of its zone.
struct send_to_hub
{
    messages::message body;
};

using share_action = std::variant<set_share, send_to_hub>;
using share_actions = std::vector<share_action>;

} // namespace fuchsiaproxy::limits

#endif
