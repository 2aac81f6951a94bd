#ifndef FUCHSIAPROXY_HTTP_CHUNKED_BODY_HPP
#define FUCHSIAPROXY_HTTP_CHUNKED_BODY_HPP

#include <cstddef>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/system/error_code.hpp>

namespace fuchsiaproxy::http
{

/// Size of the shortest chunked body, "0 CR LF CR LF".
///
/// Boost.Beast 1.74 asserts that this much is buffered when it continues a last chunk whose first
/// line it has parsed. With fewer bytes of a body without data, the assertion fails.
constexpr std::size_t min_chunked_body = 5;

/// Reads from `stream` until `buffer` holds the first `min_chunked_body` bytes of a chunked body,
/// and then calls `done` with an error code, never from within this function.
///
/// Preconditions: the head of the message has been consumed from `buffer`; `stream` and `buffer`
/// outlive the operation. Errors: those of the stream, `eof` included. Thread safety: as for
/// `stream`.
template <class Stream, class Buffer, class Handler>
void async_read_chunked_start(Stream& stream, Buffer& buffer, Handler done)
{
    constexpr std::size_t read_size = 512;
    if (buffer.size() >= min_chunked_body)
    {
        boost::asio::post(stream.get_executor(), [done = std::move(done)]() mutable
                          { done(boost::system::error_code()); });
        return;
    }
    boost::asio::async_read(
        stream, buffer.prepare(read_size),
        boost::asio::transfer_at_least(min_chunked_body - buffer.size()),
        [&buffer, done = std::move(done)](boost::system::error_code ec, std::size_t n) mutable
        {
            buffer.commit(n);
            done(ec);
        });
}

} // namespace fuchsiaproxy::http

#endif
