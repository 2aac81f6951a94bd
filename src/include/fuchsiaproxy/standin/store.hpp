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

/// What the store does with calls during an outage.
enum class outage
{
    none,
    /// Closes the connection.
    close,
    /// Keeps the connection open and never answers.
    silent,
    /// Answers 503.
    refuse
};

/// Behaviour of the store and the instance list.
struct store_settings
{
    /// Calls beyond these rates are answered with 429. Zero means no limit.
    double writes_per_second = 500;
    double reads_per_second = 2000;
    /// Age of the instance list that is served.
    base::duration list_lag{};
    /// Age of the values that reads return; watches and writes see the latest.
    base::duration stale_reads{};
    /// Delay of every answer.
    base::duration slow{};
};

/// Calls that arrived, with those that were refused. A waiting watch counts as one call.
struct store_counts
{
    std::uint64_t get = 0;
    std::uint64_t compare_and_swap = 0;
    std::uint64_t watch = 0;
    std::uint64_t acquire_lease = 0;
    std::uint64_t release_lease = 0;
    std::uint64_t read_instances = 0;
    /// Answers 429.
    std::uint64_t over_limit = 0;
    /// Writes that took effect without an answer.
    std::uint64_t lost_answers = 0;
};

/// Platform store and instance list in one HTTP server.
///
/// Resources: `/v1/keys/<key>` (GET with `watch` and `wait_ms`, PUT), `/v1/leases/<name>` (PUT,
/// DELETE), `/v1/instances` (GET), `/v1/instances/<id>` (PUT, DELETE) and, for the tests,
/// `/control/{down,slow,lose_answers,lapse,stale,lag}` (POST) and `/control/counters` (GET).
///
/// Thread safety: all calls on the thread that runs `io`.
class store_server
{
public:
    /// Listens at `at`; port 0 takes a free port. Throws when the address cannot be bound.
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
    /// Returns the number of watches that wait now.
    std::size_t waiting_watches() const noexcept;

    /// Starts or ends an outage. `close` and `refuse` also end the waiting watches.
    void set_outage(outage how);
    /// Changes the delay of every answer.
    void set_slow(base::duration delay);
    /// Drops the answers of the next `n` writes, after they took effect.
    void lose_answers(std::uint64_t n);
    /// Ends the lease `name`; its holder is not told.
    void lapse_lease(std::string const& name);
    /// Changes the age of what reads return.
    void set_stale_reads(base::duration age);
    /// Changes the age of the instance list.
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
