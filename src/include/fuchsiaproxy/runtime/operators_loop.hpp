#ifndef FUCHSIAPROXY_RUNTIME_OPERATORS_LOOP_HPP
#define FUCHSIAPROXY_RUNTIME_OPERATORS_LOOP_HPP

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/metadata/platform_clients.hpp"
#include "fuchsiaproxy/operators/configuration_service.hpp"
#include "fuchsiaproxy/operators/daemon_view.hpp"
#include "fuchsiaproxy/operators/http_api.hpp"
#include "fuchsiaproxy/runtime/events.hpp"
#include "fuchsiaproxy/settings/daemon_settings.hpp"

namespace fuchsiaproxy::runtime
{

/// Runs the HTTP API for operators, with its own client of the store.
///
/// Thread safety: `set_adopted` and `set_draining` on any thread; the rest on the operators thread,
/// except the construction.
class operators_loop final : public operators::daemon_view
{
public:
    /// `to_traffic` returns false when its ring is full. `io` must outlive the loop.
    operators_loop(boost::asio::io_context& io, settings::daemon_settings const& settings,
                   std::shared_ptr<metadata::platform_counters> const& counters,
                   std::function<bool(traffic_event)> to_traffic,
                   std::function<std::string()> metrics);
    ~operators_loop() override;

    operators_loop(operators_loop const&) = delete;
    operators_loop& operator=(operators_loop const&) = delete;

    /// Starts listening and returns the port. Precondition: called once, before the thread runs.
    base::result<std::uint16_t> listen();

    /// Stops listening.
    void stop();

    /// Records the configuration in force.
    void set_adopted(std::shared_ptr<model::configuration const> it);

    /// Records that the entry is draining; `ready` returns false from then on.
    void set_draining();

    std::shared_ptr<model::configuration const> adopted() override;
    bool ready() override;
    model::place_loads loads() override;
    void entries(entries_handler done) override;
    void explain(operators::explain_query query, explain_handler done) override;
    void counters(counters_handler done) override;

private:
    std::function<bool(traffic_event)> to_traffic_;
    std::unique_ptr<metadata::store> store_;
    operators::configuration_service configurations_;
    operators::http_api api_;
    mutable std::mutex mutex_;
    std::shared_ptr<model::configuration const> adopted_;
    bool draining_ = false;
};

} // namespace fuchsiaproxy::runtime

#endif
