#ifndef FUCHSIAPROXY_RELAY_RELAY_IMPL_HPP
#define FUCHSIAPROXY_RELAY_RELAY_IMPL_HPP

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

#include "fuchsiaproxy/relay/relay.hpp"
#include "request_body.hpp"

namespace fuchsiaproxy::relay
{

/// State of a caller's request.
struct request_state
{
    request_state(std::shared_ptr<callers::exchange> it, http::buffer_pool& buffers)
        : exchange(std::move(it)), head_owner(exchange), head(head_owner->head()), body(buffers)
    {
    }

    /// Null once the request is answered completely or has failed, or the caller has disconnected.
    std::shared_ptr<callers::exchange> exchange;
    /// Keeps `head` alive for attempts that outlive `exchange`.
    std::shared_ptr<callers::exchange> head_owner;
    callers::request_head const& head;
    request_body body;
    /// `Request-Id` assigned by the entry; empty if the caller has sent one.
    std::string assigned_request_id;
    /// Attempts whose end has not been reported to the relay.
    std::vector<base::attempt_id> running;
    base::execution_record execution;

    bool is_running(base::attempt_id it) const
    {
        return std::find(running.begin(), running.end(), it) != running.end();
    }

    bool body_complete() const
    {
        return head.content_length == 0U || body.ended();
    }

    /// The attempt whose answer is forwarded to the caller.
    base::attempt_id winner{};
    /// `relay_events::request_arrived` has been called.
    bool announced = false;
    /// An answer has been started, either an upstream's or the entry's own.
    bool answered = false;
    /// The body has failed. The answer waits for the ends of the attempts.
    bool answers_failed_body = false;
    /// `relay_events::caller_gone` has been called.
    bool caller_gone_reported = false;
    /// The exchange has not finished writing a part of the winner's answer.
    bool write_pending = false;
    bool end_written = false;
    /// Buffered beginning of the winner's answer, owned here while the exchange writes it.
    std::string buffered_body;
};

/// State of an attempt at a request.
struct attempt_state
{
    base::local_request_id request;
    std::shared_ptr<upstreams::attempt> attempt;
    /// Offset in the request's body before which the attempt needs no more bytes.
    std::uint64_t offset = 0;
    base::time_point forward_until = base::time_point::max();
    /// Size of the part that the exchange is writing.
    std::size_t part_size = 0;
    bool answered = false;
    /// The answer's head, while the answer is buffered and not yet forwarded.
    std::optional<upstreams::answer_head> buffered_head{};
    std::string buffered_body{};
    /// `buffered_body` contains the whole body.
    bool buffered_to_end = false;
};

class relay::impl final : public upstreams::attempt_events, public upstreams::body_source
{
public:
    impl(boost::asio::io_context& io, http::buffer_pool& buffers, upstreams::client& client,
         relay_events& events, std::size_t max_buffered_bytes)
        : io_(io), buffers_(buffers), client_(client), events_(events),
          max_buffered_bytes_(max_buffered_bytes), alive_(std::make_shared<bool>(true))
    {
    }

    // Calls from the decision logic.
    void start_attempt(attempt_parameters const& order);
    void cancel_attempt(base::attempt_id attempt);
    void answer(base::local_request_id request, base::answer_status status,
                http::fields const& fields, std::string_view body);
    base::error_reply answer_error(base::local_request_id request, base::error_kind kind,
                                   http::fields fields);
    bool can_attempt(base::local_request_id request) const;
    std::size_t requests() const;

    // Events of exchanges with callers.
    bool may_run_beside_others(callers::request_head const& head) const;
    void turn_reached(base::local_request_id request);
    void request_arrived(std::shared_ptr<callers::exchange> it);
    void body_ready(base::local_request_id request);
    void write_ready(base::local_request_id request);
    void caller_gone(base::local_request_id request);

    // Events of attempts at upstreams.
    void upstream_notified(base::attempt_id attempt,
                           upstreams::upstream_notice const& notice) override;
    void attempt_head(base::attempt_id attempt, upstreams::answer_head const& head) override;
    void attempt_readable(base::attempt_id attempt) override;
    void attempt_finished(base::attempt_id attempt,
                          upstreams::attempt_report const& report) override;
    std::optional<std::uint64_t> body_length(base::attempt_id attempt) override;
    upstreams::body_piece body_at(base::attempt_id attempt, std::uint64_t offset) override;

private:
    request_state* find(base::local_request_id request);
    attempt_state* find(base::attempt_id attempt);
    template <class Call>
    void post(Call call);

    void report_not_sent(base::attempt_id attempt);
    void announce(request_state& request);
    void notify_attempts(base::local_request_id id);
    void body_failed(base::local_request_id id);
    void answer_failed_body(request_state& request);
    void report_caller_gone(request_state& request);
    void read_more_body(request_state& request, base::attempt_id attempt);
    void begin_answer(request_state& request, base::attempt_id attempt,
                      upstreams::answer_head const& head);
    void cancel_all(request_state const& request, base::attempt_id except);
    void buffer_answer(base::attempt_id id, bool whole);
    bool buffer_parts(request_state const* request, attempt_state& attempt, bool whole) const;
    void offer_answer(base::attempt_id id, upstreams::answer_head const& head);
    bool write_buffered(request_state& request, attempt_state& attempt);
    void release_buffered(request_state& request);
    void pump(base::attempt_id attempt);
    void pump_to_caller(request_state& request, attempt_state& attempt);
    void discard_answer(base::attempt_id id, attempt_state& attempt);
    void finish_answer(request_state& request);
    void erase_if_finished(base::local_request_id request);

    boost::asio::io_context& io_;
    http::buffer_pool& buffers_;
    upstreams::client& client_;
    relay_events& events_;
    std::size_t max_buffered_bytes_;
    std::unordered_map<base::local_request_id, std::unique_ptr<request_state>> requests_;
    std::unordered_map<base::attempt_id, attempt_state> attempts_;
    /// Destroyed with the relay, so that posted calls can detect its destruction.
    std::shared_ptr<bool> alive_;
};

template <class Call>
void relay::impl::post(Call call)
{
    boost::asio::post(io_,
                      [weak = std::weak_ptr<bool>(alive_), call]()
                      {
                          if (weak.lock())
                          {
                              call();
                          }
                      });
}

} // namespace fuchsiaproxy::relay

#endif
