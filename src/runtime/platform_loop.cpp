#include "fuchsiaproxy/runtime/platform_loop.hpp"

#include <chrono>
#include <utility>

#include "fuchsiaproxy/model/json.hpp"

#include "platform_timeouts.hpp"

namespace fuchsiaproxy::runtime
{
namespace
{

// Period at which hubs, and entries that have no configuration yet, read the instance list. Other
// entries don't read it.
constexpr base::duration list_period = std::chrono::seconds(1);

// Delay before an event that was refused by a full ring is sent again.
constexpr base::duration report_retry_delay = std::chrono::milliseconds(50);

metadata::http_endpoint endpoint_of(model::endpoint const& it)
{
    return {it.address, it.port};
}

} // namespace

platform_loop::platform_loop(boost::asio::io_context& io,
                             settings::platform_settings const& settings,
                             std::shared_ptr<metadata::platform_counters> const& counters,
                             std::function<bool(traffic_event)> to_traffic)
    : timers_(io), store_(metadata::make_http_store(io, endpoint_of(settings.store),
                                                    timeouts_of(settings), counters)),
      list_(metadata::make_http_instance_list(io, endpoint_of(settings.instances),
                                              timeouts_of(settings), counters)),
      to_traffic_(std::move(to_traffic)),
      reader_(*store_, timers_,
              [this](metadata::accepted_configuration it) { deliver(std::move(it)); }),
      shares_(*store_)
{
}

void platform_loop::run()
{
    reader_.read_once();
    read_instances();
    list_timer_ = timers_.every(list_period,
                                [this](base::time_point)
                                {
                                    if (undelivered_)
                                    {
                                        deliver(*std::exchange(undelivered_, std::nullopt));
                                    }
                                    if (is_hub_ || !has_configuration_)
                                    {
                                        read_instances();
                                    }
                                });
}

void platform_loop::handle(platform_command command)
{
    std::visit([this](auto const& it) { handle_one(it); }, command);
}

void platform_loop::handle_one(hub_role const& it)
{
    is_hub_ = it.is_hub;
    if (is_hub_)
    {
        reader_.start_watching();
        return;
    }
    reader_.stop_watching();
}

void platform_loop::handle_one(parse_document const& it)
{
    auto parsed = model::parse_configuration(it.document);
    if (!parsed)
    {
        return;
    }
    auto value = std::make_shared<model::configuration>(std::move(parsed).value());
    value->version = it.version;
    deliver({std::move(value), it.document});
}

void platform_loop::handle_one(configuration_known const&)
{
    has_configuration_ = true;
}

void platform_loop::handle_one(read_shares const& it)
{
    shares_.load(it.zone,
                 [this](base::result<limits::share_document> answer)
                 {
                     // The engine repeats a load that has failed.
                     if (answer)
                     {
                         to_traffic_(shares_loaded{std::move(answer).value()});
                     }
                 });
}

void platform_loop::handle_one(write_shares const& it)
{
    shares_.save(it.zone, it.document, [this](bool committed) { report_stored(committed); });
}

void platform_loop::report_stored(bool committed)
{
    if (to_traffic_(shares_stored{committed}))
    {
        return;
    }
    // The engine does not write again before this event, so it has to be delivered.
    report_retry_timer_ = timers_.at(timers_.now() + report_retry_delay,
                                     [this](base::time_point) { report_stored(false); });
}

void platform_loop::deliver(metadata::accepted_configuration it)
{
    if (!to_traffic_(it))
    {
        undelivered_ = std::move(it);
    }
}

void platform_loop::read_instances()
{
    if (reading_list_)
    {
        return;
    }
    reading_list_ = true;
    list_->read(
        [this](base::result<std::vector<metadata::listed_instance>> answer)
        {
            reading_list_ = false;
            if (answer)
            {
                to_traffic_(instances_read{std::move(answer).value()});
            }
        });
}

} // namespace fuchsiaproxy::runtime
