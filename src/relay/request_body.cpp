#include "request_body.hpp"

#include <algorithm>

namespace fuchsiaproxy::relay
{

request_body::request_body(http::buffer_pool& buffers) : buffers_(buffers) {}

bool request_body::pull(callers::exchange& source)
{
    auto const before = size_;
    while (!ended_ && !failed_ && !full())
    {
        auto const used = static_cast<std::size_t>((size_ - released_) % http::buffer_bytes);
        if (size_ - released_ == blocks_.size() * http::buffer_bytes)
        {
            auto block = buffers_.take();
            if (!block)
            {
                fail(base::error_kind::overloaded);
                break;
            }
            blocks_.push_back(std::move(block));
        }
        auto const read = source.read_body(blocks_.back().data() + used, http::buffer_bytes - used);
        size_ += read.size;
        ended_ = read.state == callers::body_state::end;
        if (read.state == callers::body_state::failed)
        {
            fail(read.error);
        }
        if (read.state == callers::body_state::pending)
        {
            break;
        }
    }
    return size_ > before || ended_;
}

upstreams::body_piece request_body::at(std::uint64_t offset) const
{
    auto const position = static_cast<std::size_t>(offset - released_);
    auto const left = static_cast<std::size_t>(size_ - offset);
    if (left == 0)
    {
        return upstreams::body_piece{{}, ended_};
    }
    auto const begin = position % http::buffer_bytes;
    auto const n = std::min(left, http::buffer_bytes - begin);
    auto const* data = blocks_[position / http::buffer_bytes].data() + begin;
    return upstreams::body_piece{{data, n}, ended_ && n == left};
}

void request_body::release_before(std::uint64_t offset)
{
    while (!ended_ && full() && released_ + http::buffer_bytes <= offset)
    {
        blocks_.erase(blocks_.begin());
        released_ += http::buffer_bytes;
    }
}

void request_body::clear()
{
    blocks_.clear();
    released_ = size_;
}

std::uint64_t request_body::size() const
{
    return size_;
}

bool request_body::ended() const
{
    return ended_;
}

bool request_body::full() const
{
    return size_ - released_ >= max_buffered_body_bytes;
}

bool request_body::buffered_from_start() const
{
    return released_ == 0;
}

bool request_body::failed() const
{
    return failed_;
}

base::error_kind request_body::error() const
{
    return error_;
}

void request_body::fail(base::error_kind kind)
{
    failed_ = true;
    error_ = kind;
}

} // namespace fuchsiaproxy::relay
