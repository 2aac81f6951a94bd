#ifndef FUCHSIAPROXY_UPSTREAMS_ATTEMPT_HPP
#define FUCHSIAPROXY_UPSTREAMS_ATTEMPT_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiaproxy/base/attempt_result.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/load_report.hpp"
#include "fuchsiaproxy/base/refusal_attribution.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/http/fields.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "fuchsiaproxy/upstreams/notice.hpp"

namespace fuchsiaproxy::upstreams
{

/// Part of a request's body.
struct body_piece
{
    /// Empty when the next bytes have not arrived yet, or at the end.
    std::string_view data;
    /// No bytes follow `data`.
    bool end = false;
};

/// Body of a request. Each of its attempts reads it independently.
///
/// Thread safety: none; used on the thread of the `client`.
class body_source
{
public:
    virtual ~body_source() = default;

    /// Returns the size of the body if it is known. Called once, when the attempt sends the head.
    virtual std::optional<std::uint64_t> body_length(base::attempt_id attempt) = 0;

    /// Returns the bytes from `offset` on; the attempt no longer needs those before. The data
    /// stays valid until the attempt requests a later offset or has finished. When the piece is
    /// empty and not the end, `attempt::body_ready` is to be called later.
    virtual body_piece body_at(base::attempt_id attempt, std::uint64_t offset) = 0;
};

/// What an attempt sends, and where.
struct attempt_request
{
    base::attempt_id id;
    model::endpoint at;
    std::string method;
    std::string target;
    /// End-to-end fields without the deadline.
    http::fields fields;
    base::time_point deadline;
    bool idempotent = false;
    /// Statuses that the service declares for refusals; see `dialect::is_refusal`.
    std::vector<unsigned> shed_statuses;
    /// Null when there is no body. Must outlive the attempt.
    body_source* body = nullptr;
};

/// Head of an upstream's answer.
struct answer_head
{
    unsigned status = 0;
    /// End-to-end fields of the answer.
    http::fields fields;
    /// Absent for a chunked body. In an answer to HEAD, the stated size; no body follows.
    std::optional<std::uint64_t> content_length;
};

/// How an attempt ended.
struct attempt_report
{
    base::attempt_result result = base::attempt_result::not_sent;
    /// Status of the answer, or 0 if no head arrived.
    unsigned status = 0;
    /// Attribution of the last refusal, if there was one.
    base::refusal_attribution refusal = base::refusal_attribution::none;
    std::uint64_t bytes_sent = 0;
    /// Bytes of the answer's body.
    std::uint64_t bytes_received = 0;
    /// The upstream announced that it accepts no further requests: `Connection: close`, or
    /// `Draining` in a shed answer.
    bool upstream_leaving = false;
    /// Time to connect, if the attempt opened a connection.
    std::optional<base::duration> connect_time;
    /// Load that the upstream reported with its answer.
    std::optional<base::load_report> load;
};

/// Next part of an answer's body.
struct answer_part
{
    /// Empty when the next bytes have not arrived yet, or at the end.
    std::string_view data;
    /// The answer is complete with `data`.
    bool end = false;
};

/// One attempt to send a request to an upstream. All functions may be called after the end; only
/// `part` and `consume` then have an effect, on bytes that have already arrived.
///
/// Thread safety: none; used on the thread of the `client`. No function calls `attempt_events`
/// before it returns.
class attempt
{
public:
    virtual ~attempt() = default;

    /// Returns the next part of the answer's body. When there is none yet, `attempt_readable` is
    /// called later. Precondition: `attempt_head` was called.
    virtual answer_part part() = 0;

    /// Releases the first `size` bytes of the part that `part()` returned last.
    virtual void consume(std::size_t size) = 0;

    /// Replaces the attempt's deadline by `end`, since its answer is being forwarded. The attempt
    /// ends at the deadline even if its answer keeps arriving; the largest time lifts it.
    virtual void forward_until(base::time_point end) = 0;

    /// Notifies the attempt that the body source has more bytes or has ended.
    virtual void body_ready() = 0;

    /// Stops the attempt and closes its connection. It is reported as `not_sent` if no byte was
    /// sent, and as `cancelled` otherwise.
    virtual void cancel() = 0;
};

/// Receiver of the progress of attempts. All functions are called on the thread of the `client`.
class attempt_events
{
public:
    virtual ~attempt_events() = default;

    /// The head of the attempt's own answer contains a notice of the upstream. Called before the
    /// functions below, also for refusals that may not be its own, and not for answers that are
    /// known to belong to other requests.
    virtual void upstream_notified(base::attempt_id, upstream_notice const&) {}

    /// The head of the answer has arrived. Not called for shed answers.
    virtual void attempt_head(base::attempt_id attempt, answer_head const& head) = 0;

    /// The connection is readable after `attempt::part` returned nothing; it is to be called again.
    virtual void attempt_readable(base::attempt_id attempt) = 0;

    /// The attempt has ended; called exactly once for each, and last. After `completed` the rest of
    /// the body can still be read from the attempt.
    virtual void attempt_finished(base::attempt_id attempt, attempt_report const& report) = 0;
};

} // namespace fuchsiaproxy::upstreams

#endif
