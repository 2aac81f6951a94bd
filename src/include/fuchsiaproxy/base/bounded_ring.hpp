#ifndef FUCHSIAPROXY_BASE_BOUNDED_RING_HPP
#define FUCHSIAPROXY_BASE_BOUNDED_RING_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <utility>

#include <boost/circular_buffer.hpp>

namespace fuchsiaproxy::base
{

/// Bounded first-in first-out queue between threads. A full ring rejects new items instead of
/// blocking.
///
/// Thread safety: any number of producers and one consumer.
template <class T>
class bounded_ring
{
public:
    /// Creates a ring of `capacity` items. `wake` is called, outside the lock and on the producer's
    /// thread, when the ring changes from empty to non-empty. Precondition: `capacity > 0`.
    explicit bounded_ring(std::size_t capacity, std::function<void()> wake = {})
        : items_(capacity), wake_(std::move(wake))
    {
    }

    /// Appends `item`, or returns false and increments `refused` if the ring is full. Thread safe.
    bool try_push(T item)
    {
        bool was_empty = false;
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            if (items_.full())
            {
                ++refused_;
                return false;
            }
            was_empty = items_.empty();
            items_.push_back(std::move(item));
        }
        if (was_empty && wake_)
        {
            wake_();
        }
        return true;
    }

    /// Removes the items that are queued at the time of the call, passes each to `consume` in order
    /// and returns their number. Precondition: called on the consumer's thread only.
    template <class Consumer>
    std::size_t drain(Consumer&& consume)
    {
        boost::circular_buffer<T> batch;
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            batch.set_capacity(items_.capacity());
            batch.swap(items_);
        }
        for (auto& it : batch)
        {
            consume(std::move(it));
        }
        return batch.size();
    }

    /// Returns how many items were rejected so far. Thread safe.
    std::uint64_t refused() const
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return refused_;
    }

private:
    mutable std::mutex mutex_;
    boost::circular_buffer<T> items_;
    std::function<void()> wake_;
    std::uint64_t refused_ = 0;
};

} // namespace fuchsiaproxy::base

#endif
