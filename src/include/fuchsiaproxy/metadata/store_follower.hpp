#ifndef FUCHSIAPROXY_METADATA_STORE_FOLLOWER_HPP
#define FUCHSIAPROXY_METADATA_STORE_FOLLOWER_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/timer_service.hpp"
#include "fuchsiaproxy/metadata/key_value_store.hpp"

namespace fuchsiaproxy::metadata
{

/// Receiver of what a `store_follower` learns.
class follower_events
{
public:
    virtual ~follower_events() = default;

    /// All keys with the prefix; keys that were known before and are not listed have gone.
    virtual void listed(std::vector<key_value> const& items) = 0;

    /// One key was written or removed.
    virtual void changed(key_value const& it) = 0;

    /// The store has stopped to answer.
    virtual void store_lost(std::string const& why) = 0;

    /// The store answers again. It was still away at `away_at`: the start of the last listing that
    /// failed, or the end of the watch if only that has failed.
    virtual void store_regained(base::time_point away_at) = 0;

    /// A watch was given up at revision `known`, because another follower had seen `overheard`.
    virtual void watch_given_up(store_revision known, store_revision overheard) = 0;

    /// All changes up to a revision of the store have been told.
    virtual void caught_up(store_revision at) = 0;
};

/// Timing of a `store_follower`.
struct follower_settings
{
    std::string prefix;
    /// Longest wait of one watch. A connection that goes silent meanwhile is found by its
    /// keep-alive probes.
    base::duration watch_wait = std::chrono::seconds(20);
    /// Least time between the starts of two watches. Changes within it are fetched together, which
    /// bounds the calls in a time of many changes.
    base::duration least_gap = std::chrono::milliseconds(700);
    /// Time that a watch may stay behind a revision that another follower has seen. Longer than a
    /// slow store takes to answer.
    base::duration overtaken_limit = std::chrono::milliseconds(600);
    /// Pause after the first failed call; doubles up to `longest_pause`, with jitter.
    base::duration first_pause = std::chrono::milliseconds(100);
    base::duration longest_pause = std::chrono::milliseconds(800);
    /// Seed of the jitter.
    std::uint64_t seed = 1;
};

/// Counts of a follower since its start.
struct follower_counters
{
    std::uint64_t listings = 0;
    std::uint64_t watches = 0;
    std::uint64_t changes = 0;
    std::uint64_t failed_calls = 0;
    std::uint64_t lost_histories = 0;
    /// Watches that were given up because another follower had seen a later revision.
    std::uint64_t overtaken_watches = 0;
};

/// Keeps a copy of the keys with a prefix up to date: lists them once, watches from the revision of
/// the first page on, and lists again when a watch has failed or was overtaken, or the store has
/// dropped the history.
///
/// Thread safety: none; used on the thread of the store and the timers.
class store_follower
{
public:
    /// All arguments must outlive the follower.
    store_follower(key_value_store& store, base::timer_service& timers, follower_events& events,
                   follower_settings settings);
    ~store_follower();

    store_follower(store_follower const&) = delete;
    store_follower& operator=(store_follower const&) = delete;

    /// Starts to follow. Precondition: called once.
    void start();

    /// Takes a revision that another follower has seen. A watch that does not get there in time is
    /// given up and the keys are listed again: its connection may have gone silent in a way that
    /// the system cannot find out, as behind a proxy that still answers probes.
    void overheard(store_revision seen);

    /// Returns the counts.
    follower_counters const& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::metadata

#endif
