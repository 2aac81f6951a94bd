#ifndef FUCHSIAPROXY_ROUTING_REQUEST_QUEUE_HPP
#define FUCHSIAPROXY_ROUTING_REQUEST_QUEUE_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::routing
{

/// One waiting request. `request` is an index into the dispatcher's table of requests.
struct queue_entry
{
    /// Entries of higher priority are served first.
    std::uint32_t priority = 0;
    /// Entries of lower rank are refused first when the expected wait is too long.
    std::uint32_t rank = 0;
    std::uint32_t request = 0;
    /// Latest time at which it may start.
    base::time_point start_by;
    base::duration expected_service{};
};

/// Bounded queue of one service, by priority and by latest start within a priority. A sorted vector
/// is faster than a tree at the few hundred entries that the bound allows.
class request_queue
{
public:
    explicit request_queue(std::size_t capacity) : capacity_(capacity)
    {
        entries_.reserve(capacity + 1);
    }

    bool full() const noexcept
    {
        return entries_.size() >= capacity_;
    }
    bool empty() const noexcept
    {
        return entries_.empty();
    }
    std::size_t size() const noexcept
    {
        return entries_.size();
    }
    queue_entry const& at(std::size_t n) const noexcept
    {
        return entries_[n];
    }

    /// Precondition: not full.
    void insert(queue_entry const& it)
    {
        entries_.insert(std::upper_bound(entries_.begin(), entries_.end(), it, before), it);
    }

    void erase_at(std::size_t n)
    {
        entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(n));
    }

    /// Removes the entry of `request` if there is one.
    bool erase(std::uint32_t request)
    {
        auto const it = std::find_if(entries_.begin(), entries_.end(),
                                     [&](auto const& e) { return e.request == request; });
        if (it == entries_.end())
        {
            return false;
        }
        entries_.erase(it);
        return true;
    }

    /// Returns the expected work of the entries that would be served before `it`.
    base::duration work_before(queue_entry const& it) const noexcept
    {
        base::duration total{};
        for (auto const& e : entries_)
        {
            if (before(it, e))
            {
                break;
            }
            total += e.expected_service;
        }
        return total;
    }

    /// Returns the position of the entry of the lowest rank below `it.rank` that would be served
    /// before `it`, the latest of them, or `size()` when there is none.
    std::size_t lowest_rank_before(queue_entry const& it) const noexcept
    {
        std::size_t found = entries_.size();
        auto rank = it.rank;
        for (std::size_t n = 0; n < entries_.size() && !before(it, entries_[n]); ++n)
        {
            if (entries_[n].rank < rank || (found != entries_.size() && entries_[n].rank == rank))
            {
                found = n;
                rank = entries_[n].rank;
            }
        }
        return found;
    }

    static bool before(queue_entry const& a, queue_entry const& b) noexcept
    {
        return a.priority != b.priority ? a.priority > b.priority : a.start_by < b.start_by;
    }

private:
    std::size_t capacity_;
    std::vector<queue_entry> entries_;
};

} // namespace fuchsiaproxy::routing

#endif
