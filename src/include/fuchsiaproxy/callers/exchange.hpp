#ifndef FUCHSIAPROXY_CALLERS_EXCHANGE_HPP
#define FUCHSIAPROXY_CALLERS_EXCHANGE_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/execution.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/http/fields.hpp"

namespace fuchsiaproxy::callers
{

/// Distinguishes requests to forward from those that the entry answers itself.
enum class request_kind
{
    forward,
    /// `GET /lookup?service=S&zone=Z`: which entries serve the service.
    look_up
};

/// Head of a caller's request.
struct request_head
{
    base::local_request_id id;
    request_kind kind = request_kind::forward;
    std::string method;
    /// As received; the path segment that names the service is not removed.
    std::string target;
    base::service_id service;
    /// Zone of the caller; given for look-ups only and may be empty.
    base::availability_zone_id zone;
    /// End-to-end fields, without `Deadline-Ms`.
    http::fields fields;
    /// Value of `Request-Id`.
    std::optional<std::string> request_id;
    /// Value of `Deadline-Ms`: time that was left when the caller sent the request.
    std::optional<base::duration> time_left;
    /// Size of the body; absent when the body is chunked, zero when there is none.
    std::optional<std::uint64_t> content_length;
    std::string caller_address;
    base::time_point arrived;
};

/// Head of an answer.
struct answer_head
{
    unsigned status = 200;
    /// End-to-end fields, without those of the framing.
    http::fields fields;
    /// Size of the body; a body of unknown size is sent in chunks. For an answer that has no body,
    /// because of its status or because it answers HEAD, only the value of `Content-Length`.
    std::optional<std::uint64_t> content_length;
};

/// Outcome of reading a part of a request's body.
enum class body_state
{
    /// Bytes were read and there may be more.
    open,
    /// No data has arrived yet; `request_handler::body_ready` is called when there is some.
    pending,
    /// The body is complete. Bytes may have been read too.
    end,
    /// The body is malformed, too large or too slow. Answer it with `body_read::error`.
    failed
};

/// Result of `exchange::read_body`.
struct body_read
{
    std::size_t size = 0;
    body_state state = body_state::open;
    base::error_kind error = base::error_kind::bad_request;
};

/// One request of a caller and its answer. The functions do nothing once the exchange has ended,
/// so a late answer is never sent for the next request on the connection.
///
/// Thread safety: none; used on the thread of its server. No function calls the handler before it
/// returns.
class exchange
{
public:
    virtual ~exchange() = default;

    /// Returns the head of the request; valid as long as the exchange object.
    virtual request_head const& head() const = 0;

    /// Returns whether the exchange has ended, by a complete answer, an abort or a disconnect of
    /// the caller.
    virtual bool ended() const = 0;

    /// Moves up to `size` bytes of the request's body to `to`. The rest stays in the connection's
    /// buffer and in the socket, so an unread body takes up at most one buffer of this process.
    virtual body_read read_body(char* to, std::size_t size) = 0;

    /// Sets the head of the answer, which is sent with the first part of the body or by `flush`.
    /// Precondition: called once, and not after `answer`.
    virtual void write_head(answer_head const& head) = 0;

    /// Returns whether the answers to all earlier requests on the connection have been sent. Until
    /// then an answer waits; `request_handler::turn_reached` or `write_ready` follows.
    virtual bool in_turn() const = 0;

    /// Reserves `bytes` of the server's memory for answers, for a part of the answer that the
    /// handler buffers. Returns false at the bound of the connection or the server. The end of the
    /// exchange releases what is still reserved.
    virtual bool reserve(std::size_t bytes) = 0;

    /// Releases reserved memory before the end of the exchange.
    virtual void release(std::size_t bytes) = 0;

    /// Sends a part of the body; `end` marks the last one. Returns true when `data` is no longer
    /// needed. After false, which is always the result before the exchange is in turn, `data` has
    /// to stay valid, and nothing else may be written, until `request_handler::write_ready` or
    /// `caller_gone`. The connection is closed if the parts don't add up to the size stated in the
    /// head. Precondition: `write_head` was called.
    virtual bool write_body(std::string_view data, bool end) = 0;

    /// Sends buffered data. Returns the same as `write_body`.
    virtual bool flush() = 0;

    /// Sends a small complete answer, a copy of which is kept if it can't be sent at once.
    /// Precondition: `write_head` was not called.
    virtual void answer(base::answer_status status, http::fields const& fields,
                        std::string_view body) = 0;

    /// Closes the connection before the end of the answer, so that the caller sees that the answer
    /// is incomplete. Before its turn, the answers to earlier requests are sent first. Requests
    /// behind it are cancelled: `request_handler::caller_gone` is called for each.
    virtual void abort() = 0;
};

/// Handler of the requests of a `server`. All functions are called on the server's thread, and
/// none of them but `write_ready` for an exchange that has ended.
class request_handler
{
public:
    virtual ~request_handler() = default;

    /// A request has arrived. The handler keeps `it` until the exchange has ended.
    virtual void request_arrived(std::shared_ptr<exchange> it) = 0;

    /// Returns whether the request may run beside others of its connection: it is idempotent, has
    /// no body and will be passed on. Such requests are read before those ahead of them have been
    /// answered. All others are read when no earlier request is open.
    virtual bool may_run_beside_others(request_head const&) const
    {
        return false;
    }

    /// The answers to all earlier requests on the connection have been sent. Called only for
    /// requests that arrived behind another and have not begun their answer.
    virtual void turn_reached(base::local_request_id) {}

    /// `exchange::read_body` can return more of the body, its end or its failure.
    virtual void body_ready(base::local_request_id request) = 0;

    /// The data that `write_body` or `flush` left unsent has been sent. If it was the end of the
    /// answer, the exchange has ended.
    virtual void write_ready(base::local_request_id request) = 0;

    /// The caller has closed its connection or has stopped reading the answer, or the answer to an
    /// earlier request was aborted. The exchange has ended.
    virtual void caller_gone(base::local_request_id request) = 0;
};

} // namespace fuchsiaproxy::callers

#endif
