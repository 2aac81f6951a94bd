#include "fuchsiaproxy/gateway/gateway.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <variant>

#include "bearer.hpp"
#include "cookie.hpp"

namespace fuchsiaproxy::gateway
{
namespace
{

callers::server_settings with_format(callers::server_settings it, field_names const& names)
{
    it.format.deadline_field = names.deadline;
    it.format.look_ups = false;
    return it;
}

std::string seconds_text(base::duration it)
{
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
    auto const fraction = std::to_string(1000 + ms % 1000).substr(1);
    return std::to_string(ms / 1000) + "." + fraction;
}

// Time for an answer that is given at the deadline of its request to reach the caller.
constexpr base::duration answer_time = std::chrono::milliseconds(200);

// One in this many successful attempts is logged.
constexpr std::uint64_t success_log_interval = 64;

std::string rounded_text(double it)
{
    auto const hundredths = std::lround(it * 100);
    auto const fraction = std::to_string(100 + hundredths % 100).substr(1);
    return std::to_string(hundredths / 100) + "." + fraction;
}

std::string ms_text(base::duration it)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(it).count());
}

} // namespace

gateway::gateway(boost::asio::io_context& io, base::timer_service& timers,
                 base::suspension_clock const& suspension, gateway_settings settings,
                 steering::director_identity self, std::uint64_t seed, log_function log)
    : timers_(timers), suspension_(suspension), settings_(std::move(settings)),
      buffers_(settings_.buffers), director_(settings_.director, std::move(self), seed),
      client_(io, timers, buffers_, settings_.client),
      relay_(io, buffers_, client_, *this, settings_.max_buffered_bytes),
      server_(io, timers, buffers_, relay_, with_format(settings_.server, settings_.fields)),
      log_(std::move(log))
{
}

gateway::~gateway() = default;

base::result<std::uint16_t> gateway::listen()
{
    return server_.listen();
}

void gateway::handle(steering::control_event const& it)
{
    if (auto const* const proof = std::get_if<steering::followed>(&it);
        proof != nullptr && proof->counted_as_of)
    {
        followed_as_of_ =
            std::max(followed_as_of_.value_or(*proof->counted_as_of), *proof->counted_as_of);
    }
    steering::director_actions out;
    director_.on_control(it, timers_.now(), out);
    perform(out);
    schedule_tick();
}

void gateway::set_bounds(steering::operator_bounds const& bounds)
{
    director_.set_bounds(bounds);
}

latency_buckets const& gateway::attempt_times() const
{
    return attempt_times_;
}

void gateway::set_newer_position_callback(std::function<void(steering::control_position)> call)
{
    newer_position_callback_ = std::move(call);
}

void gateway::on_peer_load(steering::peer_load const& it)
{
    steering::director_actions out;
    director_.on_peer_load(it, timers_.now(), out);
    perform(out);
}

steering::peer_load gateway::load()
{
    return director_.load(timers_.now());
}

bool gateway::ready() const
{
    return !draining_ && director_.ready();
}

std::vector<std::string> gateway::look_up(base::availability_zone_id const& zone) const
{
    // The director may not have been told yet of the time that the machine was suspended.
    auto const now = timers_.now();
    auto const known_age = director_.proof_age(now).value_or(base::duration{});
    return director_.look_up(zone, now + (proof_age().value_or(known_age) - known_age));
}

steering::director const& gateway::decisions() const
{
    return director_;
}

callers::server_counters const& gateway::server_counts() const
{
    return server_.counters();
}

std::size_t gateway::reserved_answer_bytes() const
{
    return server_.reserved();
}

upstreams::client_counters const& gateway::client_counts() const
{
    return client_.counters();
}

bool gateway::may_run_beside_others(callers::request_head const& head) const
{
    auto const host = head.fields.find("Host").value_or(std::string_view());
    return head.content_length == 0U && director_.is_idempotent(host, head.target);
}

void gateway::request_arrived(callers::request_head const& head)
{
    steering::director_actions out;
    steering::arrived_request it;
    it.id = head.id;
    it.trace_id = head.fields.find(settings_.fields.request_id).value_or(std::string_view());
    it.host = head.fields.find("Host").value_or(std::string_view());
    it.target = head.target;
    it.affinity_key = cookie_value(head.fields, settings_.fields.affinity_cookie);
    it.api_key = bearer_key(head.fields, settings_.fields.credentials);
    if (head.time_left)
    {
        it.deadline = head.arrived + *head.time_left;
    }
    director_.on_request(it, decision_time(), out);
    perform(out);
    schedule_tick();
}

std::optional<base::duration> gateway::proof_age() const
{
    return followed_as_of_ ? std::optional(suspension_.now() - *followed_as_of_) : std::nullopt;
}

base::time_point gateway::decision_time()
{
    // Read in this order, a delay between the two makes the proof seem older, never younger.
    auto const now = timers_.now();
    if (auto const age = proof_age())
    {
        director_.restate_proof(now - *age);
    }
    return now;
}

void gateway::upstream_notified(base::attempt_id attempt, upstreams::upstream_notice const& notice)
{
    if (notice.malformed)
    {
        log_("notice_refused", {{"attempt", std::to_string(attempt.value())}});
    }
    steering::director_actions out;
    director_.on_upstream_notice(attempt, {notice.leaving, notice.pause.value_or(base::duration{})},
                                 timers_.now(), out);
    perform(out);
}

bool gateway::attempt_head(base::attempt_id attempt, unsigned status)
{
    steering::director_actions out;
    auto const accepted = director_.on_attempt_head(attempt, status, timers_.now(), out);
    perform(out);
    return accepted;
}

void gateway::attempt_finished(base::attempt_id attempt, upstreams::attempt_report const& report)
{
    steering::attempt_end end;
    end.result = report.result;
    end.status = report.status;
    end.refusal = report.refusal;
    end.sent = report.bytes_sent > 0;
    end.connect_time = report.connect_time;
    end.load = report.load;
    end.wrong_upstream = report.result == base::attempt_result::shed &&
                         report.status == settings_.fields.wrong_upstream_status;
    steering::director_actions out;
    director_.on_attempt_finished(attempt, end, decision_time(), out);
    perform(out);
    schedule_tick();
}

void gateway::body_failed(callers::request_head const& head, base::error_kind kind,
                          base::error_reply const& reply)
{
    log_("body_failed",
         {{"request",
           std::string(head.fields.find(settings_.fields.request_id).value_or(std::string_view()))},
          {"error", std::string(base::name_of(kind))},
          {"status", std::to_string(reply.status.value())},
          {"outcome", std::string(base::name_of(reply.outcome))}});
}

void gateway::caller_gone(base::local_request_id request)
{
    steering::director_actions out;
    director_.on_caller_gone(request, timers_.now(), out);
    perform(out);
}

void gateway::perform(steering::director_actions& actions)
{
    for (auto& action : actions)
    {
        std::visit([this](auto& it) { perform_one(it); }, action);
    }
}

void gateway::perform_one(steering::start_attempt& it)
{
    relay::attempt_parameters order;
    order.request = it.request;
    order.attempt = it.attempt;
    order.at = it.at;
    order.deadline = it.deadline;
    order.ends_at_deadline = true;
    order.idempotent = it.idempotent;
    order.added.add(settings_.fields.expected_upstream, it.upstream.value());
    if (it.has_tenants)
    {
        order.removed = {settings_.fields.credentials, settings_.fields.tenant};
        if (!it.tenant.value().empty())
        {
            order.added.add(settings_.fields.tenant, it.tenant.value());
        }
    }
    relay_.start_attempt(order);
}

void gateway::perform_one(steering::cancel_attempt& it)
{
    relay_.cancel_attempt(it.attempt);
}

void gateway::perform_one(steering::answer_error& it)
{
    http::fields fields;
    if (it.retry_after > base::duration{})
    {
        fields.add("Retry-After", seconds_text(it.retry_after));
    }
    if (it.kind == base::error_kind::unauthenticated)
    {
        fields.add("WWW-Authenticate", "Bearer"); // Required with status 401 by RFC 9110.
    }
    auto const reply = relay_.answer_error(it.request, it.kind, fields);
    std::vector<log_field> fields_of_line{
        {"request", std::move(it.trace_id)},
        {"route", std::move(it.route)},
        {"error", std::string(base::name_of(it.kind))},
        {"status", std::to_string(reply.status.value())},
        {"configuration", std::to_string(it.version.value())},
        {"attempts", std::to_string(it.attempts)},
        {"expected_ms", ms_text(it.expected)},
        {"service_load", rounded_text(it.service_load)},
        {"retry_after_ms", ms_text(it.retry_after)},
        {"tenant", it.tenant.value().empty() ? "none" : it.tenant.value()},
        {"proof_age_ms", it.proof_age ? ms_text(*it.proof_age) : "none"}};
    if (it.kind == base::error_kind::over_allowance)
    {
        fields_of_line.push_back(
            {"allowance_level", std::to_string(std::lround(it.allowance_level))});
        fields_of_line.push_back({"allowance_part_percent", rounded_text(it.allowance_part * 100)});
    }
    log_("request_failed", std::move(fields_of_line));
}

void gateway::perform_one(steering::upstream_retired& it)
{
    client_.close_idle_connections(it.at);
}

void gateway::perform_one(steering::upstream_excluded& it)
{
    log_("upstream_excluded", {{"upstream", it.upstream.value()},
                               {"why", std::string(steering::name_of(it.why))},
                               {"for_ms", it.lasts > base::duration{} ? ms_text(it.lasts) : "none"},
                               {"attempt", std::to_string(it.attempt.value())}});
}

void gateway::perform_one(steering::newer_position_seen& it)
{
    if (newer_position_callback_)
    {
        newer_position_callback_(it.peer_position);
    }
}

void gateway::perform_one(steering::limits_changed& it)
{
    callers::caller_limits limits;
    limits.header_limit = it.limits.header_timeout;
    limits.keep_alive_limit = it.limits.idle_timeout;
    limits.max_body_bytes = it.limits.max_body_bytes;
    server_.set_limits(limits);
}

void gateway::perform_one(steering::attempt_summary& it)
{
    auto const failed = it.result != base::attempt_result::completed || it.status >= 500;
    attempt_times_.record(it.took);
    if (!failed && ++successes_ % success_log_interval != 0)
    {
        return; // The metrics include it; a log line for each would cost more than the request.
    }
    log_(failed ? "attempt_failed" : "attempt_sampled",
         {{"request", std::move(it.trace_id)},
          {"attempt", std::to_string(it.attempt.value())},
          {"route", std::move(it.route)},
          {"upstream", it.upstream.value()},
          {"configuration", std::to_string(it.version.value())},
          {"kind", std::string(steering::name_of(it.kind))},
          {"object", std::to_string(it.object)},
          {"rank", std::to_string(it.rank)},
          {"expected_ms", ms_text(it.expected)},
          {"took_ms", ms_text(it.took)},
          {"work_ms", std::to_string(std::lround(it.expected_work * 1000))},
          {"work_spread_ms", std::to_string(std::lround(it.expected_work_spread * 1000))},
          {"in_flight", std::to_string(it.in_flight)},
          {"others_in_flight", rounded_text(it.other_entries_load)},
          {"report_age_ms", it.report_age ? ms_text(*it.report_age) : "none"},
          {"result", std::string(base::name_of(it.result))},
          {"refusal", std::string(base::name_of(it.refusal))},
          {"status", std::to_string(it.status)}});
}

void gateway::schedule_tick()
{
    auto const next = director_.next_wakeup();
    if (next == base::time_point::max() || (wakeup_ && wakeup_at_ <= next))
    {
        return;
    }
    wakeup_at_ = next;
    wakeup_ = timers_.at(next,
                         [this](base::time_point now)
                         {
                             wakeup_at_ = base::time_point::max();
                             wakeup_.reset();
                             steering::director_actions out;
                             director_.tick(now, out);
                             perform(out);
                             schedule_tick();
                         });
}

void gateway::drain(std::function<void(std::size_t)> done)
{
    drained_ = std::move(done);
    draining_ = true;
    server_.disable_keep_alive();
    auto const now = timers_.now();
    director_.drain_until(now + settings_.end_after - answer_time);
    drain_steps_.push_back(timers_.at(now + settings_.close_after, [this](base::time_point)
                                      { server_.drain([this] { finish_drain(0); }); }));
    drain_steps_.push_back(timers_.at(now + settings_.end_after, [this](base::time_point)
                                      { finish_drain(server_.exchanges()); }));
}

void gateway::finish_drain(std::size_t left)
{
    if (auto const done = std::exchange(drained_, nullptr))
    {
        done(left);
    }
}

} // namespace fuchsiaproxy::gateway
