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
    /// The message has no body; parts that are put are dropped.
    none,
    counted,
    chunked
};

/// How far a write came.
enum class write_state
{
    done,
    /// The socket takes no more for now.
    blocked,
    failed
};

/// Frames one outgoing message and keeps track of what the socket has taken. The body is not
/// copied: head, chunk header, part of the body and chunk end leave in one gathered write.
///
/// Thread safety: none.
class message_writer
{
public:
    /// Begins a message and returns the text to which the caller appends the start line and the
    /// fields, without those of the framing. Precondition: `sent_all()`.
    std::string& begin();

    /// Ends the head: appends the framing field and the empty line. With `none`, `length` is only
    /// stated.
    void end_head(body_framing framing, std::optional<std::uint64_t> length);

    /// Puts a part of the body; `end` marks the last one. Returns false if the parts don't add up
    /// to the stated length, after which the message must not be continued. Precondition: no
    /// earlier part waits. `data` has to stay valid until `sent_all()`.
    bool put(std::string_view data, bool end);

    /// Copies the part of the body that still waits, so that its source may be released.
    void keep_data();

    /// Returns whether everything put so far has been sent.
    bool sent_all() const noexcept;

    /// Returns whether the last part was put and everything was sent.
    bool finished() const noexcept;

    /// Returns the bytes sent since `begin`.
    std::uint64_t bytes_sent() const noexcept;

    /// Writes to the non-blocking `socket` until everything is sent or it takes no more.
    template <class Socket>
    write_state write_to(Socket& socket)
    {
        while (!sent_all())
        {
            boost::system::error_code ec;
            auto const n = socket.write_some(waiting(), ec);
            if (ec)
            {
                auto const again =
                    ec == boost::asio::error::would_block || ec == boost::asio::error::try_again;
                return again ? write_state::blocked : write_state::failed;
            }
            sent(n);
        }
        return write_state::done;
    }

private:
    std::array<boost::asio::const_buffer, 3> waiting() const;
    void sent(std::size_t size);
    bool put_counted(std::string_view data, bool end);
    void put_chunk(std::string_view data, bool end);

    std::string text_;
    std::size_t text_sent_ = 0;
    std::string_view data_;
    std::string_view suffix_;
    body_framing framing_ = body_framing::none;
    std::uint64_t left_ = 0;
    std::uint64_t bytes_sent_ = 0;
    bool ended_ = false;
};

} // namespace fuchsiaproxy::http

#endif
