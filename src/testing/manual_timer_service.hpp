#ifndef FUCHSIAPROXY_TESTING_MANUAL_TIMER_SERVICE_HPP
#define FUCHSIAPROXY_TESTING_MANUAL_TIMER_SERVICE_HPP

#include <map>
#include <memory>
#include <utility>

#include "fuchsiaproxy/base/timer_service.hpp"

namespace fuchsiaproxy::testing
{

/// Timer service whose clock is advanced only by the test.
class manual_timer_service final : public base::timer_service
{
public:
    base::time_point now() const override
    {
        return now_;
    }

    std::unique_ptr<base::timer_subscription> every(base::duration period, callback call) override
    {
        return add(now_ + period, period, std::move(call));
    }

    std::unique_ptr<base::timer_subscription> at(base::time_point when, callback call) override
    {
        return add(when, {}, std::move(call));
    }

    /// Advances the clock and runs the timers that expire, ordered by expiry time.
    void advance(base::duration by)
    {
        auto const end = now_ + by;
        while (!timers_->empty() && timers_->begin()->first.first <= end)
        {
            auto const first = timers_->begin();
            auto const key = first->first;
            auto const it = first->second;
            now_ = std::max(now_, key.first);
            timers_->erase(first);
            if (it->period > base::duration::zero())
            {
                it->key = {now_ + it->period, it->key.second};
                timers_->emplace(it->key, it);
            }
            it->call(now_);
        }
        now_ = end;
    }

    /// Advances the clock without running timers, as if the process had been suspended.
    void freeze(base::duration by)
    {
        now_ += by;
    }

private:
    using key_type = std::pair<base::time_point, unsigned>;
    struct timer
    {
        key_type key;
        base::duration period{};
        callback call;
    };
    using timer_map = std::map<key_type, std::shared_ptr<timer>>;

    class handle final : public base::timer_subscription
    {
    public:
        handle(std::weak_ptr<timer_map> timers, std::shared_ptr<timer> it)
            : timers_(std::move(timers)), timer_(std::move(it))
        {
        }
        ~handle() override
        {
            if (auto const timers = timers_.lock())
            {
                timers->erase(timer_->key);
            }
        }
        handle(handle const&) = delete;
        handle& operator=(handle const&) = delete;

    private:
        std::weak_ptr<timer_map> timers_;
        std::shared_ptr<timer> timer_;
    };

    std::unique_ptr<base::timer_subscription> add(base::time_point when, base::duration period,
                                                  callback call)
    {
        auto it = std::make_shared<timer>(timer{{when, ++last_}, period, std::move(call)});
        timers_->emplace(it->key, it);
        return std::make_unique<handle>(timers_, it);
    }

    base::time_point now_{std::chrono::hours(1)};
    unsigned last_ = 0;
    std::shared_ptr<timer_map> timers_ = std::make_shared<timer_map>();
};

} // namespace fuchsiaproxy::testing

#endif
