#ifndef FUCHSIAPROXY_ROUTING_TIMER_HEAP_HPP
#define FUCHSIAPROXY_ROUTING_TIMER_HEAP_HPP

#include <algorithm>
#include <cstdint>
#include <vector>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::routing
{

enum class timer_kind : std::uint8_t
{
    queue_expiry,
    hedge_due,
    slot_release_due,
    loan_expiry,
    loan_idle,
    borrow_timeout,
    pending_expiry,
    probe_due,
    recheck,
    takeover_end,
    takeover_request_due
};

/// A timer that is due at `at` and refers to row `index` of a table that depends on `kind`.
/// `subject_id` identifies the request, attempt, loan or takeover, so that the handler ignores a
/// timer whose subject was replaced; for `slot_release_due` it is the index of the loan.
struct timer_entry
{
    base::time_point at;
    std::uint64_t subject_id = 0;
    std::uint32_t index = 0;
    timer_kind kind = timer_kind::queue_expiry;
};

/// Min-heap of timers by due time. Timers are never cancelled: the handler checks whether a timer
/// still applies.
class timer_heap
{
public:
    timer_heap()
    {
        heap_.reserve(initial_capacity);
    }

    void push(timer_entry const& it)
    {
        heap_.push_back(it);
        std::push_heap(heap_.begin(), heap_.end(), due_later);
    }

    /// Moves the earliest timer to `out` and returns true if it is due at `now`.
    bool pop_due(base::time_point now, timer_entry& out)
    {
        if (heap_.empty() || heap_.front().at > now)
        {
            return false;
        }
        out = heap_.front();
        std::pop_heap(heap_.begin(), heap_.end(), due_later);
        heap_.pop_back();
        return true;
    }

    base::time_point next() const noexcept
    {
        return heap_.empty() ? base::time_point::max() : heap_.front().at;
    }

private:
    static constexpr std::size_t initial_capacity = 4096;

    static bool due_later(timer_entry const& a, timer_entry const& b) noexcept
    {
        return a.at > b.at;
    }

    std::vector<timer_entry> heap_;
};

} // namespace fuchsiaproxy::routing

#endif
