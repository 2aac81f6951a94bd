#ifndef FUCHSIAPROXY_RUNTIME_PLATFORM_LOOP_HPP
#define FUCHSIAPROXY_RUNTIME_PLATFORM_LOOP_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/metadata/configuration_reader.hpp"
#include "fuchsiaproxy/metadata/platform_clients.hpp"
#include "fuchsiaproxy/metadata/share_store.hpp"
#include "fuchsiaproxy/runtime/asio_timer_service.hpp"
#include "fuchsiaproxy/runtime/events.hpp"
#include "fuchsiaproxy/settings/daemon_settings.hpp"

namespace fuchsiaproxy::runtime
{

/// Reads the configuration, the instance list and the share reservations from the platform, and
/// writes the share reservations.
///
/// Thread safety: none; everything on the platform thread, except the construction.
class platform_loop
{
public:
    /// `to_traffic` returns false when its ring is full. `io` must outlive the loop.
    platform_loop(boost::asio::io_context& io, settings::platform_settings const& settings,
                  std::shared_ptr<metadata::platform_counters> const& counters,
                  std::function<bool(traffic_event)> to_traffic);

    /// Starts reading the configuration and the instance list. Precondition: called once, on the
    /// platform thread.
    void run();

    /// Handles a command of the traffic thread.
    void handle(platform_command command);

private:
    void handle_one(hub_role const& it);
    void handle_one(parse_document const& it);
    void handle_one(configuration_known const& it);
    void handle_one(read_shares const& it);
    void handle_one(write_shares const& it);
    void read_instances();
    void report_stored(bool committed);
    void deliver(metadata::accepted_configuration it);

    asio_timer_service timers_;
    std::unique_ptr<metadata::store> store_;
    std::unique_ptr<metadata::instance_list> list_;
    std::function<bool(traffic_event)> to_traffic_;
    metadata::configuration_reader reader_;
    metadata::share_store shares_;
    std::unique_ptr<base::timer_subscription> list_timer_;
    std::unique_ptr<base::timer_subscription> report_retry_timer_;
    /// Configuration that the ring of the traffic thread refused because it was full; sent again
    /// later.
    std::optional<metadata::accepted_configuration> undelivered_;
    bool is_hub_ = false;
    bool has_configuration_ = false;
    bool reading_list_ = false;
};

} // namespace fuchsiaproxy::runtime

#endif
