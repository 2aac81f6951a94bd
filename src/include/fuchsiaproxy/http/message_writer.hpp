#ifndef FUCHSIAPROXY_HTTP_MESSAGE_WRITER_HPP
#define FUCHSIAPROXY_HTTP_MESSAGE_WRITER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

namespace fuchsiaproxy::http
{

/// How the body of an outgoing message is delimited.
enum class body_framing
{
    /// The message has no body; parts passed to `put` are ignored.
    none,
    /// By `Content-Length`.
    counted,
    chunked
};

/// Result of a write.
enum class write_state
{
    done,
    /// The socket's send buffer is full.
    blocked,
    failed
};

/// Serialises one outgoing message and tracks how much of it the socket has accepted. The body is
/// not copied: the head, the chunk header, a part of the body and the chunk end are sent with one
/// gather write.
///
/// Thread safety: none.
class message_writer
{
public:
    /// Starts a message and returns the buffer to which the caller appends the start line and the
    /// fields, except those for the framing. Precondition: `sent_all()`.
    std::string& begin();

    /// Ends the head: appends the framing field and the empty line. With `body_framing::none`,
    /// `length` only sets `Content-Length`, as in a response to HEAD.
    void end_head(body_framing framing, std::optional<std::uint64_t> length);

    /// Adds a part of the body; `end` marks the last one. Returns false if the parts do not add up
    /// to the announced length, after which the message must be aborted. Precondition: no earlier
    /// part is unsent. `data` must stay valid until `sent_all()`.
    bool put(std::string_view data, bool end);

    /// Copies the unsent part of the body, so that the caller may release its buffer.
    void copy_unsent_data();

    /// Returns whether everything added so far has been sent.
    bool sent_all() const noexcept;

    /// Returns whether the whole message, including its last part, has been sent.
    bool finished() const noexcept;

    /// Returns the number of bytes sent since `begin`.
    std::uint64_t bytes_sent() const noexcept;

    /// Writes to the non-blocking `socket` until everything is sent or the socket would block.
    template <class Socket>
    write_state write_to(Socket& socket)
    {
        while (!sent_all())
        {
            boost::system::error_code ec;
            auto const n = socket.write_some(pending_buffers(), ec);
            if (ec)
            {
                auto const again =
                    ec == boost::asio::error::would_block || ec == boost::asio::error::try_again;
                return again ? write_state::blocked : write_state::failed;
            }
            consume(n);
        }
        return write_state::done;
    }

private:
    std::array<boost::asio::const_buffer, 3> pending_buffers() const;
    void consume(std::size_t size);
    bool put_counted(std::string_view data, bool end);
    void put_chunk(std::string_view data, bool end);

    std::string text_;
    std::size_t text_sent_ = 0;
    std::string_view data_;
    std::string_view suffix_;
    body_framing framing_ = body_framing::none;
    std::uint64_t body_remaining_ = 0;
    std::uint64_t bytes_sent_ = 0;
    bool ended_ = false;
};

} // namespace fuchsiaproxy::http

#endif
