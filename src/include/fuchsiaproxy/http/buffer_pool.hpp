#ifndef FUCHSIAPROXY_HTTP_BUFFER_POOL_HPP
#define FUCHSIAPROXY_HTTP_BUFFER_POOL_HPP

#include <cstddef>
#include <memory>
#include <vector>

namespace fuchsiaproxy::http
{

/// Size of one pooled buffer; also the limit of a message head, which has to fit into one buffer.
constexpr std::size_t buffer_bytes = 16UL * 1024;

class buffer_pool;

/// Owner of one buffer of a pool, or of none. It returns the buffer when it is destroyed.
///
/// Thread safety: none; used on the thread of its pool.
class pooled_buffer
{
public:
    pooled_buffer() = default;
    pooled_buffer(pooled_buffer&& other) noexcept;
    pooled_buffer& operator=(pooled_buffer&& other) noexcept;
    pooled_buffer(pooled_buffer const&) = delete;
    pooled_buffer& operator=(pooled_buffer const&) = delete;
    ~pooled_buffer();

    /// Returns whether there is a buffer.
    explicit operator bool() const noexcept;

    /// Returns the first of `buffer_bytes` bytes, or null when there is no buffer.
    char* data() const noexcept;

    /// Returns the buffer to its pool.
    void release() noexcept;

private:
    friend class buffer_pool;
    pooled_buffer(buffer_pool& pool, std::unique_ptr<char[]> bytes) noexcept;

    buffer_pool* pool_ = nullptr;
    std::unique_ptr<char[]> bytes_;
};

/// Bounded supply of buffers of one size for the connections of the traffic thread.
///
/// Thread safety: none; used on one thread. It must outlive its buffers.
class buffer_pool
{
public:
    /// Creates a pool that hands out at most `limit` buffers at once.
    explicit buffer_pool(std::size_t limit);

    /// Returns a buffer, or an empty handle and a counted refusal when `limit` are in use.
    pooled_buffer take();

    /// Returns how many buffers are in use.
    std::size_t in_use() const noexcept;

    /// Returns the largest number of buffers that were in use at once.
    std::size_t peak() const noexcept;

    /// Returns how often `take` had no buffer to give.
    std::size_t refused() const noexcept;

private:
    friend class pooled_buffer;
    void give_back(std::unique_ptr<char[]> bytes) noexcept;

    std::size_t limit_;
    std::size_t in_use_ = 0;
    std::size_t peak_ = 0;
    std::size_t refused_ = 0;
    std::vector<std::unique_ptr<char[]>> free_;
};

} // namespace fuchsiaproxy::http

#endif
