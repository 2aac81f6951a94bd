#ifndef FUCHSIAPROXY_CALLERS_CONNECTION_HPP
#define FUCHSIAPROXY_CALLERS_CONNECTION_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "fuchsiaproxy/callers/exchange.hpp"
#include "fuchsiaproxy/http/buffer_pool.hpp"
#include "fuchsiaproxy/http/message_reader.hpp"
#include "fuchsiaproxy/http/message_writer.hpp"
#include "request_exchange.hpp"
#include "server_core.hpp"

namespace fuchsiaproxy::callers
{

/// Connection of a caller. Its open requests form a line: the answers are sent in the order of the
/// requests. More than one request is open only if the handler lets each of them run beside others.
///
/// The socket is non-blocking: reads and writes are attempted at once and waited for only when they
/// would block. An idle connection therefore uses no buffer, and a request that arrives in one
/// packet costs one wake-up of the event loop.
class connection final : public std::enable_shared_from_this<connection>
{
public:
    connection(std::shared_ptr<server_core> core, boost::asio::ip::tcp::socket socket,
               std::string address);
    ~connection();

    std::string const& address() const;
    void start();
    /// Enforces the time limit of the current phase.
    void check_limits(base::time_point now);
    /// Closes the connection if it is idle; otherwise it closes after its open requests.
    void drain();
    /// Closes the socket without calling the handler.
    void close();

    body_read read_body(char* to, std::size_t size);
    bool is_in_turn(request_exchange const& it) const;
    bool reserve(request_exchange& it, std::size_t bytes);
    void release(request_exchange& it, std::size_t bytes);
    void write_head(request_exchange& it, answer_head const& head);
    bool write_body(request_exchange& it, std::string_view data, bool end);
    bool flush(request_exchange& it);
    void answer(request_exchange& it, base::answer_status status, http::fields const& fields,
                std::string_view body);
    void abort(request_exchange& it);

private:
    enum class phase
    {
        idle,
        head,
        exchange,
        lingering,
        closed
    };

    void wait_readable();
    void on_readable();
    void on_input();
    std::size_t fill(bool& broken);
    void process_input();
    bool read_head();
    bool begin_exchange(std::string_view text);
    bool refuse_head(base::error_kind kind);
    void pass_on(request_head request);
    void refuse(base::error_kind kind);
    void count_refusal(base::error_kind kind);

    bool is_behind_others() const;
    bool stops_after_line() const;
    bool runs_beside_others();
    bool is_at_bound() const;
    bool may_read_ahead();
    void read_ahead();
    void post_resume();
    void resume();
    void begin_turn();
    void send_waiting(request_exchange& it);
    void drop_behind(std::size_t first);
    void post_callers_gone(std::vector<base::local_request_id> const& ids);
    std::vector<base::local_request_id> open_requests() const;
    void end_exchange(request_exchange& it);
    void count_reserved(request_exchange& it, std::size_t bytes);

    void check_for_disconnect();
    void check_for_hang_up();
    void on_body_input();
    body_read body_failure(base::error_kind kind);
    void stop_awaiting_body();
    std::size_t copy_body(char* to, std::size_t size);
    bool decode_body_part();
    void send_continue();
    bool body_done() const;

    void send_head(request_exchange const& it, answer_head const& head);
    bool write();
    bool made_progress();
    void wait_writable();
    void on_writable();
    bool after_write(http::write_state state);
    void post_caller_gone();
    void on_caller_gone();

    void finish_answer();
    void await_request();
    void linger();
    void discard();
    void mark_inactive();

    std::shared_ptr<server_core> core_;
    boost::asio::ip::tcp::socket socket_;
    std::string address_;
    phase phase_ = phase::idle;
    base::time_point limit_at_ = base::time_point::max();
    /// Open requests in the order in which they arrived, and perhaps an aborted one at the end.
    std::vector<std::shared_ptr<request_exchange>> line_;
    /// Sum of the exchanges' reserved bytes.
    std::size_t reserved_ = 0;

    http::pooled_buffer buffer_;
    std::uint32_t begin_ = 0;
    std::uint32_t end_ = 0;
    std::uint32_t scanned_ = 0;
    std::unique_ptr<http::message_reader> reader_;
    /// Body bytes in the buffer that are decoded but not yet passed to the handler.
    std::string_view body_part_;
    std::uint64_t body_bytes_ = 0;
    base::error_kind body_error_ = base::error_kind::bad_request;
    http::message_writer writer_;
    std::size_t lingered_ = 0;
    /// Bytes that the kernel had not delivered when progress was last checked.
    std::size_t undelivered_ = 0;

    bool active_ = true;
    bool waiting_readable_ = false;
    bool processing_input_ = false;
    bool served_ = false;
    bool close_after_answer_ = false;
    /// The first request of the line may run beside others; unset until it is asked.
    std::optional<bool> runs_beside_others_;
    /// The next head in the buffer has to wait until the line is empty.
    bool head_waits_ = false;
    /// The socket has input that is not read for now, so a disconnect behind it is not noticed.
    bool has_unread_input_ = false;
    /// `resume` has been posted. The first request of the line is not yet in turn.
    bool resume_posted_ = false;
    /// The request in progress has a body.
    bool has_body_ = false;
    bool expects_continue_ = false;
    bool body_failed_ = false;
    bool awaits_body_ = false;
    bool head_written_ = false;
    /// The kernel's share of unsent bytes has been limited.
    bool limits_unsent_ = false;
    bool writing_ = false;
    bool caller_half_closed_ = false;
    bool caller_gone_posted_ = false;
};

} // namespace fuchsiaproxy::callers

#endif
