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

/// Load and behaviour of a caller.
struct caller_settings
{
    /// Entries that are asked for the entries to use.
    std::vector<metadata::http_endpoint> entries;
    std::string service = "catalog";
    std::string zone = "harju-a";
    /// Targets of the requests; look-ups are idempotent and sent with GET, orders with POST.
    std::string lookup_target = "/catalog/items";
    std::string order_target = "/catalog/orders";
    /// Requests per second, with exponential gaps.
    double rate = 100;
    std::size_t count = 1000;
    /// Share of orders, in [0, 1].
    double order_share = 0.2;
    std::size_t min_body_bytes = 0;
    std::size_t max_body_bytes = 1024;
    base::duration deadline = std::chrono::seconds(1);
    /// Time after the deadline until which a late answer is awaited.
    base::duration late_grace = std::chrono::milliseconds(500);
    /// Time for each attempt to learn what became of an order.
    base::duration resolve_timeout = std::chrono::seconds(1);
    /// Attempts for a request, the resolution of an order included.
    std::size_t max_attempts = 4;
    std::size_t max_connections_per_entry = 64;
    std::uint64_t seed = 1;
};

/// What became of the requests of one kind. Each request is in exactly one of the counts between
/// `on_time` and `wrong`.
struct request_report
{
    std::uint64_t sent = 0;
    std::uint64_t on_time = 0;
    std::uint64_t late = 0;
    /// Ran, and was answered with a status other than 2xx.
    std::uint64_t failed = 0;
    /// Ran, and its answer was lost.
    std::uint64_t already_run = 0;
    std::uint64_t not_run = 0;
    /// May have run.
    std::uint64_t unknown = 0;
    /// Got an answer that belongs to another request or is damaged.
    std::uint64_t wrong = 0;
    double p50_ms = 0;
    double p99_ms = 0;
};

/// Id of an order with what the caller was told about it. An order has several ids when it was
/// tried again.
struct order_claim
{
    std::string request_id;
    base::request_outcome outcome = base::request_outcome::may_have_run;
};

/// Result of a load.
struct caller_report
{
    request_report lookups;
    request_report orders;
    std::vector<order_claim> order_claims;
    /// Attempts after the first one of a request.
    std::uint64_t further_attempts = 0;
    /// Requests for the entries to use, with those that failed.
    std::uint64_t entry_queries = 0;
    std::uint64_t failed_entry_queries = 0;
};

/// Returns the report as a table for people.
std::string to_table(caller_report const& report);

/// Returns the report as a JSON object.
std::string to_json(caller_report const& report);

/// Caller that sends a load to the system and checks every answer.
///
/// It asks any entry `GET /lookup?service=S&zone=Z` and keeps the answer for its TTL, and beyond it
/// while no entry answers. A look-up that fails is repeated at the next entry. An order that got no
/// answer is sent with the same id to the next entry, which tells what became of it; an order that
/// did not run is sent again with a new id.
///
/// Thread safety: all calls on the thread that runs `io`.
class load_generator
{
public:
    using handler = std::function<void(caller_report)>;

    /// Preconditions: `io` outlives the generator; `settings.entries` is not empty; the rate is
    /// positive.
    load_generator(boost::asio::io_context& io, caller_settings settings);
    /// Abandons the load; the handler is not called.
    ~load_generator();
    load_generator(load_generator const&) = delete;
    load_generator& operator=(load_generator const&) = delete;

    /// Starts the load. `done` is called once, when every request has ended. Precondition: called
    /// once.
    void start(handler done);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::standin

#endif
