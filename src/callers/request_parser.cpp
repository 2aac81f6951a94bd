#include "request_parser.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace fuchsiaproxy::callers
{
namespace
{

using base::error_kind;
using base::make_error;

// Longer deadlines are cut to this, so that the sum with the current time cannot overflow.
constexpr std::uint64_t max_deadline_ms = 24ULL * 60 * 60 * 1000;

int hex_value(char c) noexcept
{
    if (c >= '0' && c <= '9')
    {
        return c - '0';
    }
    auto const lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Decodes percent escapes; a malformed escape is kept as it is.
std::string decode(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        auto const escaped = text[n] == '%' && n + 2 < text.size() && hex_value(text[n + 1]) >= 0 &&
                             hex_value(text[n + 2]) >= 0;
        if (escaped)
        {
            out += static_cast<char>(hex_value(text[n + 1]) * 16 + hex_value(text[n + 2]));
            n += 2;
            continue;
        }
        out += text[n];
    }
    return out;
}

/// Returns the value of `name` in a query string, or nothing.
std::string query_value(std::string_view query, std::string_view name)
{
    while (!query.empty())
    {
        auto const end = std::min(query.find('&'), query.size());
        auto const part = query.substr(0, end);
        auto const equals = part.find('=');
        if (equals != std::string_view::npos && part.substr(0, equals) == name)
        {
            return decode(part.substr(equals + 1));
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

/// Returns an error if one of the fields that the entry acts upon appears twice.
bool has_duplicates(http::fields const& all)
{
    constexpr std::string_view single[] = {"Service", "Request-Id", "Deadline-Ms", "Expect"};
    return std::any_of(std::begin(single), std::end(single),
                       [&](std::string_view it) { return all.count(it) > 1; });
}

bool read_deadline(http::fields const& all, request_head& out)
{
    auto const text = all.find("Deadline-Ms");
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

/// Takes service and kind from the target and the `Service` field.
void read_service(http::fields const& all, request_head& out)
{
    auto const target = std::string_view(out.target);
    auto const mark = std::min(target.find('?'), target.size());
    auto const path = target.substr(0, mark);
    if (out.method == "GET" && path == "/lookup")
    {
        auto const query = target.substr(std::min(mark + 1, target.size()));
        out.kind = request_kind::look_up;
        out.service = base::service_id(query_value(query, "service"));
        out.zone = base::availability_zone_id(query_value(query, "zone"));
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

base::result<request_head> parse_request(http::message_head const& head)
{
    request_head out;
    out.method = head.method;
    out.target = head.target;
    if (head.target.empty() || head.target.front() != '/' || head.method == "CONNECT")
    {
        return make_error(error_kind::bad_request, "the target is not a path");
    }
    if (has_duplicates(head.fields))
    {
        return make_error(error_kind::bad_request, "a field that must be single appears twice");
    }
    if (!read_deadline(head.fields, out))
    {
        return make_error(error_kind::bad_request, "Deadline-Ms is not a number");
    }
    auto const expect = head.fields.find("Expect");
    if (expect && !http::same_token(*expect, "100-continue"))
    {
        return make_error(error_kind::bad_request, "unknown expectation");
    }
    if (auto const id = head.fields.find("Request-Id"))
    {
        out.request_id = std::string(*id);
    }
    read_service(head.fields, out);
    out.fields = http::end_to_end(head.fields, "Deadline-Ms");
    if (!head.chunked)
    {
        out.content_length = head.content_length.value_or(0);
    }
    return out;
}

} // namespace fuchsiaproxy::callers
