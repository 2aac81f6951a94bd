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

/// Identity, addresses and current state of an entry.
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

/// Requests from a hub the changes since `known_revision` of the hub's incarnation `known_hub`.
struct pull
{
    base::config_version version;
    base::incarnation known_hub;
    std::uint64_t known_revision = 0;
};

/// Answer to `pull`, also exchanged between hubs: changes of the entries in the sender's view.
struct digest
{
    base::config_version version;
    /// Revision of the sender's view after these changes.
    std::uint64_t revision = 0;
    /// Whether `entries` is the complete view and replaces all that the sender sent earlier.
    bool full = false;
    std::vector<entry_info> entries;
    std::vector<base::instance_id> removed;
    /// Upstreams that the sender has recorded as leaving; always the complete list.
    std::vector<base::upstream_id> leaving;
};

/// A configuration in JSON form, newer than the version that the receiver reported.
struct config_push
{
    base::config_version version;
    std::string document;
};

/// Requests the configuration; sent if the sender's version is lower than the receiver's.
struct config_fetch
{
    base::config_version version;
};

/// Sent by a primary: requests the witness's permission to run a request.
struct claim
{
    std::string request_id;
};

/// Answer to `claim`: the primary may run the request.
struct grant
{
    std::string request_id;
};

/// Answer to `claim`: the request is permanently refused. Sent by a primary, it reports that the
/// request did not run and never will.
struct deny
{
    std::string request_id;
};

/// Sent by a primary: reports the status of a request that ran to the witness.
struct done
{
    std::string request_id;
    std::uint32_t status = 0;
};

/// Requests the outcome of a request from its primary or witness. If that one has no record of the
/// request, it places a tombstone on it, which prevents a later run.
struct resolve
{
    std::string request_id;
};

/// State of a request in the ledger of its primary or witness.
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

/// Requests a loan of slots of a service from their owner. `number` identifies the loan.
struct loan_request
{
    std::uint64_t number = 0;
    base::service_id service;
    std::uint32_t slots = 0;
    /// Class of the request that needs the slot; owners use it to prioritise.
    std::uint32_t request_class = 0;
    /// Time that the request has waited.
    base::duration waited{};
};

/// Answer to `loan_request`: lends slots of one upstream until `valid_for` after the borrower sent
/// the request. Zero slots decline the loan.
struct loan_answer
{
    std::uint64_t number = 0;
    base::upstream_id upstream;
    std::uint32_t slots = 0;
    base::duration valid_for{};
};

/// Returns slots of a loan.
struct loan_return
{
    std::uint64_t number = 0;
    base::upstream_id upstream;
    std::uint32_t slots = 0;
};

/// Requests a reservation of a share of a cap from the hub.
struct share_request
{
    base::cap_id cap;
    std::uint64_t amount = 0;
};

/// The reservation that the hub recorded in the store for the receiver's incarnation.
struct share_grant
{
    base::cap_id cap;
    /// Incarnation that holds the reservation; other incarnations must ignore the grant.
    base::incarnation holder;
    std::uint64_t amount = 0;
    /// Version of the stored reservations; grants older than the one in force are ignored.
    std::uint64_t revision = 0;
};

/// Releases a part of the sender's reservation, which is `amount` from now on.
struct share_return
{
    base::cap_id cap;
    std::uint64_t amount = 0;
    std::uint64_t revision = 0;
};

/// Announces that an upstream is leaving.
struct leaving
{
    base::upstream_id upstream;
};

/// Cumulative service-level counts of one class of requests since the incarnation started.
struct class_counts
{
    base::service_id service;
    std::string request_class;
    std::uint64_t total = 0;
    std::uint64_t on_time = 0;
    std::uint64_t weight_total = 0;
    std::uint64_t weight_on_time = 0;
};

/// Counts of `owner`, which is the sender or a stopped entry that transferred its counts to it.
struct counters
{
    base::instance_id owner;
    base::incarnation owner_incarnation;
    std::vector<class_counts> counts;
};

/// Sent by the new owner of an upstream: requests that the previous owner stops allocating its
/// slots. `number` is the same in each repetition and differs between takeovers.
struct takeover_request
{
    std::uint64_t number = 0;
    base::upstream_id upstream;
};

/// Answer to `takeover_request`, sent again when `in_use` decreases: the sender allocates no more
/// slots.
struct takeover_answer
{
    std::uint64_t number = 0;
    base::upstream_id upstream;
    /// Slots that may still be in use, all of them free after `lapses_in`.
    std::uint32_t in_use = 0;
    base::duration lapses_in{};
};

using message =
    std::variant<heartbeat, pull, digest, config_push, config_fetch, claim, grant, deny, done,
                 resolve, resolution, loan_request, loan_answer, loan_return, share_request,
                 share_grant, share_return, leaving, counters, takeover_request, takeover_answer>;

/// Action returned by the decision packages: sends `body` to the entry `to`.
struct send_message
{
    base::instance_id to;
    message body;
};

/// A message with its sender. `sequence` increases by one with each message of an incarnation.
struct envelope
{
    base::instance_id from;
    base::incarnation incarnation;
    std::uint64_t sequence = 0;
    message body;
};

} // namespace fuchsiaproxy::messages

#endif
