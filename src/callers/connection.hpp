#ifndef FUCHSIAPROXY_CALLERS_CONNECTION_HPP
#define FUCHSIAPROXY_CALLERS_CONNECTION_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "fuchsiaproxy/callers/exchange.hpp"
#include "fuchsiaproxy/callers/server.hpp"
#include "fuchsiaproxy/http/buffer_pool.hpp"
#include "fuchsiaproxy/http/message_reader.hpp"
#include "fuchsiaproxy/http/message_writer.hpp"

namespace fuchsiaproxy::callers
{

class connection;

/// State shared by the connections of a server.
struct server_core
{
    boost::asio::io_context& io;
    base::timer_service& timers;
    http::buffer_pool& buffers;
    request_handler& handler;
    server_settings settings;
    server_counters counters{};
    bool draining = false;
    std::uint64_t last_request = 0;
    std::size_t exchanges = 0;
    /// Number of connections that have a request in progress or may still receive one.
    std::size_t active = 0;
    std::function<void()> activity_ended{};
    std::function<void(connection&)> closed{};
};

/// The `exchange` that is passed to handlers: forwards each call to its connection.
class request_exchange final : public exchange
{
public:
    request_exchange(std::shared_ptr<connection> owner, request_head head);

    request_head const& head() const override;
    bool ended() const override;
    body_read read_body(char* to, std::size_t size) override;
    void write_head(answer_head const& head) override;
    bool write_body(std::string_view data, bool end) override;
    bool flush() override;
    void answer(base::answer_status status, http::fields const& fields,
                std::string_view body) override;
    void abort() override;

    /// Ends the exchange by releasing its connection.
    void detach();

private:
    std::shared_ptr<connection> owner_;
    request_head head_;
};

/// Connection of a caller; handles one request at a time.
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
    /// Closes the connection if it is idle; otherwise it closes after its request.
    void drain();
    /// Closes the socket without calling the handler.
    void close();

    body_read read_body(char* to, std::size_t size);
    void write_head(answer_head const& head);
    bool write_body(std::string_view data, bool end);
    bool flush();
    void answer(base::answer_status status, http::fields const& fields, std::string_view body);
    void abort();

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
    void begin_exchange(std::string_view text);
    void refuse(base::error_kind kind);
    void count_refusal(base::error_kind kind);

    void check_for_disconnect();
    void on_body_input();
    body_read body_failure(base::error_kind kind);
    void stop_awaiting_body();
    std::size_t copy_body(char* to, std::size_t size);
    bool decode_body_part();
    void send_continue();
    bool body_done() const;

    bool write();
    void wait_writable();
    void on_writable();
    bool after_write(http::write_state state);
    void post_caller_gone();
    void on_caller_gone();

    void end_exchange();
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
    std::shared_ptr<request_exchange> exchange_;

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

    bool active_ = true;
    bool waiting_readable_ = false;
    bool processing_input_ = false;
    bool served_ = false;
    bool close_after_answer_ = false;
    bool head_request_ = false;
    bool expects_continue_ = false;
    bool body_failed_ = false;
    bool awaits_body_ = false;
    bool head_written_ = false;
    bool writing_ = false;
    bool caller_half_closed_ = false;
    bool caller_gone_posted_ = false;
};

} // namespace fuchsiaproxy::callers

#endif
