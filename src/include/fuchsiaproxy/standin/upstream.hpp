#ifndef FUCHSIAPROXY_STANDIN_UPSTREAM_HPP
#define FUCHSIAPROXY_STANDIN_UPSTREAM_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/metadata/http_client.hpp"

namespace fuchsiaproxy::standin
{

/// Returns the FNV-1a checksum of `text` as 16 hexadecimal digits. Thread safe.
std::string checksum(std::string_view text);

/// Distribution of the service time around its mean.
enum class service_time_shape
{
    constant,
    exponential,
    /// Log-normal with sigma 0.5.
    lognormal
};

/// Behaviour of one simulated upstream. All settings can be changed while it runs.
struct upstream_settings
{
    std::size_t slots = 4;
    /// Maximum number of requests that wait for a slot; further ones are shed.
    std::size_t max_queued = 16;
    /// Connections beyond this limit are closed when they are accepted; 0 means no limit.
    std::size_t max_connections = 0;
    base::duration service_time = std::chrono::milliseconds(10);
    service_time_shape shape = service_time_shape::exponential;
    /// Fraction of requests that take `straggler_factor` times longer, in [0, 1].
    double straggler_share = 0;
    double straggler_factor = 20;
    /// The first request takes `cold_factor` times longer; the factor falls to 1 over the first
    /// `cold_requests` requests.
    std::size_t cold_requests = 0;
    double cold_factor = 5;
    /// Every `slow_every`, requests that start within `slow_for` take `slow_factor` times longer.
    base::duration slow_every{};
    base::duration slow_for{};
    double slow_factor = 10;
    /// Rejects new requests with 503 and the headers `Shed: 1` and `Draining: 1`.
    bool draining = false;
    /// How far the load reported by `/load` lags behind.
    base::duration report_lag = std::chrono::seconds(1);
    /// Load and health that are reported instead of the real ones.
    std::optional<double> reported_load;
    std::optional<bool> reported_healthy;
    /// Requests that start while this is set keep their slot until `release_held`, regardless of
    /// their service time.
    bool hold = false;
    /// Minimum size of an answer's body, reached by padding.
    std::size_t answer_bytes = 0;
};

/// Counts how often each request was executed by the upstreams of a process. Not thread safe.
class run_journal
{
public:
    /// Records the start of an execution of `request_id`.
    void record(std::string const& request_id);

    /// Returns how often `request_id` was executed.
    std::uint64_t runs_of(std::string const& request_id) const;

    /// Returns the number of executions.
    std::uint64_t total() const noexcept;

    /// Returns the number of ids that were executed more than once.
    std::uint64_t repeated() const noexcept;

    /// Returns the number of executions by id.
    std::map<std::string, std::uint64_t> const& runs() const noexcept;

private:
    std::map<std::string, std::uint64_t> runs_;
    std::uint64_t total_ = 0;
    std::uint64_t repeated_ = 0;
};

/// Request counters of one upstream.
struct upstream_counts
{
    std::uint64_t received = 0;
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    /// Rejected because the queue was full or the upstream was draining.
    std::uint64_t shed = 0;
    /// Cancelled before the start, by a closed connection or a control request.
    std::uint64_t cancelled = 0;
    /// Not started because the deadline had passed.
    std::uint64_t expired = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
    std::size_t most_running = 0;
    std::size_t most_queued = 0;
};

/// Simulates one upstream.
///
/// Any request outside `/control/`, `/load` and `/health` occupies a slot for a random service
/// time. Its answer is the JSON object {"request_id", "upstream", "body_checksum", "body_bytes"}
/// with the caller's `Request-Id`. A request without `Deadline-Ms` has no deadline.
/// `POST /control/cancel/<id>` answers {"started", "cancelled"}; an id that was cancelled before
/// its start never starts, even if its request arrives after the cancellation. `GET /control/runs`,
/// `GET /control/counters`, `POST /control/set` (settings as JSON) and `POST /control/release` are
/// for tests.
///
/// Thread safety: all calls on the thread that runs `io`.
class upstream_server
{
public:
    /// Listens at `at`; port 0 selects a free port. Throws when the address cannot be bound.
    /// `seed` seeds the generator of the service times. Precondition: `io` outlives the server.
    upstream_server(boost::asio::io_context& io, metadata::http_endpoint const& at, std::string id,
                    upstream_settings settings, std::uint64_t seed,
                    std::shared_ptr<run_journal> journal);
    ~upstream_server();
    upstream_server(upstream_server const&) = delete;
    upstream_server& operator=(upstream_server const&) = delete;

    /// Returns the address that the server listens at.
    metadata::http_endpoint endpoint() const;

    /// Returns the counts so far.
    upstream_counts const& counts() const noexcept;

    /// Returns the settings, which may be changed at any time.
    upstream_settings& settings() noexcept;

    /// Completes the requests that were started while `hold` was set.
    void release_held();

    /// Closes all connections and cancels the requests that have not started.
    void close_connections();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::standin

#endif
