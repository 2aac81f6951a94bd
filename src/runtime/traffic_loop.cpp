#include "fuchsiaproxy/runtime/traffic_loop.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

namespace fuchsiaproxy::runtime
{
namespace
{

// Time for sending the last messages, such as the service-level counts, before the process ends.
constexpr base::duration final_send_time = std::chrono::milliseconds(300);

engine::engine_settings engine_settings_of(settings::daemon_settings const& it)
{
    engine::engine_settings made;
    made.fleet.heartbeat_period = it.timing.heartbeat_period;
    made.fleet.lost_after = it.timing.lost_after;
    made.claims.claim_timeout = it.timing.claim_timeout;
    made.claims.max_claims = it.limits.request_records;
    made.claims.max_witness_records = it.limits.request_records;
    made.routing.queue_capacity = it.limits.queued_requests;
    return made;
}

callers::server_settings server_settings_of(settings::daemon_settings const& it)
{
    callers::server_settings made;
    made.at = it.listen.callers;
    made.max_connections = it.limits.caller_connections;
    made.max_connections_per_address = it.limits.caller_connections_per_address;
    made.header_limit = it.timing.header_timeout;
    made.body_idle_limit = it.timing.idle_limit;
    made.keep_alive_limit = it.timing.idle_limit;
    made.max_body_bytes = it.limits.body_bytes;
    return made;
}

upstreams::client_settings client_settings_of(settings::daemon_settings const& it)
{
    upstreams::client_settings made;
    made.max_connections = it.limits.connections_per_upstream;
    made.idle_limit = it.timing.pooled_idle_limit;
    made.body_idle_limit = it.timing.idle_limit;
    made.connect_limit = it.timing.connect_limit;
    return made;
}

} // namespace

traffic_loop::traffic_loop(boost::asio::io_context& io, settings::daemon_settings const& settings,
                           messages::entry_info const& self, std::uint64_t seed,
                           traffic_outputs outputs)
    : settings_(settings), timers_(io), buffers_(settings.limits.buffers),
      engine_(engine_settings_of(settings), self, seed, timers_.now()),
      client_(io, timers_, buffers_, client_settings_of(settings)),
      relay_(io, buffers_, client_, *this),
      server_(io, timers_, buffers_, relay_, server_settings_of(settings)),
      outputs_(std::move(outputs))
{
}

traffic_loop::~traffic_loop() = default;

base::result<std::uint16_t> traffic_loop::listen()
{
    return server_.listen();
}

void traffic_loop::run()
{
    tick();
}

void traffic_loop::handle(traffic_event event)
{
    engine::engine_actions out;
    std::visit([&](auto& it) { handle_one(it, out); }, event);
    perform(out);
    schedule_tick();
}

void traffic_loop::handle_one(peer_message& it, engine::engine_actions& out)
{
    engine_.on_message(it.it, timers_.now(), out);
}

void traffic_loop::handle_one(peer_unreachable& it, engine::engine_actions& out)
{
    engine_.on_peer_unreachable(it.id, timers_.now(), out);
}

void traffic_loop::handle_one(metadata::accepted_configuration& it, engine::engine_actions& out)
{
    auto const version = it.value->version;
    if (engine_.on_configuration(it.value, std::move(it.document), timers_.now(), out))
    {
        outputs_.state_changed("configuration_adopted", std::to_string(version.value()));
        outputs_.adopted(engine_.configuration());
        outputs_.to_platform(configuration_known{});
    }
}

void traffic_loop::handle_one(instances_read& it, engine::engine_actions& out)
{
    std::vector<fleet::seed_entry> entries;
    std::vector<base::upstream_id> leaving;
    for (auto& listed : it.instances)
    {
        if (listed.role == "entry")
        {
            entries.push_back({base::instance_id(listed.id), listed.address});
        }
        else if (listed.state == metadata::instance_state::leaving)
        {
            leaving.emplace_back(listed.id);
        }
    }
    engine_.on_instances(entries, leaving, timers_.now(), out);
}

void traffic_loop::handle_one(shares_loaded& it, engine::engine_actions&)
{
    engine_.on_shares_loaded(std::move(it.document), timers_.now());
}

void traffic_loop::handle_one(shares_stored& it, engine::engine_actions& out)
{
    engine_.on_shares_stored(it.committed, out);
}

void traffic_loop::handle_one(engine_query& it, engine::engine_actions&)
{
    it.callback(engine_, timers_.now());
}

void traffic_loop::request_arrived(callers::request_head const& head)
{
    if (head.kind == callers::request_kind::look_up)
    {
        answer_look_up(head);
        return;
    }
    engine::arrived_request it;
    it.id = head.id;
    it.service = head.service;
    it.method = head.method;
    it.target = head.target;
    it.deadline = head.time_left ? std::optional<base::time_point>(head.arrived + *head.time_left)
                                 : std::nullopt;
    it.size = base::byte_count(head.content_length.value_or(0));
    if (head.request_id)
    {
        it.request_id = *head.request_id;
    }
    engine::engine_actions out;
    engine_.on_request(it, timers_.now(), out);
    perform(out);
    schedule_tick();
}

void traffic_loop::answer_look_up(callers::request_head const& head)
{
    ++counters_.look_ups;
    nlohmann::json entries = nlohmann::json::array();
    for (auto const& it : engine_.look_up(head.zone, ++look_up_salt_, timers_.now()))
    {
        entries.push_back({{"id", it.id.value()}, {"address", it.address}, {"ticket", it.ticket}});
    }
    if (entries.empty())
    {
        relay_.answer_error(head.id, base::error_kind::not_ready);
        return;
    }
    auto const ttl =
        std::chrono::duration_cast<std::chrono::milliseconds>(settings_.timing.lookup_ttl);
    nlohmann::json const answer{{"ttl_ms", ttl.count()}, {"entries", std::move(entries)}};
    http::fields fields;
    fields.add("Content-Type", "application/json");
    relay_.answer(head.id, 200, fields, answer.dump());
}

bool traffic_loop::attempt_head(base::attempt_id attempt, unsigned status)
{
    engine::engine_actions out;
    bool const passed_on = engine_.on_attempt_head(attempt, status, timers_.now(), out);
    perform(out);
    schedule_tick();
    return passed_on;
}

void traffic_loop::attempt_finished(base::attempt_id attempt,
                                    upstreams::attempt_report const& report)
{
    engine::engine_actions out;
    engine_.on_attempt_finished(attempt, report.result, report.status, report.upstream_leaving,
                                timers_.now(), out);
    perform(out);
    schedule_tick();
}

void traffic_loop::caller_gone(base::local_request_id request)
{
    engine::engine_actions out;
    engine_.on_caller_gone(request, timers_.now(), out);
    perform(out);
    schedule_tick();
}

void traffic_loop::perform(engine::engine_actions& actions)
{
    for (auto& action : actions)
    {
        std::visit([this](auto& it) { perform_one(it); }, action);
    }
}

void traffic_loop::perform_one(engine::start_attempt& it)
{
    relay::attempt_parameters order;
    order.request = it.request;
    order.attempt = it.attempt;
    order.at = it.at;
    order.deadline = it.deadline;
    order.idempotent = it.idempotent;
    order.shed_statuses = std::move(it.shed_statuses);
    // If the request already has this field, the relay keeps the caller's value.
    if (!it.request_id.empty())
    {
        order.added.add("Request-Id", it.request_id);
    }
    relay_.start_attempt(order);
}

void traffic_loop::perform_one(engine::cancel_attempt& it)
{
    relay_.cancel_attempt(it.attempt);
}

void traffic_loop::perform_one(engine::answer_error& it)
{
    http::fields fields;
    if (!it.request_id.empty())
    {
        fields.add("Request-Id", it.request_id);
    }
    if (!it.ticket.empty())
    {
        fields.add("Request-Ticket", it.ticket);
    }
    if (it.kind == base::error_kind::already_run)
    {
        fields.add("Original-Status", std::to_string(it.status));
    }
    relay_.answer_error(it.request, it.kind, fields);
}

void traffic_loop::perform_one(engine::send_message& it)
{
    if (!outputs_.to_peers(peer_send{it.to, std::move(it.body)}))
    {
        ++counters_.peer_ring_full;
        peers_with_dropped_messages_.insert(it.to);
    }
}

void traffic_loop::perform_one(engine::use_address& it)
{
    if (!outputs_.to_peers(peer_address{it.id, it.peer_address}))
    {
        ++counters_.peer_ring_full;
    }
}

void traffic_loop::perform_one(engine::hub_role_changed& it)
{
    outputs_.state_changed("hub_role", it.is_hub ? "hub" : "member");
    if (!outputs_.to_platform(hub_role{it.is_hub}))
    {
        ++counters_.platform_ring_full;
    }
}

void traffic_loop::perform_one(engine::parse_configuration& it)
{
    if (!outputs_.to_platform(parse_document{it.version, std::move(it.document)}))
    {
        ++counters_.platform_ring_full;
    }
}

void traffic_loop::perform_one(engine::upstream_retired& it)
{
    client_.close_idle_connections(it.at);
}

void traffic_loop::perform_one(engine::load_shares& it)
{
    if (!outputs_.to_platform(read_shares{it.zone}))
    {
        ++counters_.platform_ring_full;
    }
}

void traffic_loop::perform_one(engine::store_shares& it)
{
    if (outputs_.to_platform(write_shares{it.zone, std::move(it.document)}))
    {
        return;
    }
    ++counters_.platform_ring_full;
    handle(shares_stored{false});
}

void traffic_loop::schedule_tick()
{
    auto const next = engine_.next_wakeup(timers_.now());
    if (wakeup_ && wakeup_at_ <= next)
    {
        return;
    }
    wakeup_at_ = next;
    wakeup_ = timers_.at(next, [this](base::time_point) { tick(); });
}

void traffic_loop::tick()
{
    wakeup_at_ = base::time_point::max();
    wakeup_.reset();
    engine::engine_actions out;
    auto const lost = std::move(peers_with_dropped_messages_);
    peers_with_dropped_messages_.clear();
    for (auto const& it : lost)
    {
        engine_.on_peer_unreachable(it, timers_.now(), out);
    }
    engine_.tick(timers_.now(), out);
    perform(out);
    schedule_tick();
}

void traffic_loop::drain(std::function<void(std::size_t)> done)
{
    drained_ = std::move(done);
    engine_.drain();
    tick();
    outputs_.state_changed("draining", "look-ups no longer return this entry");
    // Callers may use a look-up that returned this entry until its time to live has passed, and
    // other entries may return this entry until they have received its next heartbeat.
    auto const look_ups_expire_after =
        settings_.timing.lookup_ttl + 2 * settings_.timing.heartbeat_period;
    drain_step_timer_ = timers_.at(timers_.now() + look_ups_expire_after,
                                   [this](base::time_point) { stop_accepting(); });
}

void traffic_loop::stop_accepting()
{
    outputs_.state_changed("draining", "listener closed");
    drain_bound_timer_ =
        timers_.at(timers_.now() + settings_.timing.drain_bound,
                   [this](base::time_point) { finish_drain(server_.exchanges()); });
    server_.drain([this] { finish_drain(0); });
}

void traffic_loop::finish_drain(std::size_t left)
{
    auto const done = std::exchange(drained_, nullptr);
    if (!done)
    {
        return;
    }
    engine::engine_actions out;
    engine_.send_counts(out);
    perform(out);
    drain_step_timer_ =
        timers_.at(timers_.now() + final_send_time, [done, left](base::time_point) { done(left); });
}

} // namespace fuchsiaproxy::runtime
