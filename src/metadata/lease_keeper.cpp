#include "fuchsiaproxy/metadata/lease_keeper.hpp"

#include <random>
#include <utility>

#include "retry_backoff.hpp"

namespace fuchsiaproxy::metadata
{

class lease_keeper::impl : public std::enable_shared_from_this<impl>
{
    /// Wraps a completion handler so that it has no effect once the keeper has stopped, or if the
    /// store has returned from an older copy since.
    template <class Call>
    auto unless_stopped(Call call)
    {
        return [weak = weak_from_this(), call, restored = counters_.restored](auto answer)
        {
            auto const self = weak.lock();
            if (self && !self->stopped_ && restored == self->counters_.restored)
            {
                call(*self, std::move(answer));
            }
        };
    }

public:
    impl(key_value_store& store, base::timer_service& timers, std::string key, std::string value,
         lease_settings settings)
        : store_(store), timers_(timers), key_(std::move(key)), value_(std::move(value)),
          settings_(settings),
          backoff_(settings.min_backoff, settings.renewal_period, settings.seed),
          random_(settings.seed)
    {
    }

    void start()
    {
        started_ = true;
        store_.grant_lease(settings_.ttl, unless_stopped([](impl& self, auto granted)
                                                         { self.on_granted(std::move(granted)); }));
    }

    void store_restored()
    {
        if (!started_ || stopped_)
        {
            return;
        }
        ++counters_.restored;
        lease_ = lease_id();
        backoff_.reset();
        std::uniform_int_distribution<base::duration::rep> pick(0,
                                                                settings_.restore_spread.count());
        timer_ = timers_.at(timers_.now() + base::duration(pick(random_)),
                            [this](base::time_point) { start(); });
    }

    void withdraw()
    {
        stopped_ = true;
        timer_.reset();
        if (lease_ != lease_id())
        {
            store_.end_lease(lease_, [](base::result<void> const&) {});
        }
    }

    void stop()
    {
        stopped_ = true;
        timer_.reset();
    }

    lease_counters const& counters() const
    {
        return counters_;
    }

private:
    void on_granted(base::result<granted_lease> granted)
    {
        if (!granted)
        {
            retry_later([this] { start(); });
            return;
        }
        lease_ = granted.value().id;
        write();
    }

    void write()
    {
        store_.put(key_, value_, lease_,
                   unless_stopped([](impl& self, base::result<void> const& done)
                                  { self.on_written(done); }));
    }

    void on_written(base::result<void> const& done)
    {
        if (done)
        {
            backoff_.reset();
            schedule_renewal();
        }
        else if (done.error().kind == base::error_kind::lease_lost)
        {
            ++counters_.lost;
            retry_later([this] { start(); });
        }
        else
        {
            retry_later([this] { write(); });
        }
    }

    void schedule_renewal()
    {
        timer_ = timers_.at(timers_.now() + settings_.renewal_period,
                            [this](base::time_point) { renew(); });
    }

    void renew()
    {
        ++counters_.renewals;
        store_.renew_lease(lease_,
                           unless_stopped([](impl& self, base::result<granted_lease> const& done)
                                          { self.on_renewed(done); }));
    }

    void on_renewed(base::result<granted_lease> const& done)
    {
        if (done)
        {
            backoff_.reset();
            schedule_renewal();
        }
        else if (done.error().kind == base::error_kind::lease_lost)
        {
            ++counters_.lost;
            start();
        }
        else
        {
            retry_later([this] { renew(); });
        }
    }

    template <class Step>
    void retry_later(Step step)
    {
        ++counters_.failed_calls;
        timer_ = timers_.at(timers_.now() + backoff_.next(), [step](base::time_point) { step(); });
    }

    key_value_store& store_;
    base::timer_service& timers_;
    std::string key_;
    std::string value_;
    lease_settings settings_;
    retry_backoff backoff_;
    lease_counters counters_;
    lease_id lease_;
    std::unique_ptr<base::timer_subscription> timer_;
    std::mt19937_64 random_;
    bool started_ = false;
    bool stopped_ = false;
};

lease_keeper::lease_keeper(key_value_store& store, base::timer_service& timers, std::string key,
                           std::string value, lease_settings settings)
    : impl_(std::make_shared<impl>(store, timers, std::move(key), std::move(value), settings))
{
}

lease_keeper::~lease_keeper()
{
    impl_->stop();
}

void lease_keeper::start()
{
    impl_->start();
}

void lease_keeper::store_restored()
{
    impl_->store_restored();
}

void lease_keeper::withdraw()
{
    impl_->withdraw();
}

lease_counters const& lease_keeper::counters() const
{
    return impl_->counters();
}

} // namespace fuchsiaproxy::metadata
