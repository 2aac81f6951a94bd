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

/// A caller's request.
struct request_state
{
    request_state(std::shared_ptr<callers::exchange> it, http::buffer_pool& buffers)
        : exchange(std::move(it)), origin(exchange), head(origin->head()), body(buffers)
    {
    }

    /// Null once the answer is with the caller, or the caller is gone.
    std::shared_ptr<callers::exchange> exchange;
    /// Keeps the head for attempts that outlive the exchange.
    std::shared_ptr<callers::exchange> origin;
    callers::request_head const& head;
    request_body body;
    /// `Request-Id` that the entry has given; empty if the caller has sent one.
    std::string given_id;
    /// Attempts that have not been reported.
    std::vector<base::attempt_id> running;

    bool is_running(base::attempt_id it) const
    {
        return std::find(running.begin(), running.end(), it) != running.end();
    }

    bool body_complete() const
    {
        return head.content_length == 0U || body.ended();
    }

    /// The attempt whose answer is passed on.
    base::attempt_id winner{};
    bool announced = false;
    /// The relay's side has answered, or begun to.
    bool answered = false;
    /// The exchange holds a part of the winner's answer.
    bool writing = false;
    bool end_written = false;
    /// Begin of the winner's answer that was held back until it was passed on.
    std::string held_body;
};

struct attempt_state
{
    base::local_request_id request;
    std::shared_ptr<upstreams::attempt> attempt;
    /// The attempt needs no byte of the request's body before this one.
    std::uint64_t offset = 0;
    /// Size of the part that the exchange holds.
    std::size_t part_size = 0;
    bool answered = false;
    /// The beginning of an answer that has not been passed on yet, while it is held back.
    std::optional<upstreams::answer_head> held_head{};
    std::string held_body{};
    bool held_whole = false;
};

class relay::impl final : public upstreams::attempt_events, public upstreams::body_source
{
public:
    impl(boost::asio::io_context& io, http::buffer_pool& buffers, upstreams::client& client,
         relay_events& events, std::size_t held_bytes)
        : io_(io), buffers_(buffers), client_(client), events_(events), held_bytes_(held_bytes),
          alive_(std::make_shared<bool>(true))
    {
    }

    // Decisions.
    void start_attempt(attempt_order const& order);
    void cancel_attempt(base::attempt_id attempt);
    void answer(base::local_request_id request, unsigned status, http::fields const& fields,
                std::string_view body);
    bool can_attempt(base::local_request_id request) const;
    std::size_t requests() const;

    // Caller's side.
    void request_arrived(std::shared_ptr<callers::exchange> it);
    void body_ready(base::local_request_id request);
    void write_ready(base::local_request_id request);
    void caller_gone(base::local_request_id request);

    // Upstream's side.
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

    void refuse_attempt(base::attempt_id attempt);
    void announce(request_state& request);
    void wake_attempts(base::local_request_id id);
    void body_failed(base::local_request_id id);
    void pull_for(request_state& request, base::attempt_id attempt);
    void pass_on(request_state& request, base::attempt_id attempt,
                 upstreams::answer_head const& head);
    void cancel_all(request_state const& request, base::attempt_id except);
    void hold(base::attempt_id id);
    void offer(base::attempt_id id, upstreams::answer_head const& head);
    bool write_held(request_state& request, attempt_state& attempt);
    void pump(base::attempt_id attempt);
    void pump_to_caller(request_state& request, attempt_state& attempt);
    void drop_answer(base::attempt_id id, attempt_state& attempt);
    void release_winner(request_state& request);
    void settle(base::local_request_id request);

    boost::asio::io_context& io_;
    http::buffer_pool& buffers_;
    upstreams::client& client_;
    relay_events& events_;
    std::size_t held_bytes_;
    std::unordered_map<base::local_request_id, std::unique_ptr<request_state>> requests_;
    std::unordered_map<base::attempt_id, attempt_state> attempts_;
    /// Lets posted calls find out that the relay is gone.
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
