#ifndef FUCHSIAPROXY_METADATA_STORE_FOLLOWER_HPP
#define FUCHSIAPROXY_METADATA_STORE_FOLLOWER_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaproxy/base/suspension_clock.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/timer_service.hpp"
#include "fuchsiaproxy/metadata/key_value_store.hpp"

namespace fuchsiaproxy::metadata
{

/// What a follower knows of a time in which its calls failed. That alone does not show that the
/// store was away: a watch that waits may be cut, and a connection may fall silent, while the store
/// serves all others.
struct store_interruption
{
    /// When the store was last known to be unreachable: the start of the last failed listing; if
    /// only the watch failed, its end, or the time at which it should have been answered; no later
    /// than the end of `longest_silence`.
    base::time_point last_unavailable_at;
    /// Longest time without an answer of the store to any call of this process since the follower's
    /// last successful call; the store was away for no longer. The largest duration if the store
    /// has never answered.
    base::duration longest_silence = base::duration::max();
};

/// Callbacks of a `store_follower`.
class follower_events
{
public:
    virtual ~follower_events() = default;

    /// A complete listing of the keys with the prefix. Known keys that it does not contain have
    /// been removed.
    virtual void listed(std::vector<key_value> const& items) = 0;

    /// One key was written or removed.
    virtual void changed(key_value const& it) = 0;

    /// A call of the follower has failed, so that changes may go unnoticed.
    virtual void store_lost(std::string const& why) = 0;

    /// The calls of the follower succeed again after `store_lost`, or after a watch that was
    /// abandoned. A listing follows.
    virtual void store_regained(store_interruption const& it) = 0;

    /// A watch was abandoned at position `known`, because another follower had reached
    /// `peer_position`.
    virtual void watch_given_up(store_position known, store_position peer_position) = 0;

    /// A watch was abandoned because another call beside it had not been answered. A listing
    /// follows.
    virtual void watch_suspected() {}

    /// The store has returned from an older copy, as the era in one of its answers shows. It was
    /// last known not to have returned at `last_unavailable_at`. A listing follows.
    virtual void store_restored(store_era era, base::time_point last_unavailable_at) = 0;

    /// All changes up to a position of the store have been reported.
    virtual void caught_up(store_position at) = 0;

    /// All changes that the store had confirmed by `as_of` have been reported. Follows `caught_up`.
    virtual void proven(base::suspension_time_point) {}
};

/// Timing of a `store_follower`.
struct follower_settings
{
    std::string prefix;
    /// Maximum wait of one watch.
    base::duration watch_wait = std::chrono::seconds(20);
    /// Time after the end of its wait by which a watch must have been answered. Otherwise its call
    /// or its answer was lost, as when it was sent while the store did not respond.
    base::duration answer_margin = std::chrono::milliseconds(700);
    /// Minimum time between the starts of two watches. Changes within it are fetched together,
    /// which bounds the rate of calls when keys change often.
    base::duration min_watch_interval = std::chrono::milliseconds(700);
    /// Time for which a watch may lag behind a revision that another follower has reached. Longer
    /// than a slow store takes to answer.
    base::duration max_watch_lag = std::chrono::milliseconds(600);
    /// Time after a restore of the store within which operators and upstreams write again what it
    /// has lost.
    base::duration restore_settle_time = std::chrono::milliseconds(2200);
    /// Back-off after the first failed call; doubles up to `max_backoff`, with jitter.
    base::duration min_backoff = std::chrono::milliseconds(100);
    base::duration max_backoff = std::chrono::milliseconds(800);
    /// Clock of the proofs that the store is followed; null if none are reported. It must outlive
    /// the follower.
    base::suspension_clock const* suspension = nullptr;
    /// Age that the latest proof may reach before a watch ends; zero if any. A watch that ends with
    /// changes proves only its start, so the wait of the one after it is shortened accordingly,
    /// down to `min_watch_wait`.
    base::duration max_proof_age{};
    base::duration min_watch_wait = std::chrono::milliseconds(50);
    /// Seed of the jitter.
    std::uint64_t seed = 1;
};

/// Counters of a follower since its construction.
struct follower_counters
{
    std::uint64_t listings = 0;
    std::uint64_t watches = 0;
    std::uint64_t changes = 0;
    std::uint64_t failed_calls = 0;
    /// Watches that failed with `history_lost`.
    std::uint64_t lost_histories = 0;
    /// Watches that were abandoned because another follower had reached a later revision.
    std::uint64_t lagging_watches = 0;
    /// Watches that were abandoned because another call beside them had not been answered.
    std::uint64_t suspect_watches = 0;
    /// Watches that were abandoned because they were not answered in time.
    std::uint64_t unanswered_watches = 0;
    /// Returns of the store from an older copy.
    std::uint64_t restored_stores = 0;
    /// Answers of an older era than the one known, which were ignored.
    std::uint64_t outdated_answers = 0;
};

/// Follows the keys with a prefix: lists them once and then watches from the revision of the first
/// page. Lists again when a watch fails, is not answered or lags behind another follower, when the
/// store no longer has the history since the last known revision, and when it returns from an older
/// copy.
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

    /// Starts with a listing. Precondition: called once.
    void start();

    /// Reports a position that another follower has reached. A watch that does not reach it within
    /// `follower_settings::max_watch_lag` is abandoned and the keys are listed again, because its
    /// connection may be unresponsive in a way that keep-alive probes cannot detect, as behind a
    /// proxy that still answers them.
    void on_peer_position(store_position seen);

    /// Reports the end of any call to the store, also of calls by others. If it states a later era
    /// than the one known, the keys are listed at once, and answers to earlier calls are ignored.
    /// The watch in progress is replaced by a listing once a call is answered after one that was
    /// not, as its connection may have become unresponsive with the other's.
    void on_call_ended(call_end const& it);

    /// Replaces `follower_settings::watch_wait`. A watch in progress is abandoned if it has not
    /// been answered after the new wait and the margin. Precondition: `wait > 0`.
    void set_watch_wait(base::duration wait);

    /// Replaces `follower_settings::min_watch_interval` from the next watch on. Precondition:
    /// `interval >= 0`.
    void set_min_watch_interval(base::duration interval);

    /// Replaces `follower_settings::max_proof_age`, from the next watch on.
    void set_max_proof_age(base::duration age);

    /// Lists the keys again instead of watching, because reported changes were lost. May be called
    /// from within an event.
    void list_again();

    /// Returns the counters.
    follower_counters const& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::metadata

#endif
