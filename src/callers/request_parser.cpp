#include "request_parser.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "fuchsiaproxy/http/query.hpp"

namespace fuchsiaproxy::callers
{
namespace
{

using base::error_kind;
using base::make_error;

// Longer deadlines are clamped to this value, so that adding the current time cannot overflow.
constexpr std::uint64_t max_deadline_ms = 24ULL * 60 * 60 * 1000;

/// Returns whether a field that the entry interprets appears more than once.
bool has_duplicates(http::fields const& all, request_format const& format)
{
    std::string_view const single[] = {"Service", "Request-Id", "Expect", format.deadline_field};
    return std::any_of(std::begin(single), std::end(single),
                       [&](std::string_view it) { return all.count(it) > 1; });
}

bool read_deadline(http::fields const& all, request_format const& format, request_head& out)
{
    auto const text = all.find(format.deadline_field);
    if (!text)
    {
        return true;
    }
    auto const left = http::parse_decimal(*text);
    if (left)
    {
        out.time_left = std::chrono::milliseconds(std::min(*left, max_deadline_ms));
    }
    return left.has_value();
}

/// Sets the service, the kind and the zone from the target and the `Service` field.
void read_service(http::fields const& all, request_format const& format, request_head& out)
{
    auto const target = std::string_view(out.target);
    auto const mark = std::min(target.find('?'), target.size());
    auto const path = target.substr(0, mark);
    if (format.look_ups && out.method == "GET" && path == "/lookup")
    {
        auto const query = target.substr(std::min(mark + 1, target.size()));
        out.kind = request_kind::look_up;
        out.service = base::service_id(http::query_value(query, "service"));
        out.zone = base::availability_zone_id(http::query_value(query, "zone"));
        return;
    }
    if (auto const named = all.find("Service"))
    {
        out.service = base::service_id(std::string(*named));
        return;
    }
    auto const segment = path.substr(1, std::min(path.find('/', 1), path.size()) - 1);
    out.service = base::service_id(std::string(segment));
}

} // namespace

base::result<request_head> parse_request(http::message_head const& head,
                                         request_format const& format)
{
    request_head out;
    out.method = head.method;
    out.target = head.target;
    if (head.target.empty() || head.target.front() != '/' || head.method == "CONNECT")
    {
        return make_error(error_kind::bad_request, "the target is not a path");
    }
    if (has_duplicates(head.fields, format))
    {
        return make_error(error_kind::bad_request, "a field that may appear only once is repeated");
    }
    if (!read_deadline(head.fields, format, out))
    {
        return make_error(error_kind::bad_request, format.deadline_field + " is not a number");
    }
    auto const expect = head.fields.find("Expect");
    if (expect && !http::same_token(*expect, "100-continue"))
    {
        return make_error(error_kind::bad_request, "Expect has a value other than 100-continue");
    }
    if (auto const id = head.fields.find("Request-Id"))
    {
        out.request_id = std::string(*id);
    }
    read_service(head.fields, format, out);
    out.fields = http::end_to_end_fields(head.fields, format.deadline_field);
    if (!head.chunked)
    {
        out.content_length = head.content_length.value_or(0);
    }
    return out;
}

} // namespace fuchsiaproxy::callers
