#ifndef FUCHSIAPROXY_STANDIN_STORE_HPP
#define FUCHSIAPROXY_STANDIN_STORE_HPP

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/metadata/http_client.hpp"
#include "fuchsiaproxy/metadata/instance_list.hpp"

namespace fuchsiaproxy::standin
{

/// How the store responds to calls during an outage.
enum class outage
{
    none,
    /// Closes the connection.
    close,
    /// Keeps the connection open without answering.
    silent,
    /// Answers 503.
    refuse
};

/// Rate limits, delays and staleness of the store and the instance list.
struct store_settings
{
    /// Calls beyond these rates are answered with 429. Zero means no limit.
    double writes_per_second = 500;
    double reads_per_second = 2000;
    /// How far the served instance list lags behind.
    base::duration list_lag{};
    /// How far the values returned by reads lag behind; watches and writes use the latest value.
    base::duration read_lag{};
    /// Delay before each answer.
    base::duration answer_delay{};
};

/// Number of received calls, including rejected ones. A long-polling watch counts as one call.
struct store_counts
{
    std::uint64_t get = 0;
    std::uint64_t compare_and_swap = 0;
    std::uint64_t watch = 0;
    std::uint64_t acquire_lease = 0;
    std::uint64_t release_lease = 0;
    std::uint64_t read_instances = 0;
    /// Calls that were answered with 429.
    std::uint64_t over_limit = 0;
    /// Writes that took effect but whose answer was dropped.
    std::uint64_t lost_answers = 0;
};

/// Simulates the platform store and the instance list in one HTTP server.
///
/// Resources: `/v1/keys/<key>` (GET with `watch` and `wait_ms`, PUT), `/v1/leases/<name>` (PUT,
/// DELETE), `/v1/instances` (GET) and `/v1/instances/<id>` (PUT, DELETE). Tests change its
/// behaviour with POST to /control/{down,slow,lose_answers,lapse,stale,lag} and read its counters
/// with GET from /control/counters.
///
/// Thread safety: all calls on the thread that runs `io`.
class store_server
{
public:
    /// Listens at `at`; port 0 selects a free port. Throws when the address cannot be bound.
    /// Precondition: `io` outlives the server.
    store_server(boost::asio::io_context& io, metadata::http_endpoint const& at,
                 store_settings settings = {});
    ~store_server();
    store_server(store_server const&) = delete;
    store_server& operator=(store_server const&) = delete;

    /// Returns the address that the server listens at.
    metadata::http_endpoint endpoint() const;
    /// Returns the counts so far.
    store_counts const& counts() const noexcept;
    /// Returns the number of watches that are waiting for a change.
    std::size_t waiting_watches() const noexcept;

    /// Starts or ends an outage. `close` and `refuse` also fail the waiting watches.
    void set_outage(outage how);
    /// Changes the delay before each answer.
    void set_answer_delay(base::duration delay);
    /// Drops the answers of the next `n` writes, after they took effect.
    void lose_answers(std::uint64_t n);
    /// Ends the lease `name` without notifying its holder.
    void expire_lease(std::string const& name);
    /// Changes how far the values returned by reads lag behind.
    void set_read_lag(base::duration age);
    /// Changes how far the instance list lags behind.
    void set_list_lag(base::duration age);
    /// Adds or replaces an instance.
    void put_instance(metadata::listed_instance instance);
    /// Removes an instance.
    void remove_instance(std::string const& id);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::standin

#endif
