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

/// Largest number of header fields of a message.
constexpr std::size_t max_fields = 100;

/// Head of a request or of an answer; the members of the other kind are empty.
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

/// Why a head was refused.
enum class head_error
{
    none,
    malformed,
    too_many_fields
};

/// Result of the search for the end of a head.
struct head_scan
{
    /// Bytes of the head with its empty line, or 0 if the head is not complete.
    std::size_t size = 0;
    bool malformed = false;
};

/// Searches `input` for the end of a head, beginning at `checked`, the number of bytes that an
/// earlier call has seen. Bare CR, bare LF and other control characters are malformed. Thread safe.
head_scan scan_head(std::string_view input, std::size_t checked) noexcept;

/// One step through a body.
struct body_step
{
    /// Bytes of the input that were used, framing and `data` together.
    std::size_t used = 0;
    /// Part of the input that belongs to the body; empty when more input is needed or at the end.
    std::string_view data;
    bool malformed = false;
};

/// Reads HTTP/1.1 messages from memory, strictly: what two implementations could frame in two
/// ways is refused, so that no request can be hidden inside another.
///
/// Thread safety: none.
class message_reader
{
public:
    virtual ~message_reader() = default;

    /// Returns a reader of requests.
    static std::unique_ptr<message_reader> for_requests();

    /// Returns a reader of answers.
    static std::unique_ptr<message_reader> for_answers();

    /// Begins a new message with `text`, a whole head as delimited by `scan_head`.
    /// `without_body` is for answers to HEAD.
    virtual head_error read_head(std::string_view text, bool without_body, message_head& out) = 0;

    /// Takes the next part of the body from `input`, the bytes after those used so far.
    /// Precondition: `read_head` returned `none` and `done()` is false.
    virtual body_step next(std::string_view input) = 0;

    /// Returns whether the message is complete.
    virtual bool done() const = 0;
};

} // namespace fuchsiaproxy::http

#endif
