#include "fuchsiaproxy/gateway/entry_process.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <future>
#include <random>
#include <utility>
#include <vector>

#include <boost/asio/signal_set.hpp>

#include "fuchsiaproxy/gossip/load_exchange.hpp"
#include "fuchsiaproxy/runtime/asio_timer_service.hpp"
#include "fuchsiaproxy/runtime/duty_thread.hpp"
#include "fuchsiaproxy/telemetry/state_log.hpp"

namespace fuchsiaproxy::gateway
{
namespace
{

// Events of the control plane that may wait for the traffic thread. A whole listing is one event.
constexpr std::size_t control_ring_events = 4096;

// Entries of other regions get one load in so many: most requests stay in their region.
constexpr std::uint64_t far_share = 2;

std::uint64_t draw_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// The traffic thread with everything that runs on it.
class traffic_duty
{
public:
    traffic_duty(entry_settings const& settings, log_function const& log, std::uint64_t seed)
        : thread_(control_ring_events,
                  [this](steering::control_event const& it) { gateway_.handle(it); }),
          timers_(thread_.io()), page_buffers_(settings.traffic.buffers),
          gateway_(thread_.io(), timers_, settings.traffic, settings.self, seed, log),
          exchange_(thread_.io(), settings.peers,
                    [this](steering::peer_load const& it) { gateway_.on_peer_load(it); }),
          peer_period_(settings.peer_period), peer_fleet_(settings.peer_fleet)
    {
        add_page(settings.look_ups, settings.look_up_page);
        add_page(settings.readiness, settings.readiness_page);
    }

    base::result<void> listen()
    {
        auto callers = gateway_.listen();
        if (!callers)
        {
            return callers.error();
        }
        for (auto const& it : pages_)
        {
            auto listening = it->listen();
            if (!listening)
            {
                return listening.error();
            }
        }
        auto exchanging = exchange_.open();
        if (!exchanging)
        {
            return exchanging.error();
        }
        send_load_later(0);
        return boost::outcome_v2::success();
    }

    runtime::duty_thread<steering::control_event>& thread()
    {
        return thread_;
    }

    /// Starts the drain; `done` is called on the traffic thread. Thread safe.
    void drain(std::function<void(std::size_t)> done)
    {
        boost::asio::post(thread_.io(), [this, done = std::move(done)] { gateway_.drain(done); });
    }

private:
    void send_load_later(std::size_t near_peers)
    {
        auto const factor = std::max<std::size_t>(1, near_peers / peer_fleet_);
        auto const period = peer_period_ * static_cast<base::duration::rep>(factor);
        load_timer_ = timers_.at(timers_.now() + period, [this](base::time_point) { send_load(); });
    }

    void send_load()
    {
        auto const near = gateway_.decisions().peers(true);
        auto const far = gateway_.decisions().peers(false);
        auto const load = gateway_.load();
        exchange_.send(load, near);
        if (load.sequence % far_share == 0)
        {
            exchange_.send(load, far);
        }
        send_load_later(near.size());
    }

    void add_page(std::optional<model::endpoint> const& at, gateway_page const& answer)
    {
        if (at)
        {
            pages_.push_back(std::make_unique<page_server>(
                thread_.io(), timers_, page_buffers_, *at,
                [this, answer](std::string_view target) { return answer(gateway_, target); }));
        }
    }

    runtime::duty_thread<steering::control_event> thread_;
    runtime::asio_timer_service timers_;
    http::buffer_pool page_buffers_;
    gateway gateway_;
    gossip::load_exchange exchange_;
    base::duration peer_period_;
    std::size_t peer_fleet_;
    std::unique_ptr<base::timer_subscription> load_timer_;
    std::vector<std::unique_ptr<page_server>> pages_;
};

/// Blocks until the process is told to stop.
int wait_for_stop()
{
    boost::asio::io_context io(1);
    boost::asio::signal_set stop(io, SIGTERM, SIGINT);
    int received = 0;
    stop.async_wait([&](boost::system::error_code const&, int number) { received = number; });
    io.run();
    return received;
}

} // namespace

base::result<void> run_entry(entry_settings settings)
{
    // A signal is handled by the thread that waits for it.
    std::signal(SIGPIPE, SIG_IGN);
    auto const seed = draw_seed();
    telemetry::state_log lines(settings.log_level);
    log_function const log = [&lines](std::string event, std::vector<log_field> fields)
    { lines.write(telemetry::log_level::info, std::move(event), std::move(fields)); };

    traffic_duty traffic(settings, log, seed);
    auto listening = traffic.listen();
    if (!listening)
    {
        return listening;
    }
    runtime::duty_thread<std::function<void()>> control(16, [](auto const& call) { call(); });
    runtime::asio_timer_service control_timers(control.io());
    auto const emit = [&](steering::control_event it)
    {
        if (!traffic.thread().push(std::move(it)))
        {
            log("control_event_dropped", {{"why", "the traffic thread's ring is full"}});
        }
    };
    auto const plane = settings.make_control({control.io(), control_timers, emit, log, seed});
    control.push([&] { plane->start(); });
    log("started", {{"instance", settings.self.id.value()}, {"zone", settings.self.zone.value()}});
    traffic.thread().start();
    control.start();

    auto const received = wait_for_stop();
    log("stopping", {{"signal", std::to_string(received)}});
    control.push([&] { plane->withdraw(); });
    std::promise<std::size_t> drained;
    traffic.drain([&](std::size_t left) { drained.set_value(left); });
    auto const left = drained.get_future().get();
    traffic.thread().stop();
    control.stop();
    log("stopped", {{"requests_left", std::to_string(left)}});
    return boost::outcome_v2::success();
}

} // namespace fuchsiaproxy::gateway
