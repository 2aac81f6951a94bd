#include "fuchsiaproxy/runtime/asio_timer_service.hpp"

#include <chrono>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace fuchsiaproxy::runtime
{
namespace
{

using steady = std::chrono::steady_clock;

steady::time_point to_steady(base::time_point when)
{
    return steady::time_point(
        std::chrono::duration_cast<steady::duration>(when.time_since_epoch()));
}

// State of a timer. It outlives its subscription while a callback is queued; `cancelled` keeps that
// callback from being called.
struct timer_state
{
    timer_state(boost::asio::io_context& io, base::duration interval,
                base::timer_service::callback f)
        : timer(io), period(interval), call(std::move(f))
    {
    }

    boost::asio::steady_timer timer;
    base::duration period;
    base::timer_service::callback call;
    bool cancelled = false;
};

void wait(std::shared_ptr<timer_state> const& state)
{
    state->timer.async_wait(
        [state](boost::system::error_code ec)
        {
            if (ec || state->cancelled)
            {
                return;
            }
            bool const repeats = state->period > base::duration::zero();
            state->call(monotonic_now());
            if (repeats && !state->cancelled)
            {
                state->timer.expires_after(
                    std::chrono::duration_cast<steady::duration>(state->period));
                wait(state);
            }
        });
}

class subscription final : public base::timer_subscription
{
public:
    explicit subscription(std::shared_ptr<timer_state> state) : state_(std::move(state)) {}

    ~subscription() override
    {
        state_->cancelled = true;
        state_->timer.cancel();
    }

    subscription(subscription const&) = delete;
    subscription& operator=(subscription const&) = delete;

private:
    std::shared_ptr<timer_state> state_;
};

} // namespace

base::time_point monotonic_now()
{
    return base::time_point(
        std::chrono::duration_cast<base::duration>(steady::now().time_since_epoch()));
}

base::time_point asio_timer_service::now() const
{
    return monotonic_now();
}

std::unique_ptr<base::timer_subscription> asio_timer_service::every(base::duration period,
                                                                    callback call)
{
    auto state = std::make_shared<timer_state>(io_, period, std::move(call));
    state->timer.expires_after(std::chrono::duration_cast<steady::duration>(period));
    wait(state);
    return std::make_unique<subscription>(std::move(state));
}

std::unique_ptr<base::timer_subscription> asio_timer_service::at(base::time_point when,
                                                                 callback call)
{
    auto state = std::make_shared<timer_state>(io_, base::duration::zero(), std::move(call));
    state->timer.expires_at(to_steady(when));
    wait(state);
    return std::make_unique<subscription>(std::move(state));
}

} // namespace fuchsiaproxy::runtime
