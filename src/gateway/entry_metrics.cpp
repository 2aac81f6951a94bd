#include "entry_metrics.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaproxy/telemetry/metrics.hpp"

namespace fuchsiaproxy::gateway
{
namespace
{

/// Metrics registry for one response, filled from the counters of the components.
class page_metrics
{
public:
    void set_counter(std::string const& name, std::string const& help, std::uint64_t value)
    {
        registry_.set_counter(name, help, {}, static_cast<double>(value));
    }

    void set_counter(std::string const& name, std::string const& help, std::string const& tenant,
                     std::uint64_t value)
    {
        registry_.set_counter(name, help, {{"tenant", tenant}}, static_cast<double>(value));
    }

    void gauge(std::string const& name, std::string const& help, std::size_t value)
    {
        gauge(name, help, static_cast<double>(value));
    }

    void gauge(std::string const& name, std::string const& help, double value)
    {
        registry_.gauge(name, help).Set(value);
    }

    void histogram(std::string const& name, std::string const& help, latency_buckets const& it)
    {
        auto const& bounds = latency_buckets::bounds;
        std::vector<double> const counts(it.counts().begin(), it.counts().end());
        registry_.histogram(name, help, {bounds.begin(), bounds.end()})
            .ObserveMultiple(counts, it.sum());
    }

    std::string text() const
    {
        return registry_.text();
    }

private:
    telemetry::metrics registry_;
};

void add_decisions(page_metrics& to, steering::director const& from)
{
    auto const& it = from.counters();
    to.set_counter("fuchsiaproxy_entry_requests_total", "Requests of callers.", it.requests);
    to.set_counter("fuchsiaproxy_entry_answered_total", "Answers of upstreams passed on.",
                   it.answered);
    to.set_counter("fuchsiaproxy_entry_answered_late_total",
                   "Answers passed on later than the route's latency goal.", it.answered_late);
    to.set_counter("fuchsiaproxy_entry_refused_total", "Requests answered as not run.", it.refused);
    to.set_counter("fuchsiaproxy_entry_unknown_routes_total", "Requests without a route.",
                   it.unknown_routes);
    to.set_counter("fuchsiaproxy_entry_callers_gone_total", "Callers that left before the answer.",
                   it.callers_gone);
    to.set_counter("fuchsiaproxy_entry_first_attempts_total", "First attempts of requests.",
                   it.first_attempts);
    to.set_counter("fuchsiaproxy_entry_extra_attempts_total", "Attempts within the budget.",
                   it.extra_attempts);
    to.set_counter("fuchsiaproxy_entry_over_budget_total", "Extra attempts that were not allowed.",
                   it.over_budget);
    to.set_counter("fuchsiaproxy_entry_hedges_total",
                   "Second attempts of requests whose first had not ended.", it.hedges);
    to.set_counter("fuchsiaproxy_entry_hedges_won_total",
                   "Second attempts whose answer was passed on.", it.hedges_won);
    to.set_counter("fuchsiaproxy_entry_unsent_attempts_total",
                   "Attempts that did not reach their upstream.", it.unsent_attempts);
    to.set_counter("fuchsiaproxy_entry_refused_attempts_total", "Attempts refused by an upstream.",
                   it.refused_by_upstreams);
    to.set_counter("fuchsiaproxy_entry_failed_attempts_total", "Attempts whose outcome is unknown.",
                   it.failed_attempts);
    to.set_counter("fuchsiaproxy_entry_upstreams_leaving_total",
                   "Upstreams that stated in an answer that they are leaving.",
                   it.leaving_upstreams);
    to.set_counter("fuchsiaproxy_entry_upstream_pauses_total", "Pauses that upstreams asked for.",
                   it.upstream_pauses);
    to.set_counter("fuchsiaproxy_entry_stale_configurations_total",
                   "Configurations older than the one in force.", it.stale_configurations);
    to.set_counter("fuchsiaproxy_entry_unauthenticated_total",
                   "Requests refused for want of a valid API key.", it.unauthenticated);
    to.set_counter("fuchsiaproxy_entry_stale_proof_refusals_total",
                   "Requests refused as the proof of following the store was too old.",
                   it.stale_proofs);
    to.gauge("fuchsiaproxy_entry_open_requests", "Requests that have not ended.",
             from.open_requests());
    to.gauge("fuchsiaproxy_entry_configuration_version", "Version in force; 0 if none.",
             from.version().value());
}

/// Adds the tenants with the highest limits, and the sum of the others. The choice depends only on
/// the configuration, so that no count falls while it is in force.
void add_tenants(page_metrics& to, std::vector<allowances::tenant_counters> all)
{
    constexpr std::size_t most = 10;
    std::stable_sort(all.begin(), all.end(),
                     [](auto const& a, auto const& b)
                     { return a.requests_per_s > b.requests_per_s; });
    if (all.size() > most)
    {
        allowances::tenant_counters other;
        other.tenant = base::tenant_id("other");
        for (auto it = all.begin() + most; it != all.end(); ++it)
        {
            other.admitted += it->admitted;
            other.refused += it->refused;
            other.given_back += it->given_back;
        }
        all.resize(most);
        all.push_back(std::move(other));
    }
    for (auto const& it : all)
    {
        auto const& name = it.tenant.value();
        to.set_counter("fuchsiaproxy_entry_tenant_admitted_total",
                       "Requests within their tenant's allowance.", name, it.admitted);
        to.set_counter("fuchsiaproxy_entry_tenant_refused_total",
                       "Requests over their tenant's allowance.", name, it.refused);
        to.set_counter("fuchsiaproxy_entry_tenant_given_back_total",
                       "Admitted requests that did not run.", name, it.given_back);
    }
}

void add_connections(page_metrics& to, gateway const& from)
{
    auto const& callers = from.server_counts();
    to.set_counter("fuchsiaproxy_entry_caller_connections_total", "Connections of callers.",
                   callers.accepted);
    to.set_counter("fuchsiaproxy_entry_bad_requests_total", "Malformed requests.",
                   callers.bad_requests);
    to.set_counter("fuchsiaproxy_entry_pipelined_requests_total",
                   "Requests passed on while an earlier one of their connection was open.",
                   callers.pipelined_requests);
    to.set_counter("fuchsiaproxy_entry_read_ahead_stopped_total",
                   "Times at which a bound stopped the reading of pipelined requests.",
                   callers.read_ahead_stopped);
    to.set_counter("fuchsiaproxy_entry_stalled_answers_total",
                   "Answers cut off because the caller had stopped reading.",
                   callers.stalled_answers);
    to.set_counter("fuchsiaproxy_entry_aborted_answers_total",
                   "Answers that could not be completed.", callers.aborted_answers);
    to.gauge("fuchsiaproxy_entry_reserved_answer_bytes",
             "Bytes reserved for answers that are buffered.", from.reserved_answer_bytes());
    auto const& upstreams = from.client_counts();
    to.set_counter("fuchsiaproxy_entry_upstream_connections_total",
                   "Connections opened to upstreams.", upstreams.connects);
    to.set_counter("fuchsiaproxy_entry_upstream_connections_failed_total",
                   "Connections to upstreams that failed.", upstreams.connects_failed);
    to.set_counter("fuchsiaproxy_entry_upstream_connections_reused_total",
                   "Attempts on a connection that was open.", upstreams.reused);
    to.set_counter("fuchsiaproxy_entry_broken_answers_total", "Answers that broke off.",
                   upstreams.broken);
    to.set_counter("fuchsiaproxy_entry_foreign_answers_total",
                   "Answers that belonged to an earlier request.", upstreams.foreign_answers);
    to.set_counter("fuchsiaproxy_entry_refusals_as_first_answer_total",
                   "Refusals that did not identify their request, on new connections.",
                   upstreams.refusals_as_first_answer);
    to.set_counter("fuchsiaproxy_entry_refusals_by_position_total",
                   "Refusals that did not identify their request, on connections used before.",
                   upstreams.refusals_by_position);
    to.set_counter("fuchsiaproxy_entry_malformed_notices_total",
                   "Answers with an invalid notice of the upstream about itself.",
                   upstreams.malformed_notices);
}

} // namespace

std::string metrics_text(gateway const& from, gossip::exchange_counters const& exchange)
{
    page_metrics to;
    add_tenants(to, from.decisions().tenant_counters());
    add_decisions(to, from.decisions());
    add_connections(to, from);
    if (auto const age = from.proof_age())
    {
        to.gauge("fuchsiaproxy_entry_store_proof_age_seconds",
                 "Age of the proof that this entry follows the store; absent before the first.",
                 std::chrono::duration<double>(*age).count());
    }
    to.set_counter("fuchsiaproxy_entry_loads_sent_total", "Loads sent to other entries.",
                   exchange.sent);
    to.set_counter("fuchsiaproxy_entry_loads_received_total", "Loads of other entries.",
                   exchange.received);
    to.set_counter("fuchsiaproxy_entry_loads_unreadable_total", "Datagrams that could not be read.",
                   exchange.unreadable);
    to.histogram("fuchsiaproxy_entry_attempt_seconds", "Time of attempts, from choice to end.",
                 from.attempt_times());
    return to.text();
}

} // namespace fuchsiaproxy::gateway
