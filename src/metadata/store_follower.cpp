#include "fuchsiaproxy/metadata/store_follower.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "retry_pause.hpp"

namespace fuchsiaproxy::metadata
{

class store_follower::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(key_value_store& store, base::timer_service& timers, follower_events& events,
         follower_settings settings)
        : store_(store), timers_(timers), events_(events), settings_(std::move(settings)),
          pause_(settings_.first_pause, settings_.longest_pause, settings_.seed)
    {
    }

    void list()
    {
        items_.clear();
        begin_.reset();
        ++counters_.listings;
        next_page({});
    }

    void stop()
    {
        stopped_ = true;
        timer_.reset();
        overtaken_.reset();
    }

    void overheard(store_revision seen)
    {
        overheard_ = std::max(overheard_, seen);
        expect_overheard();
    }

    follower_counters const& counters() const
    {
        return counters_;
    }

private:
    void next_page(std::string after)
    {
        asked_at_ = timers_.now();
        store_.list(settings_.prefix, std::move(after),
                    [weak = weak_from_this()](base::result<key_value_page> page)
                    {
                        if (auto const self = weak.lock(); self && !self->stopped_)
                        {
                            self->on_page(std::move(page));
                        }
                    });
    }

    void on_page(base::result<key_value_page> page)
    {
        if (!page)
        {
            fail(page.error(), asked_at_);
            return;
        }
        auto& it = page.value();
        // Pages are no snapshot: what changes while they are read is seen by watching from the
        // first page's revision on.
        begin_ = begin_.value_or(it.current);
        std::move(it.items.begin(), it.items.end(), std::back_inserter(items_));
        if (it.has_more && !items_.empty())
        {
            next_page(items_.back().key);
            return;
        }
        succeed();
        after_ = *begin_;
        events_.listed(std::exchange(items_, {}));
        events_.caught_up(after_);
        watch();
    }

    void watch_later()
    {
        auto const due = watched_at_ + settings_.least_gap;
        if (timers_.now() >= due)
        {
            watch();
            return;
        }
        timer_ = timers_.at(due, [this](base::time_point) { watch(); });
    }

    void watch()
    {
        watched_at_ = timers_.now();
        ++counters_.watches;
        watching_ = true;
        store_.watch(settings_.prefix, after_, settings_.watch_wait,
                     [weak = weak_from_this(),
                      number = counters_.watches](base::result<key_value_changes> seen)
                     {
                         auto const self = weak.lock();
                         if (self && !self->stopped_ && self->watching_ &&
                             number == self->counters_.watches)
                         {
                             self->watching_ = false;
                             self->on_changes(std::move(seen));
                         }
                     });
        expect_overheard();
    }

    /// Gives the watch in progress a time by which it has to reach what others have seen.
    void expect_overheard()
    {
        if (!watching_ || overtaken_ || overheard_ <= after_)
        {
            return;
        }
        overtaken_ = timers_.at(timers_.now() + settings_.overtaken_limit,
                                [this, due = overheard_](base::time_point)
                                {
                                    overtaken_.reset();
                                    if (!watching_ || after_ >= due)
                                    {
                                        expect_overheard();
                                        return;
                                    }
                                    watching_ = false;
                                    ++counters_.overtaken_watches;
                                    events_.watch_given_up(after_, due);
                                    list();
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
            // A watch that is begun again may wait although the store has dropped the history in
            // between, and hear nothing until the next change.
            fail(seen.error(), timers_.now());
            return;
        }
        succeed();
        for (auto const& it : seen.value().changes)
        {
            ++counters_.changes;
            events_.changed(it);
        }
        after_ = std::max(after_, seen.value().current);
        events_.caught_up(after_);
        watch_later();
    }

    void succeed()
    {
        pause_.reset();
        if (!std::exchange(reachable_, true))
        {
            events_.store_regained(away_at_);
        }
    }

    void fail(base::error const& why, base::time_point away_at)
    {
        ++counters_.failed_calls;
        away_at_ = away_at;
        if (std::exchange(reachable_, false))
        {
            events_.store_lost(why.message);
        }
        timer_ = timers_.at(timers_.now() + pause_.next(), [this](base::time_point) { list(); });
    }

    key_value_store& store_;
    base::timer_service& timers_;
    follower_events& events_;
    follower_settings settings_;
    retry_pause pause_;
    follower_counters counters_;
    std::vector<key_value> items_;
    std::optional<store_revision> begin_;
    store_revision after_;
    std::unique_ptr<base::timer_subscription> timer_;
    /// Latest revision that another follower has seen, and the time limit to get there.
    store_revision overheard_;
    std::unique_ptr<base::timer_subscription> overtaken_;
    bool watching_ = false;
    base::time_point watched_at_{};
    /// Start of the listing in progress, and when the store is last known to have been away.
    base::time_point asked_at_{};
    base::time_point away_at_{};
    bool reachable_ = true;
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

void store_follower::overheard(store_revision seen)
{
    impl_->overheard(seen);
}

follower_counters const& store_follower::counters() const
{
    return impl_->counters();
}

} // namespace fuchsiaproxy::metadata
