#ifndef FUCHSIAPROXY_STANDIN_ENTRY_DIRECTORY_HPP
#define FUCHSIAPROXY_STANDIN_ENTRY_DIRECTORY_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/metadata/http_client.hpp"

namespace fuchsiaproxy::standin
{

/// An entry that accepts requests, with the ticket that prefixes its request ids.
struct usable_entry
{
    std::string id;
    std::string address;
    std::string ticket;
};

/// Creates and reuses one HTTP client per address.
class client_pool
{
public:
    client_pool(boost::asio::io_context& io, std::size_t max_connections)
        : io_(io), max_connections_(max_connections)
    {
    }

    /// Returns the client of `address`, which has the form "ip:port".
    metadata::http_client& at(std::string const& address);

private:
    boost::asio::io_context& io_;
    std::size_t max_connections_;
    std::map<std::string, std::unique_ptr<metadata::http_client>> clients_;
};

/// Queries the entries for the list of entries to use, and caches the list for its TTL.
class entry_directory
{
public:
    using handler = std::function<void(std::vector<usable_entry> const&)>;

    /// Precondition: `bootstrap` is not empty; the pool outlives the directory.
    entry_directory(client_pool& pool, std::vector<metadata::http_endpoint> const& bootstrap,
                    std::string target);

    /// Calls `done` with the entries, possibly before returning. The list is empty if no query has
    /// succeeded yet.
    void read(handler done);

    /// Expires the cached list, so that the next `read` sends a query. The old list is still used
    /// if that query fails.
    void expire();

    std::uint64_t queries() const noexcept;
    std::uint64_t failed_queries() const noexcept;

private:
    void query(std::size_t attempt);
    bool update_entries(metadata::http_answer const& answer);
    void complete_waiting_reads();

    client_pool& pool_;
    std::vector<std::string> bootstrap_;
    std::string target_;
    std::vector<usable_entry> entries_;
    base::time_point valid_until_{};
    std::vector<handler> waiting_;
    std::size_t next_bootstrap_ = 0;
    std::uint64_t queries_ = 0;
    std::uint64_t failed_queries_ = 0;
};

} // namespace fuchsiaproxy::standin

#endif
