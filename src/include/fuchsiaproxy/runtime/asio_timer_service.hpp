#ifndef FUCHSIAPROXY_RUNTIME_ASIO_TIMER_SERVICE_HPP
#define FUCHSIAPROXY_RUNTIME_ASIO_TIMER_SERVICE_HPP

#include <memory>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/timer_service.hpp"

namespace fuchsiaproxy::runtime
{

/// Timer service on an io_context, with the system's monotonic clock.
///
/// Thread safety: `now` on any thread; the rest on the thread that runs the io_context.
class asio_timer_service final : public base::timer_service
{
public:
    /// `io` must outlive the service and its subscriptions.
    explicit asio_timer_service(boost::asio::io_context& io) : io_(io) {}

    base::time_point now() const override;
    std::unique_ptr<base::timer_subscription> every(base::duration period, callback call) override;
    std::unique_ptr<base::timer_subscription> at(base::time_point when, callback call) override;

private:
    boost::asio::io_context& io_;
};

/// Returns the time of the system's monotonic clock. Thread safe.
base::time_point monotonic_now();

} // namespace fuchsiaproxy::runtime

#endif
