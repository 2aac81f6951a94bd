#include "fuchsiaproxy/runtime/operators_loop.hpp"

#include <utility>
#include <vector>

#include "platform_timeouts.hpp"

namespace fuchsiaproxy::runtime
{
namespace
{

operators::http_api_options api_options_of(settings::daemon_settings const& it)
{
    operators::http_api_options made;
    made.address = it.listen.operators.address;
    made.port = it.listen.operators.port;
    return made;
}

base::error ring_full_error()
{
    return base::make_error(base::error_kind::overloaded,
                            "the event queue of the traffic thread is full");
}

std::vector<operators::entry_status> entries_of(engine::engine const& it, base::time_point now)
{
    std::vector<operators::entry_status> all;
    for (auto const& entry : it.fleet().live_entries())
    {
        all.push_back({entry, it.fleet().time_since_last_contact(entry.id, now)});
    }
    return all;
}

std::vector<messages::counters> counters_of(engine::engine& it)
{
    auto all = it.levels().reported_counts();
    auto const& self = it.fleet().self();
    all.push_back({self.id, self.incarnation, it.levels().own_counts()});
    return all;
}

base::result<operators::explanation>
explain(engine::engine const& it, operators::explain_query const& query, base::time_point now)
{
    auto const routed = it.explain(query.service, query.method, query.path, now);
    if (!routed)
    {
        return routed.error();
    }
    operators::explanation made;
    made.request_class = routed.value().request_class;
    for (auto const& candidate : routed.value().candidates)
    {
        operators::explain_candidate row;
        row.place = candidate.place;
        row.upstream = candidate.upstream;
        row.cost = candidate.cost;
        row.free_slots = base::slot_count(candidate.free_slots);
        row.reason = std::string(candidate.reason);
        row.chosen = made.candidates.empty() && candidate.reason == "available";
        if (made.home.value().empty())
        {
            made.home = candidate.place;
        }
        made.candidates.push_back(std::move(row));
    }
    return made;
}

} // namespace

operators_loop::operators_loop(boost::asio::io_context& io,
                               settings::daemon_settings const& settings,
                               std::shared_ptr<metadata::platform_counters> const& counters,
                               std::function<bool(traffic_event)> to_traffic,
                               std::function<std::string()> metrics)
    : to_traffic_(std::move(to_traffic)),
      store_(metadata::make_http_store(
          io, {settings.platform.store.address, settings.platform.store.port},
          timeouts_of(settings.platform), counters)),
      configurations_(*store_),
      api_(io, api_options_of(settings), configurations_, *this, std::move(metrics))
{
}

operators_loop::~operators_loop() = default;

base::result<std::uint16_t> operators_loop::listen()
{
    return api_.start();
}

void operators_loop::stop()
{
    api_.stop();
}

void operators_loop::set_adopted(std::shared_ptr<model::configuration const> it)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    adopted_ = std::move(it);
}

void operators_loop::set_draining()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    draining_ = true;
}

std::shared_ptr<model::configuration const> operators_loop::adopted()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return adopted_;
}

bool operators_loop::ready()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return adopted_ != nullptr && !draining_;
}

model::place_loads operators_loop::loads()
{
    return {};
}

void operators_loop::entries(entries_handler done)
{
    bool const sent = to_traffic_(engine_query{[done](engine::engine& it, base::time_point now)
                                               { done(entries_of(it, now)); }});
    if (!sent)
    {
        done(ring_full_error());
    }
}

void operators_loop::explain(operators::explain_query query, explain_handler done)
{
    bool const sent =
        to_traffic_(engine_query{[done, query](engine::engine& it, base::time_point now)
                                 { done(runtime::explain(it, query, now)); }});
    if (!sent)
    {
        done(ring_full_error());
    }
}

void operators_loop::counters(counters_handler done)
{
    bool const sent = to_traffic_(
        engine_query{[done](engine::engine& it, base::time_point) { done(counters_of(it)); }});
    if (!sent)
    {
        done(ring_full_error());
    }
}

} // namespace fuchsiaproxy::runtime
