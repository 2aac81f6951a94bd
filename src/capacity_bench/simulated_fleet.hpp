#ifndef FUCHSIAPROXY_CAPACITY_BENCH_SIMULATED_FLEET_HPP
#define FUCHSIAPROXY_CAPACITY_BENCH_SIMULATED_FLEET_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fuchsiaproxy/fleet/fleet_node.hpp"

namespace fuchsiaproxy::capacity_bench
{

/// Kinds of calls of a fleet node: its tick and the message types that it handles.
enum class call_kind : std::uint8_t
{
    tick,
    heartbeat,
    pull,
    digest,
    config_push,
    config_fetch,
    other
};
constexpr std::size_t call_kinds = 7;

/// Traffic of one entry in one direction.
struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    /// Part of `bytes` exchanged with other availability zones.
    std::uint64_t far_bytes = 0;
};

/// Traffic and processor time of one entry since the last reset.
struct tally
{
    traffic sent;
    traffic received;
    double node_ns = 0;
    double codec_ns = 0;
};

/// Processor time by kind of call.
struct call_cost
{
    double ns = 0;
    std::uint64_t count = 0;
};

/// Fleet nodes in one process that exchange encoded messages without delay, under a fake clock.
///
/// Hubs read the instance list each second. Each entry ticks four times per second, and selects
/// its witness as the engine does.
/// Thread safety: none.
class simulated_fleet
{
public:
    /// Creates `entries` entries with empty views; only entry 0 has adopted `document`. `warm` is
    /// not evaluated: a warm fleet, in which all entries know each other and have adopted the
    /// document, is not implemented.
    simulated_fleet(std::size_t entries, std::string document, bool warm);

    /// Runs for `seconds` of simulated time. When `advance_generations`, each entry changes its
    /// ticket generation once in 60 s, as the claim ledger does.
    void run(std::size_t seconds, bool advance_generations = false);

    /// Stops an entry without notice and removes it from the instance list.
    void stop(base::instance_id const& id);

    /// Starts an entry with an empty view and a new id in place of entry `n`; returns its id.
    base::instance_id start_replacement(std::size_t n);

    /// Stops all entries of the availability zone of entry 0 without notice.
    void stop_zone_of_first();

    /// Makes the first hub of the zone of entry 0 adopt the next configuration version.
    void adopt_next_version();

    /// Returns how many entries have the current configuration and know every other running entry.
    std::size_t complete() const;

    /// Returns whether this entry has the current configuration and knows every other running
    /// entry.
    bool is_complete(base::instance_id const& id) const;

    std::size_t size() const
    {
        return nodes_.size();
    }

    void reset_tallies();

    /// Returns the tallies of hubs or of members.
    std::vector<tally> tallies(bool of_hubs) const;

    tally const& tally_of(base::instance_id const& id) const
    {
        return nodes_.at(id).counts;
    }

    /// Returns the processor time of the calls of hubs or of members since the last reset.
    std::array<call_cost, call_kinds> const& costs(bool of_hubs) const
    {
        return costs_[of_hubs ? 1 : 0];
    }

private:
    struct member
    {
        std::unique_ptr<fleet::fleet_node> node;
        tally counts;
        std::uint32_t generation = 1;
        std::size_t index = 0;
    };

    struct packet
    {
        base::instance_id to;
        std::string bytes;
        bool far = false;
    };

    void introduce_all();
    base::instance_id add(std::size_t index, std::size_t name);
    void step(base::instance_id const& id, bool advance_generations);
    void refresh_self(member& it);
    template <class Call>
    void perform(member& it, call_kind kind, Call&& call);
    void apply(member& it, fleet::fleet_actions const& actions);
    void send(member& it, messages::send_message const& action);
    void deliver();

    std::size_t zones_;
    std::map<base::instance_id, member> nodes_;
    std::vector<fleet::seed_entry> seeds_;
    std::deque<packet> queue_;
    std::array<std::array<call_cost, call_kinds>, 2> costs_{};
    base::time_point now_{std::chrono::hours(1)};
    std::uint64_t sequence_ = 0;
    std::uint64_t incarnation_ = 0;
    std::uint64_t version_ = 1;
    std::size_t next_name_;
    std::string document_;
    fleet::fleet_actions actions_;
    bool delivering_ = false;
};

} // namespace fuchsiaproxy::capacity_bench

#endif
