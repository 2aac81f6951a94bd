#ifndef FUCHSIAPROXY_GATEWAY_PAGE_SERVER_HPP
#define FUCHSIAPROXY_GATEWAY_PAGE_SERVER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/timer_service.hpp"
#include "fuchsiaproxy/callers/server.hpp"
#include "fuchsiaproxy/http/buffer_pool.hpp"

namespace fuchsiaproxy::gateway
{

/// Response to an HTTP request that the entry serves itself.
struct page
{
    unsigned status = 404;
    std::string content_type = "text/plain";
    std::string body;
};

/// Returns the page for a GET of `target`, the path with its query.
using page_function = std::function<page(std::string_view target)>;

/// HTTP server for pages such as metrics and readiness, on its own address. Only GET is allowed.
///
/// Thread safety: none; used on the thread that runs the io_context.
class page_server final : public callers::request_handler
{
public:
    /// `io`, `timers` and `buffers` must outlive the server.
    page_server(boost::asio::io_context& io, base::timer_service& timers,
                http::buffer_pool& buffers, model::endpoint const& at, page_function answer);
    ~page_server() override;

    /// Starts to listen and returns the port. Precondition: called once.
    base::result<std::uint16_t> listen();

    void request_arrived(std::shared_ptr<callers::exchange> it) override;
    void body_ready(base::local_request_id request) override;
    void write_ready(base::local_request_id request) override;
    void caller_gone(base::local_request_id request) override;

private:
    page_function answer_;
    callers::server server_;
};

/// Returns the decoded value of `name` in the query of `target`, or an empty string. Thread safe.
std::string query_value(std::string_view target, std::string_view name);

/// Returns `target` without its query. Thread safe.
std::string_view path_of(std::string_view target);

} // namespace fuchsiaproxy::gateway

#endif
