#ifndef FUCHSIAPROXY_HTTP_MESSAGE_READER_HPP
#define FUCHSIAPROXY_HTTP_MESSAGE_READER_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fuchsiaproxy/http/fields.hpp"

namespace fuchsiaproxy::http
{

/// Maximum number of header fields of a message.
constexpr std::size_t max_fields = 100;

/// Head of a request or response: the start line and the header fields. `method` and `target` are
/// set for requests only, `status` for responses only.
struct message_head
{
    std::string method;
    std::string target;
    unsigned status = 0;
    bool keep_alive = true;
    bool chunked = false;
    std::optional<std::uint64_t> content_length;
    http::fields fields;
};

/// Reason for which a head was rejected.
enum class head_error
{
    none,
    malformed,
    too_many_fields
};

/// Result of the search for the end of a head.
struct head_scan
{
    /// Size of the head including its empty line, or 0 if the head is incomplete.
    std::size_t size = 0;
    bool malformed = false;
};

/// Searches `input` for the end of a head. `checked` is the number of bytes that an earlier call
/// has already scanned. Bare CR, bare LF and other control characters except tab make the head
/// malformed. Thread safe.
head_scan scan_head(std::string_view input, std::size_t checked) noexcept;

/// Result of reading a part of a body.
struct body_step
{
    /// Number of input bytes consumed, including framing.
    std::size_t consumed = 0;
    /// View of the body data in the input; empty if more input is needed or at the end of the body.
    std::string_view data;
    bool malformed = false;
};

/// Strict incremental parser of HTTP/1.1 messages. It rejects any message whose framing two
/// implementations could interpret differently, which prevents request smuggling.
///
/// Thread safety: none.
class message_reader
{
public:
    virtual ~message_reader() = default;

    /// Returns a reader for requests.
    static std::unique_ptr<message_reader> for_requests();

    /// Returns a reader for responses.
    static std::unique_ptr<message_reader> for_responses();

    /// Starts a new message and parses its head. `text` is a complete head as delimited by
    /// `scan_head`. `without_body` must be set for responses to HEAD requests.
    virtual head_error read_head(std::string_view text, bool without_body, message_head& out) = 0;

    /// Reads the next part of the body from `input`, which starts after the bytes consumed so far.
    /// It may be called again with the same input, and then consumes nothing.
    /// Precondition: `read_head` returned `none` and `done()` is false.
    virtual body_step next(std::string_view input) = 0;

    /// Returns whether the whole message has been read.
    virtual bool done() const = 0;
};

} // namespace fuchsiaproxy::http

#endif
