#include "fuchsiaproxy/http/buffer_pool.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaproxy::http
{
namespace
{

// Maximum number of free buffers kept for reuse. Further ones are deallocated, so that memory use
// shrinks again after a burst.
constexpr std::size_t max_free_buffers = 256;

} // namespace

pooled_buffer::pooled_buffer(buffer_pool& pool, std::unique_ptr<char[]> bytes) noexcept
    : pool_(&pool), bytes_(std::move(bytes))
{
}

pooled_buffer::pooled_buffer(pooled_buffer&& other) noexcept
    : pool_(std::exchange(other.pool_, nullptr)), bytes_(std::move(other.bytes_))
{
}

pooled_buffer& pooled_buffer::operator=(pooled_buffer&& other) noexcept
{
    if (this != &other)
    {
        release();
        pool_ = std::exchange(other.pool_, nullptr);
        bytes_ = std::move(other.bytes_);
    }
    return *this;
}

pooled_buffer::~pooled_buffer()
{
    release();
}

pooled_buffer::operator bool() const noexcept
{
    return bytes_ != nullptr;
}

char* pooled_buffer::data() const noexcept
{
    return bytes_.get();
}

void pooled_buffer::release() noexcept
{
    if (bytes_)
    {
        std::exchange(pool_, nullptr)->return_buffer(std::move(bytes_));
    }
}

buffer_pool::buffer_pool(std::size_t limit) : limit_(limit)
{
    free_.reserve(std::min(limit, max_free_buffers));
}

pooled_buffer buffer_pool::take()
{
    if (in_use_ >= limit_)
    {
        ++refused_;
        return {};
    }
    std::unique_ptr<char[]> bytes;
    if (free_.empty())
    {
        bytes.reset(new char[buffer_bytes]);
    }
    else
    {
        bytes = std::move(free_.back());
        free_.pop_back();
    }
    ++in_use_;
    peak_ = std::max(peak_, in_use_);
    return pooled_buffer(*this, std::move(bytes));
}

std::size_t buffer_pool::in_use() const noexcept
{
    return in_use_;
}

std::size_t buffer_pool::peak() const noexcept
{
    return peak_;
}

std::size_t buffer_pool::refused() const noexcept
{
    return refused_;
}

void buffer_pool::return_buffer(std::unique_ptr<char[]> bytes) noexcept
{
    --in_use_;
    if (free_.size() < free_.capacity())
    {
        free_.push_back(std::move(bytes));
    }
}

} // namespace fuchsiaproxy::http
