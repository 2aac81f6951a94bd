#ifndef FUCHSIAPROXY_RELAY_RELAY_HPP
#define FUCHSIAPROXY_RELAY_RELAY_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/callers/exchange.hpp"
#include "fuchsiaproxy/http/buffer_pool.hpp"
#include "fuchsiaproxy/upstreams/client.hpp"

namespace fuchsiaproxy::relay
{

/// Receives the relay's events; implemented by the code that decides on attempts. All functions are
/// called on the traffic thread and may call the relay.
class relay_events
{
public:
    virtual ~relay_events() = default;

    /// A request can be attempted: its body is complete, or the relay has buffered as much of it as
    /// its limit allows. A caller that sends slowly therefore occupies no slot of an upstream.
    virtual void request_arrived(callers::request_head const& head) = 0;

    /// Returns whether the request may run beside others of its caller's connection; see
    /// `callers::request_handler`.
    virtual bool may_run_beside_others(callers::request_head const&) const
    {
        return false;
    }

    /// The head of an answer to the attempt contains a notice of its upstream, whether or not the
    /// answer is forwarded.
    virtual void upstream_notified(base::attempt_id, upstreams::upstream_notice const&) {}

    /// An upstream has answered. If the relay buffers answers, this is called once the answer is
    /// complete or exceeds the buffer limit. Returns whether to forward this answer to the caller.
    /// The first accepted answer is forwarded and the request's other attempts are cancelled. An
    /// answer that is not accepted is read to its end and discarded.
    virtual bool attempt_head(base::attempt_id attempt, unsigned status) = 0;

    /// The attempt has ended. Called exactly once for each started attempt, and never from within
    /// `start_attempt` or `cancel_attempt`.
    virtual void attempt_finished(base::attempt_id attempt,
                                  upstreams::attempt_report const& report) = 0;

    /// The body of a request has failed with `kind`. The relay answers it with `reply`, once its
    /// attempts have ended.
    virtual void body_failed(callers::request_head const&, base::error_kind kind,
                             base::error_reply const& reply)
    {
    }

    /// The caller has disconnected, or its request body has failed, so the request needs no answer.
    /// Unanswered attempts that have the whole body continue until they are cancelled. Called at
    /// most once for each request.
    virtual void caller_gone(base::local_request_id request) = 0;
};

/// Parameters of an attempt at a request.
struct attempt_parameters
{
    base::local_request_id request;
    base::attempt_id attempt;
    model::endpoint at;
    base::time_point deadline;
    /// Cut off an answer that is still being forwarded at the deadline which the caller has stated,
    /// or at `deadline` if it has stated none, even if the answer keeps arriving.
    bool ends_at_deadline = false;
    bool idempotent = false;
    std::vector<unsigned> shed_statuses;
    /// Names of the caller's header fields that are not forwarded, under any spelling; see
    /// `http::same_field_name`.
    std::vector<std::string> removed;
    /// Header fields added to the caller's, except those that the caller has sent itself and that
    /// are not in `removed`. A `Request-Id` added here is also returned to the caller in the
    /// answer.
    http::fields added;
};

/// Forwards requests from callers to upstreams and answers back to the callers.
///
/// Thread safety: none; used on the traffic thread.
class relay final : public callers::request_handler
{
public:
    /// All arguments must outlive the relay. `io` is the io_context of the traffic thread. Up to
    /// `max_buffered_bytes` of an answer's body are buffered until it is complete, so that a
    /// truncated answer can be replaced by another attempt's; 0 forwards answers as they arrive.
    /// An answer that waits for its turn on the caller's connection is buffered whole, to release
    /// its upstream. All buffers stay within what the exchange may reserve.
    relay(boost::asio::io_context& io, http::buffer_pool& buffers, upstreams::client& client,
          relay_events& events, std::size_t max_buffered_bytes = 0);
    ~relay() override;

    relay(relay const&) = delete;
    relay& operator=(relay const&) = delete;

    /// Starts an attempt. It is reported as `not_sent` if the request is unknown or already
    /// answered, or if its body has failed or is no longer buffered from its first byte.
    void start_attempt(attempt_parameters const& order);

    /// Cancels an attempt. Does nothing if the attempt is unknown or has finished.
    void cancel_attempt(base::attempt_id attempt);

    /// Answers the request, unless it is unknown or an answer has been started. Running attempts
    /// are not cancelled, but their answers are discarded.
    void answer(base::local_request_id request, base::answer_status status,
                http::fields const& fields, std::string_view body);

    /// Answers the request with the status, body and `Request-Outcome` defined for `kind`, and with
    /// the header fields `added`. Returns the reply, which does not promise that the request has
    /// not run unless its attempts prove it; see `base::reply_for`.
    base::error_reply answer_error(base::local_request_id request, base::error_kind kind,
                                   http::fields const& added = {});

    /// Returns whether the request is unanswered and its body is still buffered from the first
    /// byte, so that it may be attempted again.
    bool can_attempt(base::local_request_id request) const;

    /// Returns the number of requests that have an open exchange or a running attempt.
    std::size_t requests() const;

    bool may_run_beside_others(callers::request_head const& head) const override;
    void turn_reached(base::local_request_id request) override;
    void request_arrived(std::shared_ptr<callers::exchange> it) override;
    void body_ready(base::local_request_id request) override;
    void write_ready(base::local_request_id request) override;
    void caller_gone(base::local_request_id request) override;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::relay

#endif
