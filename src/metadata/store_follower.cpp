#include "fuchsiaproxy/metadata/store_follower.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <utility>

#include "retry_backoff.hpp"

namespace fuchsiaproxy::metadata
{

class store_follower::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(key_value_store& store, base::timer_service& timers, follower_events& events,
         follower_settings settings)
        : store_(store), timers_(timers), events_(events), settings_(std::move(settings)),
          backoff_(settings_.min_backoff, settings_.max_backoff, settings_.seed)
    {
    }

    void list()
    {
        items_.clear();
        first_page_.reset();
        listing_ = true;
        ++counters_.listings;
        call_started_as_of_ = suspension_now();
        next_page({});
    }

    void set_max_proof_age(base::duration age)
    {
        settings_.max_proof_age = age;
    }

    void list_again()
    {
        list_wanted_ = true;
        if (watching_)
        {
            end_watch();
            watch();
        }
    }

    void stop()
    {
        stopped_ = true;
        timer_.reset();
        lag_timer_.reset();
        answer_timer_.reset();
    }

    void set_min_watch_interval(base::duration interval)
    {
        settings_.min_watch_interval = interval;
    }

    void set_watch_wait(base::duration wait)
    {
        settings_.watch_wait = wait;
        if (watching_ && answer_due_ > timers_.now() + wait)
        {
            limit_answer(timers_.now() + wait);
        }
    }

    void on_peer_position(store_position seen)
    {
        peer_position_ = std::max(peer_position_, seen);
        limit_watch_lag();
    }

    void on_call_ended(call_end const& it)
    {
        if (it.outcome == call_outcome::answered)
        {
            end_silence();
        }
        else
        {
            last_unavailable_at_ = std::max(last_unavailable_at_, it.sent_at);
        }
        auto const& era = it.era;
        if (!era || *era <= era_.value_or(store_era()))
        {
            // Also a call that failed shows that the store was not known to have returned.
            last_older_at_ = std::max(last_older_at_, it.sent_at);
            era_ = era ? era_.value_or(*era) : era_;
            check_watch(it);
            return;
        }
        if (enter_era(*era) && (watching_ || listing_ || timer_))
        {
            end_watch();
            timer_.reset();
            list();
        }
    }

    follower_counters const& counters() const
    {
        return counters_;
    }

private:
    /// Replaces the watch in progress by a listing if it was in progress beside a call that was not
    /// answered, and the store answers others again: what made one connection unresponsive often
    /// did the same to the others.
    void check_watch(call_end const& it)
    {
        if (it.outcome == call_outcome::unanswered && watching_ && !it.is_watch)
        {
            suspect_watch_ = counters_.watches;
        }
        if (it.outcome == call_outcome::answered && watching_ &&
            suspect_watch_ == counters_.watches)
        {
            ++counters_.suspect_watches;
            events_.watch_suspected();
            abandon_watch();
        }
    }

    /// Replaces the watch in progress, whose connection seems unresponsive, by a listing. The store
    /// may have been away as well, so records that the listing lacks may have expired.
    void abandon_watch()
    {
        end_watch();
        store_.close_idle_connections();
        interrupted_ = true;
        list();
    }

    void next_page(std::string after)
    {
        listing_started_at_ = timers_.now();
        store_.list(settings_.prefix, std::move(after),
                    [weak = weak_from_this(),
                     number = counters_.listings](base::result<key_value_page> page)
                    {
                        auto const self = weak.lock();
                        if (self && !self->stopped_ && number == self->counters_.listings)
                        {
                            self->on_page(std::move(page));
                        }
                    });
    }

    void on_page(base::result<key_value_page> page)
    {
        if (!page)
        {
            on_failure(page.error(), listing_started_at_);
            return;
        }
        auto& it = page.value();
        if (!is_current(it.current.era, listing_started_at_))
        {
            return;
        }
        if (first_page_ && first_page_->era != it.current.era)
        {
            list(); // The store has returned from an older copy since the first page.
            return;
        }
        // Pages are not a consistent snapshot. Watching from the first page's revision also reports
        // the changes made while the other pages were read.
        first_page_ = first_page_.value_or(it.current);
        std::move(it.items.begin(), it.items.end(), std::back_inserter(items_));
        if (it.has_more && !items_.empty())
        {
            next_page(items_.back().key);
            return;
        }
        listing_ = false;
        on_success();
        position_ = *first_page_;
        events_.listed(std::exchange(items_, {}));
        events_.caught_up(position_);
        report_proof({});
        watch();
    }

    void schedule_watch()
    {
        auto const due = watch_started_at_ + settings_.min_watch_interval;
        if (timers_.now() >= due)
        {
            watch();
            return;
        }
        timer_ = timers_.at(due, [this](base::time_point) { watch(); });
    }

    void watch()
    {
        if (std::exchange(list_wanted_, false))
        {
            // Delayed, as the receiver may lose changes for as long as it is busy.
            timer_ = timers_.at(timers_.now() + settings_.min_watch_interval,
                                [this](base::time_point) { list(); });
            return;
        }
        call_started_as_of_ = suspension_now();
        wait_of_watch_ = next_wait();
        watch_started_at_ = timers_.now();
        ++counters_.watches;
        watching_ = true;
        store_.watch(settings_.prefix, position_.revision, wait_of_watch_,
                     [weak = weak_from_this(),
                      number = counters_.watches](base::result<key_value_changes> seen)
                     {
                         auto const self = weak.lock();
                         if (self && !self->stopped_ && self->watching_ &&
                             number == self->counters_.watches)
                         {
                             self->end_watch();
                             self->on_changes(std::move(seen));
                         }
                     });
        limit_answer(watch_started_at_ + wait_of_watch_);
        limit_watch_lag();
    }

    /// Ends the watch in progress; a later answer to it is ignored.
    void end_watch()
    {
        watching_ = false;
        answer_timer_.reset();
    }

    /// Starts a timer for the watch in progress, whose answer is due at `due`.
    void limit_answer(base::time_point due)
    {
        answer_due_ = due;
        answer_timer_ =
            timers_.at(due + settings_.answer_margin,
                       [this](base::time_point)
                       {
                           end_watch();
                           ++counters_.unanswered_watches;
                           on_failure(base::error{base::error_kind::store_answer_unknown,
                                                  "a watch was not answered"},
                                      answer_due_);
                       });
    }

    /// Starts a timer for the watch in progress if it lags behind another follower.
    void limit_watch_lag()
    {
        if (!watching_ || lag_timer_ || peer_position_ <= position_)
        {
            return;
        }
        lag_timer_ = timers_.at(timers_.now() + settings_.max_watch_lag,
                                [this, target = peer_position_](base::time_point)
                                {
                                    lag_timer_.reset();
                                    if (!watching_ || position_ >= target)
                                    {
                                        limit_watch_lag();
                                        return;
                                    }
                                    ++counters_.lagging_watches;
                                    events_.watch_given_up(position_, target);
                                    abandon_watch();
                                });
    }

    void on_changes(base::result<key_value_changes> seen)
    {
        if (!seen && seen.error().kind == base::error_kind::history_lost)
        {
            ++counters_.lost_histories;
            list();
            return;
        }
        if (!seen)
        {
            // Lists again instead of watching again: if the store has dropped the history
            // meanwhile, a new watch may still be accepted and report nothing until the next
            // change.
            on_failure(seen.error(), timers_.now());
            return;
        }
        auto const current = seen.value().current;
        if (!is_current(current.era, watch_started_at_))
        {
            return;
        }
        if (current.era != position_.era)
        {
            // Changes since a revision of the older copy are not those since the last listing.
            list();
            return;
        }
        on_success();
        for (auto const& it : seen.value().changes)
        {
            ++counters_.changes;
            events_.changed(it);
        }
        position_ = std::max(position_, current);
        events_.caught_up(position_);
        // Measured without the time of a suspension, during which an early answer may have waited.
        auto const waited_fully = timers_.now() - watch_started_at_ >= wait_of_watch_;
        report_proof(seen.value().changes.empty() && waited_fully ? wait_of_watch_
                                                                  : base::duration{});
        schedule_watch();
    }

    base::suspension_time_point suspension_now() const
    {
        return settings_.suspension == nullptr ? base::suspension_time_point{}
                                               : settings_.suspension->now();
    }

    /// Reports what the latest call proves: that all changes are known which the store confirmed
    /// before its start, or up to `waited` later.
    void report_proof(base::duration waited)
    {
        // What the store confirmed before it was restored may be missing until it is written again.
        auto const may_lack_changes =
            restored_at_ && timers_.now() < *restored_at_ + settings_.restore_settle_time;
        if (settings_.suspension != nullptr && !may_lack_changes)
        {
            proven_as_of_ = call_started_as_of_ + waited;
            events_.proven(proven_as_of_);
        }
    }

    /// Returns the wait of the next watch, in whole milliseconds: the store knows no others, and a
    /// watch that it ended a fraction early would prove its start only.
    base::duration next_wait() const
    {
        if (settings_.max_proof_age <= base::duration{})
        {
            return settings_.watch_wait;
        }
        auto const left = settings_.max_proof_age - (suspension_now() - proven_as_of_);
        return std::clamp<base::duration>(std::chrono::floor<std::chrono::milliseconds>(left),
                                          settings_.min_watch_wait, settings_.watch_wait);
    }

    /// Makes `era` the one known. Returns whether the store has returned from an older copy, rather
    /// than stated its era for the first time.
    bool enter_era(store_era era)
    {
        auto const is_first = !std::exchange(era_, era);
        if (is_first)
        {
            return false;
        }
        ++counters_.restored_stores;
        restored_at_ = timers_.now();
        backoff_.reset();
        last_unavailable_at_ = std::max(last_unavailable_at_, last_older_at_);
        events_.store_restored(era, last_unavailable_at_);
        return true;
    }

    /// Checks the era of an answer to a call that was sent at `sent_at`. An answer of an older era
    /// counts as a failed call.
    bool is_current(store_era era, base::time_point sent_at)
    {
        if (era_ && era < *era_)
        {
            ++counters_.outdated_answers;
            on_failure(base::error{base::error_kind::store_answer_unknown,
                                   "an answer of an older copy of the store"},
                       sent_at);
            return false;
        }
        if (!era_ || era > *era_)
        {
            enter_era(era);
        }
        return true;
    }

    void on_success()
    {
        backoff_.reset();
        end_silence();
        auto const was_reachable = std::exchange(reachable_, true);
        if (std::exchange(interrupted_, false) || !was_reachable)
        {
            events_.store_regained(
                {std::min(last_unavailable_at_, silence_ended_at_), longest_silence_});
        }
        longest_silence_ = {};
    }

    /// Records an answer of the store.
    void end_silence()
    {
        auto const now = timers_.now();
        auto const silence = answered_at_ ? now - *answered_at_ : base::duration::max();
        if (silence >= longest_silence_)
        {
            longest_silence_ = silence;
            silence_ended_at_ = now;
        }
        answered_at_ = now;
    }

    void on_failure(base::error const& why, base::time_point last_unavailable_at)
    {
        listing_ = false;
        ++counters_.failed_calls;
        last_unavailable_at_ = last_unavailable_at;
        if (std::exchange(reachable_, false))
        {
            events_.store_lost(why.message);
        }
        timer_ = timers_.at(timers_.now() + backoff_.next(), [this](base::time_point) { list(); });
    }

    key_value_store& store_;
    base::timer_service& timers_;
    follower_events& events_;
    follower_settings settings_;
    retry_backoff backoff_;
    follower_counters counters_;
    std::vector<key_value> items_;
    std::optional<store_position> first_page_;
    store_position position_;
    /// Latest era that the store has stated, and the latest start of a call to the store that did
    /// not state a later one.
    std::optional<store_era> era_;
    base::time_point last_older_at_{};
    std::optional<base::time_point> restored_at_;
    std::unique_ptr<base::timer_subscription> timer_;
    /// Latest position that another follower has reached, and the time limit for reaching it.
    store_position peer_position_;
    std::unique_ptr<base::timer_subscription> lag_timer_;
    bool listing_ = false;
    bool watching_ = false;
    /// Whether the next watch is replaced by a listing.
    bool list_wanted_ = false;
    base::time_point watch_started_at_{};
    /// Number of the watch that was in progress when a call was not answered; zero if none.
    std::uint64_t suspect_watch_ = 0;
    /// Wait that the watch in progress was sent with.
    base::duration wait_of_watch_{};
    /// Start of the watch in progress, or of the first call of the listing in progress.
    base::suspension_time_point call_started_as_of_{};
    base::suspension_time_point proven_as_of_{};
    /// Time at which the watch in progress is to be answered, and the timer for when it is not.
    base::time_point answer_due_{};
    std::unique_ptr<base::timer_subscription> answer_timer_;
    /// Start of the listing in progress, and last time the store was known to be unreachable.
    base::time_point listing_started_at_{};
    base::time_point last_unavailable_at_{};
    /// Latest answer of the store to any call, and the longest time between two answers since the
    /// last successful call of the follower.
    std::optional<base::time_point> answered_at_;
    base::duration longest_silence_{};
    base::time_point silence_ended_at_{};
    bool reachable_ = true;
    /// Whether the latest watch was abandoned.
    bool interrupted_ = false;
    bool stopped_ = false;
};

store_follower::store_follower(key_value_store& store, base::timer_service& timers,
                               follower_events& events, follower_settings settings)
    : impl_(std::make_shared<impl>(store, timers, events, std::move(settings)))
{
}

store_follower::~store_follower()
{
    impl_->stop();
}

void store_follower::start()
{
    impl_->list();
}

void store_follower::on_peer_position(store_position seen)
{
    impl_->on_peer_position(seen);
}

void store_follower::on_call_ended(call_end const& it)
{
    impl_->on_call_ended(it);
}

void store_follower::set_watch_wait(base::duration wait)
{
    impl_->set_watch_wait(wait);
}

void store_follower::set_min_watch_interval(base::duration interval)
{
    impl_->set_min_watch_interval(interval);
}

void store_follower::set_max_proof_age(base::duration age)
{
    impl_->set_max_proof_age(age);
}

void store_follower::list_again()
{
    impl_->list_again();
}

follower_counters const& store_follower::counters() const
{
    return impl_->counters();
}

} // namespace fuchsiaproxy::metadata
