#ifndef FUCHSIAPROXY_MESSAGES_MESSAGES_HPP
#define FUCHSIAPROXY_MESSAGES_MESSAGES_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/units.hpp"

namespace fuchsiaproxy::messages
{

/// Who an entry is and how to reach it.
struct entry_info
{
    base::instance_id id;
    base::incarnation incarnation;
    base::region_id region;
    base::availability_zone_id zone;
    /// Address and port for callers, "ip:port".
    std::string caller_address;
    /// Address and port for other entries, "ip:port".
    std::string peer_address;
    bool draining = false;
    base::config_version version;
    /// Witness and generation of the tickets that the entry accepts now; the id is empty when it
    /// has no witness.
    base::instance_id witness;
    base::incarnation witness_incarnation;
    std::uint32_t generation = 0;
    /// Requests queued or running, in thousandths of the entry's owned slots.
    std::uint32_t load_permille = 0;
};

/// Sent every second to the hubs of the zone and to the witness.
struct heartbeat
{
    entry_info self;
};

/// Asks a hub for what changed since `known_revision` of the hub's incarnation `known_hub`.
struct pull
{
    base::config_version version;
    base::incarnation known_hub;
    std::uint64_t known_revision = 0;
};

/// Answer to `pull`, and what hubs exchange: the changes of the entries that the sender knows.
struct digest
{
    base::config_version version;
    /// Revision of the sender's view after these changes.
    std::uint64_t revision = 0;
    /// True when `entries` is the whole view and replaces what the receiver had from the sender.
    bool full = false;
    std::vector<entry_info> entries;
    std::vector<base::instance_id> removed;
    /// Upstreams that the sender knows to be leaving; always the whole list.
    std::vector<base::upstream_id> leaving;
};

/// A configuration in JSON form, newer than what the receiver reported.
struct config_push
{
    base::config_version version;
    std::string document;
};

/// Asks for the configuration when the sender's version is lower than the receiver's.
struct config_fetch
{
    base::config_version version;
};

/// Asks the witness to grant the run of a request to its primary.
struct claim
{
    std::string request_id;
};

/// The witness granted a claim.
struct grant
{
    std::string request_id;
};

/// The witness refused a claim for ever.
struct deny
{
    std::string request_id;
};

/// The primary tells the witness the status of a request that ran.
struct done
{
    std::string request_id;
    std::uint32_t status = 0;
};

/// Asks the primary or the witness what became of a request, and forbids its run if it has none.
struct resolve
{
    std::string request_id;
};

/// What a ledger knows of a request.
enum class request_state
{
    tombstoned,
    running,
    done,
    unknown
};

/// Answer to `resolve`.
struct resolution
{
    std::string request_id;
    request_state state = request_state::unknown;
    std::uint32_t status = 0;
};

/// Asks an owner for slots of a service.
struct borrow
{
    std::uint64_t number = 0;
    base::service_id service;
    std::uint32_t slots = 0;
    /// Class of the request that needs the slot, by which owners rank it.
    std::uint32_t request_class = 0;
    /// Time for which that request has waited.
    base::duration waited{};
};

/// Lends slots of one upstream until `valid_for` after the borrower sent the request.
struct lend
{
    std::uint64_t number = 0;
    base::upstream_id upstream;
    std::uint32_t slots = 0;
    base::duration valid_for{};
};

/// Returns slots of a loan.
struct give_back
{
    std::uint64_t number = 0;
    base::upstream_id upstream;
    std::uint32_t slots = 0;
};

/// Asks the hub for a reservation of a cap's share.
struct share_request
{
    base::cap_id cap;
    std::uint64_t amount = 0;
};

/// The reservation that the hub recorded in the store for the receiver's incarnation.
struct share_grant
{
    base::cap_id cap;
    /// Incarnation that the reservation belongs to; any other must ignore the grant.
    base::incarnation holder;
    std::uint64_t amount = 0;
    /// Version of the stored reservations; older grants than the one in force are ignored.
    std::uint64_t revision = 0;
};

/// Gives up a part of a reservation: the sender holds `amount` from now on.
struct share_return
{
    base::cap_id cap;
    std::uint64_t amount = 0;
    std::uint64_t revision = 0;
};

/// The sender learned that an upstream is leaving.
struct leaving
{
    base::upstream_id upstream;
};

/// Service-level counts of one class of requests, growing since the start of the incarnation.
struct class_counts
{
    base::service_id service;
    std::string request_class;
    std::uint64_t total = 0;
    std::uint64_t on_time = 0;
    std::uint64_t weight_total = 0;
    std::uint64_t weight_on_time = 0;
};

/// Counts of `owner`, either the sender or an entry that stopped and handed them over.
struct counters
{
    base::instance_id owner;
    base::incarnation owner_incarnation;
    std::vector<class_counts> counts;
};

/// The new owner of an upstream asks the previous one to stop handing out its slots. `number` is
/// the same in each repetition and differs between takeovers.
struct take_over
{
    std::uint64_t number = 0;
    base::upstream_id upstream;
};

/// Answer to `take_over`, sent again when `in_use` falls: the sender hands out no slots any more.
struct handed_over
{
    std::uint64_t number = 0;
    base::upstream_id upstream;
    /// Slots that may still be in use, all of them free after `lapses_in`.
    std::uint32_t in_use = 0;
    base::duration lapses_in{};
};

using message = std::variant<heartbeat, pull, digest, config_push, config_fetch, claim, grant, deny,
                             done, resolve, resolution, borrow, lend, give_back, share_request,
                             share_grant, share_return, leaving, counters, take_over, handed_over>;

/// Action of a decision package: a message for another entry.
struct send_message
{
    base::instance_id to;
    message body;
};

/// A message with its sender. `sequence` grows by one with each message of an incarnation.
struct envelope
{
    base::instance_id from;
    base::incarnation incarnation;
    std::uint64_t sequence = 0;
    message body;
};

} // namespace fuchsiaproxy::messages

#endif
