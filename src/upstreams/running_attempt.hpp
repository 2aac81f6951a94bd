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

/// What the attempts of a client share.
struct client_core
{
    boost::asio::io_context& io;
    base::timer_service& timers;
    http::buffer_pool& buffers;
    client_settings settings;
    client_counters counters{};
    /// Called when an attempt has been reported.
    std::function<void(running_attempt&)> reported{};
};

/// Implementation of `attempt`.
class running_attempt final : public attempt,
                              public connection_user,
                              public std::enable_shared_from_this<running_attempt>
{
public:
    /// `core` and `pool` must outlive the attempt, unless `abandon` is called first.
    running_attempt(std::shared_ptr<client_core> core, connection_pool& pool,
                    attempt_request request, attempt_events& events);
    ~running_attempt() override;

    void start();
    /// Ends the attempt without a report.
    void abandon();
    /// Ends the attempt if the upstream has been silent for too long in the body.
    void check_limits(base::time_point now);

    answer_part part() override;
    void consume(std::size_t size) override;
    void body_ready() override;
    void cancel() override;

    void on_connected(boost::system::error_code ec) override;
    void on_readable() override;
    void on_writable() override;

private:
    void connect();
    void use(std::shared_ptr<connection> link);
    void on_connect_limit();
    void on_deadline();
    void send();
    void write_request_head();
    bool put_body();
    void pump_request();
    void on_write_failed();
    bool fill();
    void read_answer_head();
    bool accept_head(http::message_head& head);
    bool starts_foreign_answer(http::message_head const& head);
    void skip_foreign_answer();
    bool answer_done() const;
    void finish_shed();
    bool is_reusable() const;
    bool step();
    void complete();
    void release_connection(bool reusable);
    void finish(base::attempt_result result);
    void break_off();
    void report();

    std::shared_ptr<client_core> core_;
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
    /// Parts of the body in the buffer: the current one, and one that was found while looking for
    /// the end behind it.
    std::string_view part_;
    std::string_view next_part_;
    base::time_point connect_started_{};
    base::time_point limit_at_ = base::time_point::max();

    attempt_report report_;
    bool connecting_ = false;
    bool sending_ = false;
    bool awaits_body_ = false;
    bool write_failed_ = false;
    bool head_done_ = false;
    bool keep_alive_ = false;
    bool awaits_part_ = false;
    /// The body of the answer ends with the connection.
    bool until_close_ = false;
    bool closed_by_upstream_ = false;
    /// An answer to an earlier request is being skipped.
    bool foreign_ = false;
    /// The connection has carried an answer that belongs to no request of its own.
    bool untidy_ = false;
    bool finished_ = false;
};

} // namespace fuchsiaproxy::upstreams

#endif
