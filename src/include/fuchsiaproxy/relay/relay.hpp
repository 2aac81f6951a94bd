#ifndef FUCHSIAPROXY_RELAY_RELAY_HPP
#define FUCHSIAPROXY_RELAY_RELAY_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
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

/// The decisions' side of the data path. All functions are called on the traffic thread; they may
/// call the relay.
class relay_events
{
public:
    virtual ~relay_events() = default;

    /// A request is ready to be attempted: its body is complete, or as much of it is here as the
    /// relay keeps. A caller that sends slowly therefore holds no slot of an upstream.
    virtual void request_arrived(callers::request_head const& head) = 0;

    /// An upstream has answered; with a relay that holds answers, the answer is complete or longer
    /// than is held. Returns whether this answer is to be passed on. The first one
    /// that is accepted wins, and the request's other attempts are cancelled. An answer that is
    /// not accepted is read to its end and dropped.
    virtual bool attempt_head(base::attempt_id attempt, unsigned status) = 0;

    /// The attempt has ended; called exactly once for each started attempt, and never by
    /// `start_attempt` or `cancel_attempt` before they return.
    virtual void attempt_finished(base::attempt_id attempt,
                                  upstreams::attempt_report const& report) = 0;

    /// The caller is gone, or its body has failed, so the request needs no answer. Attempts that
    /// have not been answered go on until they are cancelled, if they have the whole body.
    virtual void caller_gone(base::local_request_id request) = 0;
};

/// Decision to attempt a request.
struct attempt_order
{
    base::local_request_id request;
    base::attempt_id attempt;
    model::endpoint at;
    base::time_point deadline;
    bool idempotent = false;
    std::vector<unsigned> shed_statuses;
    /// Sent besides the caller's fields, unless the caller has sent a field of that name. A
    /// `Request-Id` that is added here is returned to the caller with the answer.
    http::fields added;
};

/// Moves each request between its caller and its attempts.
///
/// Thread safety: none; used on the traffic thread.
class relay final : public callers::request_handler
{
public:
    /// All arguments must outlive the relay. `io` is the io_context of the traffic thread. Up to
    /// `held_bytes` of an answer's body are kept back until it is complete, so that an answer that
    /// breaks off early can be replaced by another attempt's.
    relay(boost::asio::io_context& io, http::buffer_pool& buffers, upstreams::client& client,
          relay_events& events, std::size_t held_bytes = 0);
    ~relay() override;

    relay(relay const&) = delete;
    relay& operator=(relay const&) = delete;

    /// Starts an attempt. It is reported as `not_sent` if the request is unknown, or if part of
    /// its body is no longer kept.
    void start_attempt(attempt_order const& order);

    /// Cancels an attempt. Unknown and finished attempts are left alone.
    void cancel_attempt(base::attempt_id attempt);

    /// Answers the request, unless it is unknown, or an answer was begun. The attempts that run
    /// are not cancelled, but their answers are dropped.
    void answer(base::local_request_id request, unsigned status, http::fields const& fields,
                std::string_view body);

    /// Answers the request with the answer to `kind` and its `Request-Outcome`; `added` are sent
    /// besides.
    void answer_error(base::local_request_id request, base::error_kind kind,
                      http::fields const& added = {});

    /// Returns whether the whole body is kept, so that the request may be attempted again.
    bool can_attempt(base::local_request_id request) const;

    /// Returns the number of requests that have an open exchange or a running attempt.
    std::size_t requests() const;

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
