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

/// An entry that may be used, with the ticket for its requests.
struct usable_entry
{
    std::string id;
    std::string address;
    std::string ticket;
};

/// One client for each address.
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

/// Entries to use, as told by any entry and kept for their TTL.
class entry_directory
{
public:
    using handler = std::function<void(std::vector<usable_entry> const&)>;

    /// Precondition: `bootstrap` is not empty; the pool outlives the directory.
    entry_directory(client_pool& pool, std::vector<metadata::http_endpoint> const& bootstrap,
                    std::string target);

    /// Calls `done` with the entries, empty when none was ever told. May call it at once.
    void read(handler done);

    /// Forgets the entries' TTL, so that the next `read` asks again.
    void expire();

    std::uint64_t queries() const noexcept;
    std::uint64_t failed_queries() const noexcept;

private:
    void query(std::size_t attempt);
    bool take(metadata::http_answer const& answer);
    void answer_waiting();

    client_pool& pool_;
    std::vector<std::string> bootstrap_;
    std::string target_;
    std::vector<usable_entry> entries_;
    base::time_point valid_until_{};
    std::vector<handler> waiting_;
    std::size_t next_ = 0;
    std::uint64_t queries_ = 0;
    std::uint64_t failed_ = 0;
};

} // namespace fuchsiaproxy::standin

#endif
