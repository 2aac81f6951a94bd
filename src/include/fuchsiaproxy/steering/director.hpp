#ifndef FUCHSIAPROXY_STEERING_DIRECTOR_HPP
#define FUCHSIAPROXY_STEERING_DIRECTOR_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fuchsiaproxy/allowances/keeper.hpp"
#include "fuchsiaproxy/base/attempt_result.hpp"
#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/load_report.hpp"
#include "fuchsiaproxy/base/refusal_attribution.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "fuchsiaproxy/steering/director_settings.hpp"
#include "fuchsiaproxy/steering/exclusion.hpp"
#include "fuchsiaproxy/steering/peer_load.hpp"
#include "fuchsiaproxy/steering/records.hpp"

namespace fuchsiaproxy::steering
{

/// The parts of a caller's request that a `director` uses.
struct arrived_request
{
    base::local_request_id id;
    /// Request id supplied by the caller; for logs.
    std::string_view trace_id;
    std::string_view host;
    /// Path with query.
    std::string_view target;
    /// Key of the object that the request concerns; empty if the caller supplied none.
    std::string_view affinity_key;
    /// API key supplied by the caller; unset if there is none or more than one.
    std::optional<std::string_view> api_key;
    /// Deadline supplied by the caller; the route's timeout caps it.
    std::optional<base::time_point> deadline;
};

/// Outcome of an attempt, with the load that its upstream reported.
struct attempt_end
{
    base::attempt_result result = base::attempt_result::not_sent;
    /// HTTP status of the answer, or 0 if no head arrived.
    unsigned status = 0;
    /// Attribution of the last refusal, if there was one.
    base::refusal_attribution refusal = base::refusal_attribution::none;
    bool sent = false;
    /// Time taken to connect, if a new connection was made.
    std::optional<base::duration> connect_time;
    std::optional<base::load_report> load;
    /// Whether the address is now used by a different upstream.
    bool wrong_upstream = false;
};

/// What an upstream states about itself in the head of an answer.
struct stated_exclusion
{
    /// It is shutting down.
    bool leaving = false;
    /// Time for which it asks for no requests; zero if it does not.
    base::duration pause{};
};

/// Action: send the request to an upstream.
struct start_attempt
{
    base::local_request_id request;
    base::attempt_id attempt;
    base::upstream_id upstream;
    model::endpoint at;
    base::time_point deadline;
    bool idempotent = false;
    /// Whether the configuration has tenants, so that the caller's credentials are not forwarded.
    bool has_tenants = false;
    /// Tenant on whose behalf the request runs; empty if none.
    base::tenant_id tenant{};
};

/// Action: cancel an attempt. Its end is still reported.
struct cancel_attempt
{
    base::attempt_id attempt;
};

/// Action: answer the request with an error.
struct answer_error
{
    base::local_request_id request;
    base::error_kind kind = base::error_kind::internal;
    /// Delay after which the caller may retry; zero if a retry is not suggested.
    base::duration retry_after{};
    /// Inputs of the decision, for logs: the route, empty if none matched; the load per slot of the
    /// service and the expected time to an answer, zero if no upstream was chosen.
    std::string trace_id{};
    std::string route{};
    base::config_version version{};
    double service_load = 0;
    base::duration expected{};
    std::uint32_t attempts = 0;
    /// Tenant whose key the request has; empty if none.
    base::tenant_id tenant{};
    /// Age of the proof of following the store, if the request was refused because of it.
    std::optional<base::duration> proof_age{};
    /// If the tenant is over its allowance, the state of the decision.
    double allowance_level = 0;
    double allowance_part = 0;
};

/// Action: close the idle connections of an upstream that gets no new requests.
struct upstream_retired
{
    model::endpoint at;
};

/// Action: log that an upstream gets no new requests because of the answer to an attempt.
struct upstream_excluded
{
    base::upstream_id upstream;
    base::attempt_id attempt;
    exclusion_reason why = exclusion_reason::leaving;
    /// Zero if the exclusion lasts for the rest of the upstream's lifetime.
    base::duration lasts{};
};

/// Action: apply new limits on what callers may send.
struct limits_changed
{
    caller_limits limits;
};

/// Action: another entry has applied a later control-plane position than this one.
struct newer_position_seen
{
    control_position peer_position;
};

/// Why an attempt was started.
enum class attempt_kind
{
    first,
    /// After the end of another attempt of the request.
    retry,
    /// While another attempt of the request was open.
    hedge
};

/// Returns the stable name of `it`, as used in logs. Thread safe.
constexpr std::string_view name_of(attempt_kind it) noexcept
{
    switch (it)
    {
    case attempt_kind::first:
        return "first";
    case attempt_kind::retry:
        return "retry";
    case attempt_kind::hedge:
        break;
    }
    return "hedge";
}

/// Action: log why an attempt was sent to its upstream, and how it ended.
struct attempt_summary
{
    attempt_kind kind = attempt_kind::first;
    std::string trace_id;
    base::attempt_id attempt;
    std::string route;
    base::upstream_id upstream;
    base::config_version version;
    /// Hash of the request's object; zero if none.
    std::uint64_t object = 0;
    /// Rank of the upstream in the preference order of the object.
    std::size_t rank = 0;
    base::duration expected{};
    base::duration took{};
    /// Expected work without waits in seconds, and its standard deviation; zero if demand is even.
    double expected_work = 0;
    double expected_work_spread = 0;
    /// Load of the upstream when it was chosen: attempts of this entry, the estimate for the other
    /// entries, and the age of the report that the estimate is based on.
    std::uint32_t in_flight = 0;
    double other_entries_load = 0;
    std::optional<base::duration> report_age;
    base::attempt_result result = base::attempt_result::not_sent;
    unsigned status = 0;
    base::refusal_attribution refusal = base::refusal_attribution::none;
};

using director_action =
    std::variant<start_attempt, cancel_attempt, answer_error, upstream_retired, upstream_excluded,
                 limits_changed, newer_position_seen, attempt_summary>;
using director_actions = std::vector<director_action>;

/// Identity and location of the entry that a `director` runs in.
struct director_identity
{
    base::instance_id id;
    base::availability_zone_id zone;
    base::region_id region;
    /// All zones of the deployment, with their regions.
    std::map<base::availability_zone_id, base::region_id> zones;
    /// Start of the process, in Unix milliseconds; later processes of an entry have higher ones.
    std::uint64_t process_started_ms = 0;
};

/// Counters of a `director` since its creation.
struct director_counters
{
    std::uint64_t requests = 0;
    std::uint64_t first_attempts = 0;
    std::uint64_t extra_attempts = 0;
    std::uint64_t unsent_attempts = 0;
    std::uint64_t refused_by_upstreams = 0;
    std::uint64_t failed_attempts = 0;
    std::uint64_t answered = 0;
    std::uint64_t answered_late = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown_routes = 0;
    std::uint64_t over_budget = 0;
    /// Attempts that were started while another attempt of the request was open, and those whose
    /// answer was passed on.
    std::uint64_t hedges = 0;
    std::uint64_t hedges_won = 0;
    std::uint64_t callers_gone = 0;
    std::uint64_t stale_configurations = 0;
    /// Upstreams that stated that they are leaving, and pauses that upstreams asked for.
    std::uint64_t leaving_upstreams = 0;
    std::uint64_t upstream_pauses = 0;
    /// Requests without a valid API key, and those refused because the proof of following the store
    /// was too old.
    std::uint64_t unauthenticated = 0;
    std::uint64_t stale_proofs = 0;
};

/// Selects the upstream of each request of one entry, decides whether a request may be retried, and
/// answers look-ups with the addresses of entries.
///
/// Thread safety: none; owned by one thread. Times must not decrease from call to call. Each
/// function appends its actions to `out`.
class director
{
public:
    director(director_settings const& settings, director_identity self, std::uint64_t seed);
    ~director();
    director(director const&) = delete;
    director& operator=(director const&) = delete;

    /// Applies a control-plane event. Configurations whose version is not higher than the one in
    /// force are ignored.
    void on_control(control_event const& it, base::time_point now, director_actions& out);

    /// Returns whether a request may run twice. False if no route matches it or there is no
    /// configuration.
    bool is_idempotent(std::string_view host, std::string_view target) const;

    /// Handles a new request. Precondition: its id was not used before.
    void on_request(arrived_request const& it, base::time_point now, director_actions& out);

    /// Applies what the attempt's upstream states about itself in an answer: it gets no new
    /// requests for the rest of its lifetime, or until its pause ends.
    void on_upstream_notice(base::attempt_id attempt, stated_exclusion const& stated,
                            base::time_point now, director_actions& out);

    /// Handles the head of an answer; returns whether to forward the answer to the caller.
    bool on_attempt_head(base::attempt_id attempt, unsigned status, base::time_point now,
                         director_actions& out);

    /// Handles the end of an attempt: ends its request or starts the next attempt.
    void on_attempt_finished(base::attempt_id attempt, attempt_end const& end, base::time_point now,
                             director_actions& out);

    /// Handles the disconnection of a request's caller. Open attempts are cancelled if the route is
    /// idempotent.
    void on_caller_gone(base::local_request_id request, base::time_point now,
                        director_actions& out);

    /// Replaces the operators' bounds.
    void set_bounds(operator_bounds const& bounds);

    /// Announces that the process ends at `end`. From now on a request is refused as `draining` if
    /// its deadline is later, because its answer might be cut off.
    void drain_until(base::time_point end);

    /// Applies a load message of another entry.
    void on_peer_load(peer_load const& it, base::time_point now, director_actions& out);

    /// Returns the next load message of this entry.
    peer_load load(base::time_point now);

    /// Returns the interval between load messages.
    base::duration load_interval() const;

    /// Returns the peer addresses of the entries that get the load message of number `sequence`.
    /// Entries further away get only some of the messages.
    std::vector<model::endpoint> load_receivers(std::uint64_t sequence) const;

    /// Removes expired records and outdated peer loads, and starts second attempts that are due.
    void tick(base::time_point now, director_actions& out);

    /// Returns when `tick` has to be called next; the largest time if never.
    base::time_point next_wakeup() const;

    /// Returns the addresses of the entries for a caller in `zone`. This entry is left out while it
    /// refuses requests with API keys, unless it knows no other.
    std::vector<std::string> look_up(base::availability_zone_id const& zone,
                                     base::time_point now) const;

    /// Replaces the time of the latest proof of following the store. The decision clock does not
    /// count suspension of the machine, so after one the same proof has an earlier time.
    void restate_proof(base::time_point as_of);

    /// Returns the age of the latest proof of following the store; nothing if there is none.
    std::optional<base::duration> proof_age(base::time_point now) const;

    /// Returns whether this entry has a configuration and at least one upstream.
    bool ready() const;

    /// Returns the number of requests that have not ended.
    std::size_t open_requests() const;

    /// Returns the version of the configuration in force; zero if there is none.
    base::config_version version() const;

    director_counters const& counters() const;

    /// Returns the counters of the tenants that have a limit, in the order of their ids.
    std::vector<allowances::tenant_counters> tenant_counters() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace fuchsiaproxy::steering

#endif
