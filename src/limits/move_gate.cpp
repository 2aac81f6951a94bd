#include "fuchsiaproxy/limits/move_gate.hpp"

#include <algorithm>

namespace fuchsiaproxy::limits
{

void move_gate::set_limit(std::uint64_t limit)
{
    limit_ = std::min(limit, max_limit);
    if (limit_ <= times_.size())
    {
        return;
    }
    std::vector<base::time_point> grown(limit_);
    for (std::size_t n = 0; n < size_; ++n)
    {
        grown[n] = times_[(first_ + n) % times_.size()];
    }
    times_ = std::move(grown);
    first_ = 0;
}

bool move_gate::admits(base::time_point now)
{
    drop_old(now);
    return size_ < limit_;
}

void move_gate::charge(base::time_point now)
{
    times_[(first_ + size_) % times_.size()] = now;
    ++size_;
}

std::size_t move_gate::in_window(base::time_point now)
{
    drop_old(now);
    return size_;
}

void move_gate::drop_old(base::time_point now)
{
    while (size_ > 0 && times_[first_] + limit_window <= now)
    {
        first_ = (first_ + 1) % times_.size();
        --size_;
    }
}

bool bit_gate::admits(std::uint64_t bits, base::time_point now)
{
    advance(now);
    return total_ <= limit_ && bits <= limit_ - total_;
}

void bit_gate::charge(std::uint64_t bits, base::time_point now)
{
    advance(now);
    buckets_[static_cast<std::size_t>(current_ % bucket_count)] += bits;
    total_ += bits;
}

void bit_gate::advance(base::time_point now)
{
    auto const bucket = now.time_since_epoch() / (limit_window / buckets_per_window);
    if (bucket - current_ >= bucket_count)
    {
        buckets_.fill(0);
        total_ = 0;
        current_ = bucket;
        return;
    }
    while (current_ < bucket)
    {
        ++current_;
        auto& reused = buckets_[static_cast<std::size_t>(current_ % bucket_count)];
        total_ -= reused;
        reused = 0;
    }
}

} // namespace fuchsiaproxy::limits
