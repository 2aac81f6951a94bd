#include "metrics_export.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace fuchsiaproxy::runtime
{
namespace
{

struct labelled_count
{
    char const* label;
    std::uint64_t value;
};

// Sets one counter for each row; the rows differ in one label.
template <std::size_t N>
void set_all(telemetry::metrics& to, char const* name, char const* help, char const* label,
             labelled_count const (&rows)[N])
{
    for (auto const& it : rows)
    {
        to.set_counter(name, help, {{label, it.label}}, static_cast<double>(it.value));
    }
}

void export_claims(requests::claim_counters const& it, telemetry::metrics& to)
{
    set_all(to, "fuchsiaproxy_claims_total", "Events of the at-most-once protocol.", "event",
            {{"claimed", it.claims},
             {"denied", it.claims_denied},
             {"timed_out", it.claims_timed_out},
             {"witness_unreachable", it.witness_unreachable},
             {"run", it.runs},
             {"run_without_witness", it.runs_without_witness},
             {"late_send_prevented", it.late_sends_prevented},
             {"duplicate", it.duplicates},
             {"malformed_id", it.malformed_ids},
             {"granted_for_others", it.grants_given},
             {"refused_for_others", it.grants_refused},
             {"tombstone_for_others", it.tombstones_for_others},
             {"resolution_started", it.resolutions_started},
             {"contradiction", it.contradictions}});
    set_all(to, "fuchsiaproxy_claim_answers_total",
            "Answers of the at-most-once protocol, by outcome.", "outcome",
            {{"not_run", it.answered_not_run},
             {"already_run", it.answered_already_run},
             {"may_have_run", it.answered_may_have_run}});
}

void export_dispatcher(routing::dispatcher_counters const& it, telemetry::metrics& to)
{
    set_all(to, "fuchsiaproxy_dispatch_total", "Decisions of the choice of upstream.", "event",
            {{"enqueued", it.enqueued},
             {"first_attempt", it.first_attempts},
             {"completed", it.completed},
             {"refused_early", it.refused_early},
             {"refused_full", it.refused_full},
             {"expired", it.expired},
             {"hedge", it.hedges},
             {"hedge_won", it.hedges_won},
             {"retry", it.retries},
             {"ejection", it.ejections},
             {"probe", it.probes},
             {"move", it.moves},
             {"move_refused", it.moves_refused},
             {"borrow_sent", it.borrows_sent},
             {"loan_received", it.loans_received},
             {"loan_granted", it.loans_granted},
             {"borrow_refused", it.borrows_refused},
             {"loan_lapsed", it.loans_lapsed}});
}

void export_levels(engine::service_levels const& it, telemetry::metrics& to)
{
    for (auto const& row : it.own_counts())
    {
        telemetry::labels const with{{"service", row.service.value()},
                                     {"class", row.request_class}};
        to.set_counter("fuchsiaproxy_requests_total", "Requests that ended.", with,
                       static_cast<double>(row.total));
        to.set_counter("fuchsiaproxy_requests_on_time_total",
                       "Requests served before their deadline.", with,
                       static_cast<double>(row.on_time));
        to.set_counter("fuchsiaproxy_credit_possible_total", "Weight of the requests that ended.",
                       with, static_cast<double>(row.weight_total));
        to.set_counter("fuchsiaproxy_credit_earned_total",
                       "Weight of the requests served before their deadline.", with,
                       static_cast<double>(row.weight_on_time));
    }
}

void export_moves(engine::share_keeper const& it, telemetry::metrics& to)
{
    for (auto const& row : it.moves())
    {
        to.set_counter("fuchsiaproxy_moves_total",
                       "Requests sent to a place that is not their home.",
                       {{"from", row.first.first.value()}, {"to", row.first.second.value()}},
                       static_cast<double>(row.second));
    }
}

} // namespace

void export_engine(engine::engine& it, base::time_point now, telemetry::metrics& to)
{
    export_claims(it.claims().counters(), to);
    export_dispatcher(it.dispatcher().counters(), to);
    export_levels(it.levels(), to);
    export_moves(it.shares(), to);
    auto const& self = it.fleet().self();
    to.gauge("fuchsiaproxy_configuration_version", "Version of the configuration in force.")
        .Set(static_cast<double>(self.version.value()));
    to.gauge("fuchsiaproxy_entries_known", "Live entries known, this one included.")
        .Set(static_cast<double>(it.fleet().live_entries().size()));
    to.gauge("fuchsiaproxy_hub", "1 if this entry is a hub of its availability zone.")
        .Set(it.fleet().is_hub() ? 1 : 0);
    to.gauge("fuchsiaproxy_open_requests", "Requests that have not ended.")
        .Set(static_cast<double>(it.open_requests()));
    to.gauge("fuchsiaproxy_load_ratio", "Requests queued or running for each owned slot.")
        .Set(it.dispatcher().load_permille() / 1000.0);
    to.gauge("fuchsiaproxy_claim_records", "Records of requests claimed by this entry.")
        .Set(static_cast<double>(it.claims().claims()));
    to.gauge("fuchsiaproxy_witness_records", "Records of requests witnessed for others.")
        .Set(static_cast<double>(it.claims().witness_records()));
    to.gauge("fuchsiaproxy_last_export_seconds", "Monotonic time of the last export.")
        .Set(std::chrono::duration<double>(now.time_since_epoch()).count());
}

void export_callers(callers::server_counters const& it, telemetry::metrics& to)
{
    set_all(to, "fuchsiaproxy_caller_connections_total", "Caller connections, by event.", "event",
            {{"accepted", it.accepted},
             {"refused", it.refused_connections},
             {"idle_closed", it.idle_closed},
             {"caller_gone", it.callers_gone},
             {"stalled_answer", it.stalled_answers},
             {"aborted_answer", it.aborted_answers}});
    set_all(to, "fuchsiaproxy_caller_requests_total",
            "Requests of callers, by what reading them came to.", "result",
            {{"read", it.requests},
             {"malformed", it.bad_requests},
             {"header_too_large", it.headers_too_large},
             {"body_too_large", it.requests_too_large},
             {"timed_out", it.request_timeouts}});
}

void export_upstreams(upstreams::client_counters const& it, telemetry::metrics& to)
{
    set_all(to, "fuchsiaproxy_upstream_attempts_total", "Attempts at upstreams, by event.", "event",
            {{"started", it.attempts},
             {"reused_connection", it.reused},
             {"pool_full", it.pool_full},
             {"broken", it.broken},
             {"timed_out", it.timed_out},
             {"late_not_sent", it.late}});
    set_all(to, "fuchsiaproxy_upstream_connections_total", "Connections to upstreams, by event.",
            "event",
            {{"opened", it.connects},
             {"failed", it.connects_failed},
             {"stale", it.stale},
             {"idle_closed", it.idle_closed},
             {"distrusted", it.closed_after_failure}});
}

void export_traffic(traffic_counters const& it, telemetry::metrics& to)
{
    to.set_counter("fuchsiaproxy_look_ups_total", "Look-ups of callers.", {},
                   static_cast<double>(it.look_ups));
    set_all(to, "fuchsiaproxy_ring_refusals_total", "Items refused by a full ring.", "ring",
            {{"peers", it.peer_ring_full}, {"platform", it.platform_ring_full}});
}

void export_peers(peers::peer_counts const& it, telemetry::metrics& to)
{
    for (std::size_t type = 0; type < it.types.size(); ++type)
    {
        auto const& row = it.types[type];
        std::string const name(peers::type_name(type));
        to.set_counter("fuchsiaproxy_peer_messages_total", "Messages between entries.",
                       {{"type", name}, {"direction", "sent"}}, static_cast<double>(row.sent));
        to.set_counter("fuchsiaproxy_peer_messages_total", "Messages between entries.",
                       {{"type", name}, {"direction", "received"}},
                       static_cast<double>(row.received));
        to.set_counter("fuchsiaproxy_peer_bytes_total", "Bytes of messages between entries.",
                       {{"type", name}, {"direction", "sent"}},
                       static_cast<double>(row.sent_bytes));
        to.set_counter("fuchsiaproxy_peer_bytes_total", "Bytes of messages between entries.",
                       {{"type", name}, {"direction", "received"}},
                       static_cast<double>(row.received_bytes));
    }
    set_all(to, "fuchsiaproxy_peer_links_total", "Links between entries, by event.", "event",
            {{"opened", it.opened},
             {"accepted", it.accepted},
             {"failed_to_open", it.failed_to_open},
             {"authentication_failed", it.authentication_failures},
             {"silent", it.silent},
             {"idle", it.idle}});
    set_all(to, "fuchsiaproxy_peer_refusals_total", "Messages between entries that were refused.",
            "cause",
            {{"queue_full", it.refused_queue_full},
             {"unreachable", it.refused_unreachable},
             {"invalid", it.refused_invalid},
             {"link_not_opened", it.dropped},
             {"unsupported", it.unsupported},
             {"broken", it.broken},
             {"wrong_sender", it.wrong_sender}});
}

void export_platform(metadata::platform_counters& it, telemetry::metrics& to)
{
    for (std::size_t n = 0; n < metadata::call_kind_count; ++n)
    {
        auto const kind = static_cast<metadata::call_kind>(n);
        telemetry::labels const with{{"kind", std::string(metadata::name_of(kind))}};
        to.set_counter("fuchsiaproxy_metadata_calls_total", "Calls to the platform.", with,
                       static_cast<double>(it.of(kind).calls.load()));
        to.set_counter("fuchsiaproxy_metadata_failures_total", "Calls to the platform that failed.",
                       with, static_cast<double>(it.of(kind).failures.load()));
    }
    to.set_counter("fuchsiaproxy_metadata_silent_connections_total",
                   "Connections to the platform that went silent.", {},
                   static_cast<double>(it.timed_out_connections.load()));
}

} // namespace fuchsiaproxy::runtime
