#include "fuchsiaproxy/runtime/daemon.hpp"

#include <chrono>
#include <csignal>
#include <future>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "fuchsiaproxy/metadata/platform_clients.hpp"
#include "fuchsiaproxy/runtime/event_loop_thread.hpp"
#include "fuchsiaproxy/runtime/events.hpp"
#include "fuchsiaproxy/runtime/operators_loop.hpp"
#include "fuchsiaproxy/runtime/peer_loop.hpp"
#include "fuchsiaproxy/runtime/platform_loop.hpp"
#include "fuchsiaproxy/runtime/traffic_loop.hpp"
#include "fuchsiaproxy/telemetry/metrics.hpp"
#include "fuchsiaproxy/telemetry/state_log.hpp"

#include "metrics_export.hpp"

namespace fuchsiaproxy::runtime
{
namespace
{

// Period at which counters are copied into the metrics.
constexpr base::duration export_period = std::chrono::seconds(1);

// Number of low bits of an incarnation that are random. The bits above them hold the start time in
// milliseconds.
constexpr unsigned incarnation_random_bits = 16;

std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

// Returns an incarnation that is greater than that of every earlier process of the instance, unless
// the instance's wall clock was set back between the two starts.
base::incarnation make_incarnation(std::uint64_t seed)
{
    auto const since_epoch = std::chrono::system_clock::now().time_since_epoch();
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
    auto const random = seed & ((1U << incarnation_random_bits) - 1U);
    return base::incarnation((static_cast<std::uint64_t>(ms) << incarnation_random_bits) | random);
}

std::string address_of(model::endpoint const& it)
{
    return it.address + ":" + std::to_string(it.port);
}

messages::entry_info entry_info_of(settings::daemon_settings const& it, std::uint64_t seed)
{
    messages::entry_info self;
    self.id = it.instance.id;
    self.incarnation = make_incarnation(seed);
    self.region = it.instance.region;
    self.zone = it.instance.zone;
    self.caller_address =
        it.advertise.callers.empty() ? address_of(it.listen.callers) : it.advertise.callers;
    self.peer_address =
        it.advertise.peers.empty() ? address_of(it.listen.peers) : it.advertise.peers;
    return self;
}

} // namespace

class daemon::impl
{
public:
    explicit impl(settings::daemon_settings settings)
        : settings_(std::move(settings)),
          seed_(settings_.seed == 0 ? random_seed() : settings_.seed),
          self_(entry_info_of(settings_, seed_)), log_(settings_.log_level),
          traffic_thread_(settings_.limits.ring_items,
                          [this](traffic_event it) { traffic_.handle(std::move(it)); }),
          platform_thread_(settings_.limits.ring_items,
                           [this](platform_command it) { platform_.handle(std::move(it)); }),
          peers_thread_(settings_.limits.ring_items,
                        [this](peer_command it) { peers_.handle(std::move(it)); }),
          operators_thread_(settings_.limits.ring_items, [](operators_command const&) {}),
          traffic_(traffic_thread_.io(), settings_, self_, seed_, outputs()),
          platform_(platform_thread_.io(), settings_.platform, platform_counters_, to_traffic()),
          peers_(peers_thread_.io(), settings_, self_, seed_, to_traffic()),
          operators_(operators_thread_.io(), settings_, platform_counters_, to_traffic(),
                     [this] { return metrics_.text(); })
    {
    }

    base::result<daemon_result> run()
    {
        auto const port = traffic_.listen();
        if (!port)
        {
            return port.error();
        }
        auto const peers_listening = peers_.listen();
        if (!peers_listening)
        {
            return peers_listening.error();
        }
        auto const operators_port = operators_.listen();
        if (!operators_port)
        {
            return operators_port.error();
        }
        log_.write(telemetry::log_level::info, "started",
                   {{"instance", self_.id.value()},
                    {"incarnation", std::to_string(self_.incarnation.value())},
                    {"callers_port", std::to_string(port.value())},
                    {"operators_port", std::to_string(operators_port.value())}});
        start_threads();
        wait_for_stop_signal();
        auto const left = drain();
        stop_threads();
        log_.write(left == 0 ? telemetry::log_level::info : telemetry::log_level::warn, "stopped",
                   {{"requests_left", std::to_string(left)}});
        return daemon_result{left};
    }

private:
    // Placeholder: no items are queued for the operators thread, which only handles its sockets.
    struct operators_command
    {
    };

    std::function<bool(traffic_event)> to_traffic()
    {
        return [this](traffic_event it) { return traffic_thread_.push(std::move(it)); };
    }

    traffic_outputs outputs()
    {
        traffic_outputs made;
        made.to_peers = [this](peer_command it) { return peers_thread_.push(std::move(it)); };
        made.to_platform = [this](platform_command it)
        { return platform_thread_.push(std::move(it)); };
        made.adopted = [this](std::shared_ptr<model::configuration const> it)
        { operators_.set_adopted(std::move(it)); };
        made.state_changed = [this](std::string event, std::string detail) {
            log_.write(telemetry::log_level::info, std::move(event), {{"to", std::move(detail)}});
        };
        return made;
    }

    void start_threads()
    {
        export_timers_.push_back(traffic_timers_.every(export_period, [this](base::time_point now)
                                                       { export_traffic_thread(now); }));
        export_timers_.push_back(peer_timers_.every(export_period, [this](base::time_point)
                                                    { export_peers(*peers_.counts(), metrics_); }));
        traffic_thread_.start();
        platform_thread_.start();
        peers_thread_.start();
        operators_thread_.start();
        boost::asio::post(traffic_thread_.io(), [this] { traffic_.run(); });
        boost::asio::post(platform_thread_.io(), [this] { platform_.run(); });
    }

    void export_traffic_thread(base::time_point now)
    {
        export_engine(traffic_.get_engine(), now, metrics_);
        export_callers(traffic_.server_counts(), metrics_);
        export_upstreams(traffic_.client_counts(), metrics_);
        export_traffic(traffic_.counts(), metrics_);
        export_platform(*platform_counters_, metrics_);
        metrics_.set_counter("fuchsiaproxy_log_lines_dropped_total", "Log lines dropped.", {},
                             static_cast<double>(log_.dropped()));
    }

    void stop_threads()
    {
        traffic_thread_.stop();
        platform_thread_.stop();
        peers_thread_.stop();
        operators_thread_.stop();
    }

    void wait_for_stop_signal()
    {
        boost::asio::io_context io;
        boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
        wait_for_signal(signals);
        io.run();
    }

    void wait_for_signal(boost::asio::signal_set& signals)
    {
        signals.async_wait(
            [this, &signals](boost::system::error_code ec, int number)
            {
                if (ec || number != SIGHUP)
                {
                    return;
                }
                log_.write(telemetry::log_level::warn, "reload_refused",
                           {{"reason", "settings are read at the start only; restart the entry"}});
                wait_for_signal(signals);
            });
    }

    std::size_t drain()
    {
        operators_.set_draining();
        std::promise<std::size_t> ended;
        boost::asio::post(traffic_thread_.io(),
                          [&] { traffic_.drain([&](std::size_t n) { ended.set_value(n); }); });
        return ended.get_future().get();
    }

    settings::daemon_settings settings_;
    std::uint64_t seed_;
    messages::entry_info self_;
    telemetry::state_log log_;
    telemetry::metrics metrics_;
    std::shared_ptr<metadata::platform_counters> platform_counters_ =
        std::make_shared<metadata::platform_counters>();
    event_loop_thread<traffic_event> traffic_thread_;
    event_loop_thread<platform_command> platform_thread_;
    event_loop_thread<peer_command> peers_thread_;
    event_loop_thread<operators_command> operators_thread_;
    traffic_loop traffic_;
    platform_loop platform_;
    peer_loop peers_;
    asio_timer_service traffic_timers_{traffic_thread_.io()};
    asio_timer_service peer_timers_{peers_thread_.io()};
    operators_loop operators_;
    std::vector<std::unique_ptr<base::timer_subscription>> export_timers_;
};

daemon::daemon(settings::daemon_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings)))
{
}

daemon::~daemon() = default;

base::result<daemon_result> daemon::run()
{
    return impl_->run();
}

} // namespace fuchsiaproxy::runtime
