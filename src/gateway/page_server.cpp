#include "fuchsiaproxy/gateway/page_server.hpp"

#include <utility>

#include "fuchsiaproxy/http/query.hpp"

namespace fuchsiaproxy::gateway
{
namespace
{

callers::server_settings settings_of(model::endpoint const& at)
{
    callers::server_settings made;
    made.at = at;
    made.format.look_ups = false;
    return made;
}

} // namespace

page_server::page_server(boost::asio::io_context& io, base::timer_service& timers,
                         http::buffer_pool& buffers, model::endpoint const& at,
                         page_function answer)
    : answer_(std::move(answer)), server_(io, timers, buffers, *this, settings_of(at))
{
}

page_server::~page_server() = default;

base::result<std::uint16_t> page_server::listen()
{
    return server_.listen();
}

void page_server::request_arrived(std::shared_ptr<callers::exchange> it)
{
    auto const made = it->head().method == "GET" ? answer_(it->head().target) : page{405, {}, {}};
    http::fields fields;
    if (!made.content_type.empty())
    {
        fields.add("Content-Type", made.content_type);
    }
    it->answer({made.status, base::execution_record::never_sent()}, fields, made.body);
}

void page_server::body_ready(base::local_request_id) {}
void page_server::write_ready(base::local_request_id) {}
void page_server::caller_gone(base::local_request_id) {}

std::string query_value(std::string_view target, std::string_view name)
{
    auto const mark = target.find('?');
    return mark == std::string_view::npos ? std::string()
                                          : http::query_value(target.substr(mark + 1), name);
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace fuchsiaproxy::gateway
