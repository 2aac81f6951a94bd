#ifndef FUCHSIAPROXY_UPSTREAMS_RUNNING_ATTEMPT_HPP
#define FUCHSIAPROXY_UPSTREAMS_RUNNING_ATTEMPT_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "connection.hpp"
#include "connection_pool.hpp"
#include "fuchsiaproxy/http/buffer_pool.hpp"
#include "fuchsiaproxy/http/message_reader.hpp"
#include "fuchsiaproxy/http/message_writer.hpp"
#include "fuchsiaproxy/upstreams/attempt.hpp"
#include "fuchsiaproxy/upstreams/client.hpp"

namespace fuchsiaproxy::upstreams
{

class running_attempt;

/// State shared by the attempts of a client.
struct client_context
{
    boost::asio::io_context& io;
    base::timer_service& timers;
    http::buffer_pool& buffers;
    client_settings settings;
    client_counters counters{};
    /// Called when an attempt has been reported.
    std::function<void(running_attempt&)> on_reported{};
};

/// Implementation of `attempt`.
class running_attempt final : public attempt,
                              public connection_handler,
                              public std::enable_shared_from_this<running_attempt>
{
public:
    /// `context` and `pool` must outlive the attempt, unless `abandon` is called first.
    running_attempt(std::shared_ptr<client_context> context, connection_pool& pool,
                    attempt_request request, attempt_events& events);
    ~running_attempt() override;

    void start();
    /// Ends the attempt without a report.
    void abandon();
    /// Ends the attempt if no bytes of the body have arrived for `body_idle_limit`.
    void check_body_idle_limit(base::time_point now);

    answer_part part() override;
    void consume(std::size_t size) override;
    void body_ready() override;
    void forward_until(base::time_point end) override;
    void cancel() override;

    void on_connected(boost::system::error_code ec) override;
    void on_readable() override;
    void on_writable() override;

private:
    void connect();
    void attach(std::shared_ptr<connection> link);
    void on_connect_timeout();
    void on_deadline();
    void send();
    void write_request_head();
    bool put_body_piece();
    void write_request();
    void on_write_failed();
    bool fill_buffer();
    void read_answer_head();
    bool accept_head(http::message_head& head);
    void skip_answer();
    void report_notice(http::message_head const& head);
    base::refusal_attribution attribute_refusal(http::fields const& answer);
    void skip_answer_body();
    bool answer_done() const;
    void finish_shed();
    bool is_reusable() const;
    bool decode_next_part();
    void complete();
    void release_connection(bool reusable);
    void finish(base::attempt_result result);
    void finish_broken();
    void report();

    std::shared_ptr<client_context> context_;
    connection_pool* pool_;
    attempt_request request_;
    attempt_events* events_;
    std::shared_ptr<connection> link_;
    std::unique_ptr<base::timer_subscription> timer_;

    http::message_writer writer_;
    std::uint64_t body_offset_ = 0;

    http::pooled_buffer buffer_;
    std::uint32_t begin_ = 0;
    std::uint32_t end_ = 0;
    std::uint32_t scanned_ = 0;
    std::unique_ptr<http::message_reader> reader_;
    /// Decoded parts of the body in the buffer: the current one, and the following one if it was
    /// decoded while checking for the end of the body.
    std::string_view part_;
    std::string_view next_part_;
    base::time_point connect_started_{};
    base::time_point body_idle_deadline_ = base::time_point::max();

    attempt_report report_;
    bool connecting_ = false;
    bool sending_ = false;
    bool awaits_body_ = false;
    bool write_failed_ = false;
    bool head_done_ = false;
    /// The connection may be used again after the answer.
    bool keep_alive_ = false;
    bool awaits_part_ = false;
    /// The body of the answer ends with the connection.
    bool until_close_ = false;
    bool closed_by_upstream_ = false;
    /// An answer that is not known to be this request's is being skipped.
    bool skipping_answer_ = false;
    /// The connection has carried such an answer and must not be reused.
    bool skipped_answer_ = false;
    bool finished_ = false;
};

} // namespace fuchsiaproxy::upstreams

#endif
