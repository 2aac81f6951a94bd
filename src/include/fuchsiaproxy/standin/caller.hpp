#ifndef FUCHSIAPROXY_STANDIN_CALLER_HPP
#define FUCHSIAPROXY_STANDIN_CALLER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/metadata/http_client.hpp"

namespace fuchsiaproxy::standin
{

/// Load and behaviour of a simulated caller.
struct caller_settings
{
    /// Entries that are queried for the list of entries to use.
    std::vector<metadata::http_endpoint> entries;
    std::string service = "catalog";
    std::string zone = "harju-a";
    /// Targets of the requests; look-ups are idempotent and sent with GET, orders with POST.
    std::string lookup_target = "/catalog/items";
    std::string order_target = "/catalog/orders";
    /// Mean requests per second; the intervals are exponentially distributed.
    double rate = 100;
    std::size_t count = 1000;
    /// Fraction of requests that are orders, in [0, 1].
    double order_share = 0.2;
    std::size_t min_body_bytes = 0;
    std::size_t max_body_bytes = 1024;
    base::duration deadline = std::chrono::seconds(1);
    /// How long after its deadline a request still waits for a late answer.
    base::duration late_grace = std::chrono::milliseconds(500);
    /// Timeout of each attempt to resolve an order whose outcome is unknown.
    base::duration resolve_timeout = std::chrono::seconds(1);
    /// Maximum attempts of a request, including those that resolve an order.
    std::size_t max_attempts = 4;
    std::size_t max_connections_per_entry = 64;
    std::uint64_t seed = 1;
};

/// Outcomes of the requests of one kind. Each request is counted in exactly one of the fields from
/// `on_time` to `wrong`.
struct request_report
{
    std::uint64_t sent = 0;
    std::uint64_t on_time = 0;
    std::uint64_t late = 0;
    /// Ran and returned a status other than 2xx.
    std::uint64_t failed = 0;
    /// Ran, but its answer was lost.
    std::uint64_t already_run = 0;
    std::uint64_t not_run = 0;
    /// May have run.
    std::uint64_t unknown = 0;
    /// Got an answer with a request id or a checksum that does not match.
    std::uint64_t wrong = 0;
    double p50_ms = 0;
    double p99_ms = 0;
};

/// Id of an order with the outcome that was reported to the caller. An order that was retried has
/// several ids.
struct order_outcome
{
    std::string request_id;
    base::request_outcome outcome = base::request_outcome::may_have_run;
};

/// Result of a load.
struct caller_report
{
    request_report lookups;
    request_report orders;
    std::vector<order_outcome> order_outcomes;
    /// Attempts other than the first one of each request.
    std::uint64_t further_attempts = 0;
    /// Queries for the list of entries, and how many of them failed.
    std::uint64_t entry_queries = 0;
    std::uint64_t failed_entry_queries = 0;
};

/// Returns the report as a plain-text table.
std::string to_table(caller_report const& report);

/// Returns the report as a JSON object.
std::string to_json(caller_report const& report);

/// Sends a random load to the entries and verifies every answer.
///
/// The list of entries comes from `GET /lookup?service=S&zone=Z` of any entry. It is cached for its
/// TTL, and longer while no entry answers. A failed look-up is retried at the next entry. An order
/// without an answer is resent with the same id to the next entry, which returns its outcome; an
/// order that did not run is retried with a new id.
///
/// Thread safety: all calls on the thread that runs `io`.
class load_generator
{
public:
    using handler = std::function<void(caller_report)>;

    /// Preconditions: `io` outlives the generator; `settings.entries` is not empty; the rate is
    /// positive.
    load_generator(boost::asio::io_context& io, caller_settings settings);
    /// Stops the load without calling the handler.
    ~load_generator();
    load_generator(load_generator const&) = delete;
    load_generator& operator=(load_generator const&) = delete;

    /// Starts the load. `done` is called once, after the last request has ended. Precondition:
    /// not started before.
    void start(handler done);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::standin

#endif
