#ifndef FUCHSIAPROXY_RELAY_REQUEST_BODY_HPP
#define FUCHSIAPROXY_RELAY_REQUEST_BODY_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include "fuchsiaproxy/callers/exchange.hpp"
#include "fuchsiaproxy/http/buffer_pool.hpp"
#include "fuchsiaproxy/upstreams/attempt.hpp"

namespace fuchsiaproxy::relay
{

/// Maximum number of buffered bytes of a request's body. A larger body is streamed, and the request
/// cannot be attempted again once the first bytes have been released.
constexpr std::size_t max_buffered_body_bytes = 64UL * 1024;
static_assert(max_buffered_body_bytes % http::buffer_bytes == 0);

/// The buffered part of a request's body. It begins at the first byte or, once the body exceeds the
/// limit, at the first byte that an attempt still needs.
///
/// Thread safety: none.
class request_body
{
public:
    explicit request_body(http::buffer_pool& buffers);

    /// Reads from `source` until no more data is available, the buffer is full, or the body ends.
    /// Returns whether bytes were added or the end was reached.
    bool pull(callers::exchange& source);

    /// Returns the bytes from `offset` to the end of the block that contains them. Precondition:
    /// `offset` lies between the first buffered byte and `size()`.
    upstreams::body_piece at(std::uint64_t offset) const;

    /// Releases blocks that end at or before `offset`, as long as the buffer is full and the body
    /// has not ended.
    void release_before(std::uint64_t offset);

    /// Releases all blocks.
    void clear();

    /// Returns the number of bytes read so far.
    std::uint64_t size() const;
    /// Returns whether the end of the body has been read.
    bool ended() const;
    /// Returns whether the buffer has reached its limit.
    bool full() const;
    /// Returns whether the body is still buffered from its first byte.
    bool buffered_from_start() const;
    /// Returns whether the body cannot be completed, for the reason `error()`.
    bool failed() const;
    base::error_kind error() const;

private:
    void fail(base::error_kind kind);

    http::buffer_pool& buffers_;
    std::vector<http::pooled_buffer> blocks_;
    std::uint64_t released_ = 0;
    std::uint64_t size_ = 0;
    bool ended_ = false;
    bool failed_ = false;
    base::error_kind error_ = base::error_kind::bad_request;
};

} // namespace fuchsiaproxy::relay

#endif
