#include "fuchsiaproxy/gateway/entry_process.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <future>
#include <random>
#include <utility>
#include <vector>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "entry_metrics.hpp"
#include "fuchsiaproxy/gossip/load_exchange.hpp"
#include "fuchsiaproxy/runtime/asio_timer_service.hpp"
#include "fuchsiaproxy/runtime/event_loop_thread.hpp"
#include "fuchsiaproxy/runtime/system_suspension_clock.hpp"
#include "fuchsiaproxy/telemetry/state_log.hpp"

namespace fuchsiaproxy::gateway
{
namespace
{

// Capacity of the traffic thread's queue of control-plane events. A whole listing is one event.
constexpr std::size_t control_queue_capacity = 4096;

std::uint64_t draw_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Returns `it` with the start of this process, which tells its load messages from those of the
/// process before it.
steering::director_identity started_now(steering::director_identity it)
{
    auto const since = std::chrono::system_clock::now().time_since_epoch();
    it.process_started_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
    return it;
}

/// The traffic thread and the components that run on it.
class traffic_thread
{
public:
    traffic_thread(entry_settings const& settings, log_function const& log, std::uint64_t seed)
        : thread_(control_queue_capacity,
                  [this](steering::control_event const& it) { gateway_.handle(it); }),
          timers_(thread_.io()), page_buffers_(settings.traffic.buffers),
          gateway_(thread_.io(), timers_, runtime::system_suspension_clock::instance(),
                   settings.traffic, started_now(settings.self), seed, log),
          exchange_(thread_.io(), settings.peers,
                    [this](steering::peer_load const& it) { gateway_.on_peer_load(it); })
    {
        add_page(settings.look_ups, settings.look_up_page);
        add_page(settings.readiness, settings.readiness_page);
        add_page(settings.metrics,
                 [this](gateway const& from, std::string_view) {
                     return page{200, "text/plain; version=0.0.4",
                                 metrics_text(from, exchange_.counters())};
                 });
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
        schedule_load();
        return boost::outcome_v2::success();
    }

    runtime::event_loop_thread<steering::control_event>& thread()
    {
        return thread_;
    }

    /// Starts the drain; `done` is called on the traffic thread. Thread safe.
    void drain(std::function<void(std::size_t)> done)
    {
        boost::asio::post(thread_.io(), [this, done = std::move(done)] { gateway_.drain(done); });
    }

    /// Sets the callback, run on the traffic thread, for when another entry reports a newer
    /// control-plane position. Precondition: the thread has not been started.
    void set_newer_position_callback(std::function<void(steering::control_position)> call)
    {
        gateway_.set_newer_position_callback(std::move(call));
    }

    /// Replaces the bounds set by operators. Thread safe.
    void set_bounds(steering::operator_bounds const& bounds)
    {
        boost::asio::post(thread_.io(), [this, bounds] { gateway_.set_bounds(bounds); });
    }

private:
    void schedule_load()
    {
        load_timer_ = timers_.at(timers_.now() + gateway_.decisions().load_interval(),
                                 [this](base::time_point) { send_load(); });
    }

    void send_load()
    {
        auto const load = gateway_.load();
        exchange_.send(load, gateway_.decisions().load_receivers(load.sequence));
        schedule_load();
    }

    void add_page(std::optional<model::endpoint> const& at, gateway_page_function const& answer)
    {
        if (at)
        {
            pages_.push_back(std::make_unique<page_server>(
                thread_.io(), timers_, page_buffers_, *at,
                [this, answer](std::string_view target) { return answer(gateway_, target); }));
        }
    }

    runtime::event_loop_thread<steering::control_event> thread_;
    runtime::asio_timer_service timers_;
    http::buffer_pool page_buffers_;
    gateway gateway_;
    gossip::load_exchange exchange_;
    std::unique_ptr<base::timer_subscription> load_timer_;
    std::vector<std::unique_ptr<page_server>> pages_;
};

/// Blocks until SIGTERM or SIGINT, and calls `reload` on SIGHUP and every `reload_period`.
class signal_waiter
{
public:
    signal_waiter(base::duration reload_period, std::function<void(std::string_view why)> reload)
        : reload_(std::move(reload)), reload_period_(reload_period)
    {
        wait_for_hang_up();
        wait_for_period();
        stop_.async_wait(
            [this](boost::system::error_code const&, int number)
            {
                received_ = number;
                io_.stop();
            });
    }

    int wait()
    {
        io_.run();
        return received_;
    }

private:
    void wait_for_hang_up()
    {
        hang_up_.async_wait(
            [this](boost::system::error_code const&, int)
            {
                reload_("signal");
                wait_for_hang_up();
            });
    }

    void wait_for_period()
    {
        timer_.expires_after(reload_period_);
        timer_.async_wait(
            [this](boost::system::error_code const&)
            {
                reload_("period");
                wait_for_period();
            });
    }

    boost::asio::io_context io_{1};
    boost::asio::signal_set stop_{io_, SIGTERM, SIGINT};
    boost::asio::signal_set hang_up_{io_, SIGHUP};
    boost::asio::steady_timer timer_{io_};
    std::function<void(std::string_view)> reload_;
    base::duration reload_period_;
    int received_ = 0;
};

/// Reloads the settings and applies changes to the traffic thread.
class settings_reloader
{
public:
    using bounds_function = std::function<void(steering::operator_bounds const&)>;

    settings_reloader(entry_settings const& settings, traffic_thread& traffic, log_function log,
                      bounds_function apply_to_control)
        : read_(settings.reload_bounds), current_bounds_(settings.traffic.director.bounds),
          traffic_(traffic), log_(std::move(log)), apply_to_control_(std::move(apply_to_control))
    {
    }

    void reload(std::string_view why)
    {
        auto const read =
            read_ ? read_() : base::result<steering::operator_bounds>(current_bounds_);
        if (!read)
        {
            log_("settings_refused", {{"why", read.error().message}});
            return;
        }
        auto const changed = !(read.value() == current_bounds_);
        if (changed)
        {
            current_bounds_ = read.value();
            traffic_.set_bounds(current_bounds_);
            apply_to_control_(current_bounds_);
        }
        if (changed || why == "signal")
        {
            log_("settings_reloaded",
                 {{"because_of", std::string(why)}, {"changed", changed ? "yes" : "no"}});
        }
    }

private:
    std::function<base::result<steering::operator_bounds>()> read_;
    steering::operator_bounds current_bounds_;
    traffic_thread& traffic_;
    log_function log_;
    bounds_function apply_to_control_;
};

} // namespace

base::result<void> run_entry(entry_settings const& settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN); // Until `signal_waiter` handles it.
    auto const seed = draw_seed();
    telemetry::state_log lines(settings.log_level, telemetry::log_format::json_on_stdout);
    log_function const log = [&lines](std::string event, std::vector<log_field> fields)
    { lines.write(telemetry::log_level::info, std::move(event), std::move(fields)); };

    traffic_thread traffic(settings, log, seed);
    auto listening = traffic.listen();
    if (!listening)
    {
        return listening;
    }
    runtime::event_loop_thread<std::function<void()>> control(16, [](auto const& call) { call(); });
    runtime::asio_timer_service control_timers(control.io());
    auto const emit = [&](steering::control_event it)
    {
        if (!traffic.thread().push(std::move(it)))
        {
            log("control_event_dropped",
                {{"why", "the event queue of the traffic thread is full"}});
            return false;
        }
        return true;
    };
    auto const plane =
        settings.make_control({control.io(), control_timers,
                               runtime::system_suspension_clock::instance(), emit, log, seed});
    control.push([&] { plane->start(); });
    // If the queue is full, the notification is lost; the next control-plane change repeats it.
    traffic.set_newer_position_callback(
        [&](steering::control_position by)
        { control.push([&plane, by] { plane->on_newer_position(by); }); });
    log("started", {{"instance", settings.self.id.value()}, {"zone", settings.self.zone.value()}});
    traffic.thread().start();
    control.start();

    settings_reloader reloader(settings, traffic, log,
                               [&](steering::operator_bounds const& bounds)
                               { control.push([&plane, bounds] { plane->set_bounds(bounds); }); });
    signal_waiter signals(settings.reload_period,
                          [&](std::string_view why) { reloader.reload(why); });
    auto const received = signals.wait();
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
