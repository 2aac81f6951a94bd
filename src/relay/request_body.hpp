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

/// Bytes of a request's body that are kept; a request with a larger body is streamed and cannot
/// be attempted again once its first bytes were dropped.
constexpr std::size_t kept_body_bytes = 64UL * 1024;
static_assert(kept_body_bytes % http::buffer_bytes == 0);

/// The part of a request's body that is kept in memory: from its first byte, or from the first
/// one that an attempt still needs.
///
/// Thread safety: none.
class request_body
{
public:
    explicit request_body(http::buffer_pool& buffers);

    /// Reads from `source` until nothing more is there, the room is used up, or the end.
    /// Returns whether bytes or the end were added.
    bool pull(callers::exchange& source);

    /// Returns the bytes from `offset` to the end of the buffer that they are in. Precondition:
    /// `offset` lies between the first byte that is kept and `size()`.
    upstreams::body_piece at(std::uint64_t offset) const;

    /// Drops buffers that lie before `offset`, if there is no room for more.
    void make_room(std::uint64_t offset);

    /// Releases everything.
    void clear();

    /// Returns how many bytes were read so far.
    std::uint64_t size() const;
    /// Returns whether the body is complete.
    bool ended() const;
    /// Returns whether there is no room for more.
    bool full() const;
    /// Returns whether the first byte is still kept.
    bool is_whole() const;
    /// Returns whether the body cannot be completed, for the reason `error()`.
    bool failed() const;
    base::error_kind error() const;

private:
    void fail(base::error_kind kind);

    http::buffer_pool& buffers_;
    std::vector<http::pooled_buffer> blocks_;
    std::uint64_t dropped_ = 0;
    std::uint64_t size_ = 0;
    bool ended_ = false;
    bool failed_ = false;
    base::error_kind error_ = base::error_kind::bad_request;
};

} // namespace fuchsiaproxy::relay

#endif
