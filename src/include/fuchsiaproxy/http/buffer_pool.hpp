#ifndef FUCHSIAPROXY_HTTP_BUFFER_POOL_HPP
#define FUCHSIAPROXY_HTTP_BUFFER_POOL_HPP

#include <cstddef>
#include <memory>
#include <vector>

namespace fuchsiaproxy::http
{

/// Size of a pooled buffer. It also limits the size of a message head, which must fit into one
/// buffer.
constexpr std::size_t buffer_bytes = 16UL * 1024;

class buffer_pool;

/// Move-only handle that owns at most one buffer and returns it to the pool on destruction.
///
/// Thread safety: none; must be used on the thread of its pool.
class pooled_buffer
{
public:
    pooled_buffer() = default;
    pooled_buffer(pooled_buffer&& other) noexcept;
    pooled_buffer& operator=(pooled_buffer&& other) noexcept;
    pooled_buffer(pooled_buffer const&) = delete;
    pooled_buffer& operator=(pooled_buffer const&) = delete;
    ~pooled_buffer();

    /// Returns whether the handle owns a buffer.
    explicit operator bool() const noexcept;

    /// Returns a pointer to `buffer_bytes` bytes, or null if the handle is empty.
    char* data() const noexcept;

    /// Returns the buffer, if any, to its pool.
    void release() noexcept;

private:
    friend class buffer_pool;
    pooled_buffer(buffer_pool& pool, std::unique_ptr<char[]> bytes) noexcept;

    buffer_pool* pool_ = nullptr;
    std::unique_ptr<char[]> bytes_;
};

/// Bounded pool of equally sized buffers for the connections of the traffic thread.
///
/// Thread safety: none; must be used on one thread. The pool must outlive its buffers.
class buffer_pool
{
public:
    /// Creates a pool that hands out at most `limit` buffers at once.
    explicit buffer_pool(std::size_t limit);

    /// Returns a buffer. If `limit` buffers are in use, counts a refusal and returns an empty
    /// handle.
    pooled_buffer take();

    /// Returns how many buffers are in use.
    std::size_t in_use() const noexcept;

    /// Returns the largest number of buffers that were in use at once.
    std::size_t peak() const noexcept;

    /// Returns how many calls of `take` returned an empty handle.
    std::size_t refused() const noexcept;

private:
    friend class pooled_buffer;
    void return_buffer(std::unique_ptr<char[]> bytes) noexcept;

    std::size_t limit_;
    std::size_t in_use_ = 0;
    std::size_t peak_ = 0;
    std::size_t refused_ = 0;
    std::vector<std::unique_ptr<char[]>> free_;
};

} // namespace fuchsiaproxy::http

#endif
