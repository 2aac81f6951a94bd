#include "fuchsiaproxy/http/message_reader.hpp"

#include <algorithm>
#include <limits>
#include <ostream> // Boost.Beast 1.74 does not include it

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include "fuchsiaproxy/http/chunked_body.hpp"

namespace fuchsiaproxy::http
{
namespace
{

namespace beast_http = boost::beast::http;
using boost::beast::error_code;
using beast_view = boost::beast::string_view;

std::string_view to_std(beast_view text) noexcept
{
    return {text.data(), text.size()};
}

bool is_token(std::string_view text) noexcept
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [&](char c)
                       {
                           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                                  (c >= 'A' && c <= 'Z') || marks.find(c) != std::string_view::npos;
                       });
}

std::string_view trim(std::string_view text) noexcept
{
    auto const first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Counts of the header fields that determine the framing and the validity of a message.
struct framing_field_counts
{
    std::size_t fields = 0;
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    std::size_t hosts = 0;
};

/// Checks one field line. Beast accepts folded lines, lists of equal lengths and unknown transfer
/// encodings. With each of these, two parsers could disagree about the end of a message.
bool check_field(std::string_view line, framing_field_counts& seen)
{
    auto const colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
    {
        return false;
    }
    auto const name = line.substr(0, colon);
    auto const value = trim(line.substr(colon + 1));
    ++seen.fields;
    if (same_token(name, "Content-Length"))
    {
        ++seen.lengths;
        return parse_decimal(value).has_value();
    }
    if (same_token(name, "Transfer-Encoding"))
    {
        ++seen.encodings;
        return same_token(value, "chunked");
    }
    if (same_token(name, "Host"))
    {
        ++seen.hosts;
    }
    return true;
}

/// Checks all field lines of a head and sets `count` to their number.
head_error check_fields(std::string_view head, bool is_request, std::size_t& count)
{
    framing_field_counts seen;
    auto line_begin = head.find("\r\n") + 2;
    while (line_begin + 2 < head.size())
    {
        auto const line_end = head.find("\r\n", line_begin);
        if (!check_field(head.substr(line_begin, line_end - line_begin), seen))
        {
            return head_error::malformed;
        }
        if (seen.fields > max_fields)
        {
            return head_error::too_many_fields;
        }
        line_begin = line_end + 2;
    }
    count = seen.fields;
    auto const bad_host = is_request && seen.hosts != 1;
    auto const bad_body = seen.lengths + seen.encodings > 1;
    return bad_host || bad_body ? head_error::malformed : head_error::none;
}

/// Beast parser that stores the head in a `message_head` and provides views of the body data.
template <bool IsRequest>
class parser : public beast_http::basic_parser<IsRequest>
{
public:
    explicit parser(message_head& head) : head_(&head)
    {
        this->header_limit(64 * 1024);
        // Not boost::none, because Beast 1.74 compares it as smaller than any length.
        this->body_limit(std::numeric_limits<std::uint64_t>::max());
        this->eager(false);
    }

    /// Returns whether `rest` may be an incomplete last chunk that `put` must not be called with;
    /// see `min_chunked_body`.
    bool needs_more_than(std::string_view rest) const
    {
        return this->chunked() && chunk_data_left_ == 0 && rest.size() < min_chunked_body &&
               rest.front() == '0';
    }

    std::string_view data;
    int version = 0;

private:
    void on_request_impl(beast_http::verb, beast_view method, beast_view target, int version_seen,
                         error_code&) override
    {
        head_->method = to_std(method);
        head_->target = to_std(target);
        version = version_seen;
    }
    void on_response_impl(int status, beast_view, int version_seen, error_code&) override
    {
        head_->status = static_cast<unsigned>(status);
        version = version_seen;
    }
    void on_field_impl(beast_http::field, beast_view name, beast_view value, error_code&) override
    {
        // Trailers are ignored, because they arrive after the header fields were processed.
        if (head_ != nullptr)
        {
            head_->fields.add(to_std(name), to_std(value));
        }
    }
    void on_header_impl(error_code&) override
    {
        head_ = nullptr;
    }
    void on_body_init_impl(boost::optional<std::uint64_t> const&, error_code&) override {}
    std::size_t on_body_impl(beast_view text, error_code&) override
    {
        data = to_std(text);
        return text.size();
    }
    void on_chunk_header_impl(std::uint64_t size, beast_view, error_code&) override
    {
        chunk_data_left_ = size;
    }
    std::size_t on_chunk_body_impl(std::uint64_t left, beast_view text, error_code&) override
    {
        data = to_std(text);
        chunk_data_left_ = left - text.size();
        return text.size();
    }
    void on_finish_impl(error_code&) override {}

    message_head* head_;
    /// Bytes of the current chunk's data that have not been parsed; zero between chunks.
    std::uint64_t chunk_data_left_ = 0;
};

template <bool IsRequest>
class reader final : public message_reader
{
public:
    head_error read_head(std::string_view text, bool without_body, message_head& out) override
    {
        out = message_head{};
        unparsed_size_ = 0;
        std::size_t count = 0;
        auto const checked = check_fields(text, IsRequest, count);
        if (checked != head_error::none)
        {
            return checked;
        }
        out.fields.reserve(count, text.size());
        parser_.emplace(out);
        parser_->skip(without_body);
        error_code ec;
        auto const consumed = parser_->put(boost::asio::buffer(text.data(), text.size()), ec);
        if (ec || consumed != text.size() || !parser_->is_header_done() || parser_->version != 11)
        {
            return head_error::malformed;
        }
        out.keep_alive = parser_->keep_alive();
        out.chunked = parser_->chunked();
        if (auto const length = out.fields.find("Content-Length"))
        {
            out.content_length = parse_decimal(*length);
        }
        return head_error::none;
    }

    body_step next(std::string_view input) override
    {
        body_step step;
        while (!done() && step.consumed < input.size())
        {
            auto const rest = input.substr(step.consumed);
            if (rest.size() <= unparsed_size_ || parser_->needs_more_than(rest))
            {
                break;
            }
            error_code ec;
            parser_->data = {};
            auto const consumed = parser_->put(boost::asio::buffer(rest.data(), rest.size()), ec);
            step.consumed += consumed;
            if (ec == beast_http::error::need_more)
            {
                unparsed_size_ = rest.size() - consumed;
                break;
            }
            unparsed_size_ = 0;
            step.malformed = ec.failed();
            step.data = parser_->data;
            if (step.malformed || !step.data.empty())
            {
                break;
            }
        }
        return step;
    }

    bool done() const override
    {
        return parser_->is_done();
    }

private:
    std::optional<parser<IsRequest>> parser_;
    /// Size of the input that the parser could not use without further bytes. Beast requires more
    /// input before `put` is called again.
    std::size_t unparsed_size_ = 0;
};

} // namespace

head_scan scan_head(std::string_view input, std::size_t checked) noexcept
{
    // Rescans the last three bytes of the previous call, in case the input was split within the
    // line ends that mark the end of the head.
    for (auto n = checked < 3 ? 0 : checked - 3; n < input.size(); ++n)
    {
        auto const byte = static_cast<unsigned char>(input[n]);
        if (byte >= 0x20 && byte != 0x7f)
        {
            continue;
        }
        auto const ends_line = byte == '\n' && n > 0 && input[n - 1] == '\r';
        auto const begins_line_end =
            byte == '\r' && (n + 1 == input.size() || input[n + 1] == '\n');
        if (byte != '\t' && !ends_line && !begins_line_end)
        {
            return head_scan{0, true};
        }
        if (ends_line && n >= 3 && input[n - 2] == '\n')
        {
            return head_scan{n + 1, false};
        }
    }
    return head_scan{};
}

std::unique_ptr<message_reader> message_reader::for_requests()
{
    return std::make_unique<reader<true>>();
}

std::unique_ptr<message_reader> message_reader::for_responses()
{
    return std::make_unique<reader<false>>();
}

} // namespace fuchsiaproxy::http
