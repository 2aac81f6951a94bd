#ifndef FUCHSIAPROXY_METADATA_PLATFORM_CLIENTS_HPP
#define FUCHSIAPROXY_METADATA_PLATFORM_CLIENTS_HPP

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/metadata/http_client.hpp"
#include "fuchsiaproxy/metadata/instance_list.hpp"
#include "fuchsiaproxy/metadata/store.hpp"

namespace fuchsiaproxy::metadata
{

/// Time limits of calls to the platform.
struct http_timeouts
{
    /// Whole call, from the start to the complete answer.
    base::duration call = std::chrono::seconds(2);
    /// Time that a watch may take beyond its requested wait. A watch of 1 s that is not answered
    /// after 1.5 s is considered to be on an unresponsive connection.
    base::duration watch_grace = std::chrono::milliseconds(500);
};

/// Kinds of calls to the platform.
enum class call_kind
{
    get,
    compare_and_swap,
    watch,
    acquire_lease,
    release_lease,
    read_instances
};

constexpr std::size_t call_kind_count = 6;

/// Returns the name of `kind` for metrics. Thread safe.
std::string_view name_of(call_kind kind) noexcept;

/// Counters of the calls to the platform. Thread safe: written by the clients' thread, readable by
/// any thread.
struct platform_counters
{
    struct per_kind
    {
        std::atomic<std::uint64_t> calls{0};
        std::atomic<std::uint64_t> failures{0};
    };
    std::array<per_kind, call_kind_count> kinds;
    std::atomic<std::uint64_t> timed_out_connections{0};

    per_kind& of(call_kind kind) noexcept
    {
        return kinds[static_cast<std::size_t>(kind)];
    }
};

/// Creates a client of the platform store.
///
/// All calls and completions are on the thread that runs `io`. Completions are never called from
/// within a call. Destroying the store abandons the calls in progress: their completions are not
/// called. A value that is not UTF-8 fails with `bad_request`.
/// Preconditions: `io` outlives the store; `counters` may be null.
std::unique_ptr<store>
make_http_store(boost::asio::io_context& io, http_endpoint const& endpoint,
                http_timeouts timeouts = {},
                std::shared_ptr<platform_counters> const& counters = nullptr);

/// Creates a client of the platform's instance list. The rules of `make_http_store` apply.
std::unique_ptr<instance_list>
make_http_instance_list(boost::asio::io_context& io, http_endpoint const& endpoint,
                        http_timeouts timeouts = {},
                        std::shared_ptr<platform_counters> const& counters = nullptr);

} // namespace fuchsiaproxy::metadata

#endif
