#include "lifetime_memory.hpp"

#include <algorithm>

namespace fuchsiaproxy::steering
{

void lifetime_memory::store(upstream_state const& it)
{
    auto const paused = it.paused_until != base::time_point::min();
    if (!it.leaving && !it.record.draining && !paused)
    {
        return;
    }
    if (known_.count(it.record.id) == 0)
    {
        order_.push_back(it.record.id);
    }
    known_[it.record.id] = {it.record.started_at_ms, it.record.sequence,
                            it.record.draining,      it.leaving,
                            it.paused_until,         it.ramp_limit};
    while (order_.size() > max_lifetimes)
    {
        known_.erase(order_.front());
        order_.pop_front();
    }
}

bool lifetime_memory::knows_later_lifetime(upstream_record const& it) const
{
    auto const found = known_.find(it.id);
    return found != known_.end() && it.started_at_ms != 0 &&
           it.started_at_ms < found->second.started_at_ms;
}

void lifetime_memory::restore(upstream_state& it)
{
    auto const found = known_.find(it.record.id);
    if (found == known_.end())
    {
        return;
    }
    auto const& known = found->second;
    // Without a start time, a restart under the same id can't be told from the same lifetime.
    if (known.started_at_ms != 0 && known.started_at_ms == it.record.started_at_ms)
    {
        auto const older = it.record.sequence <= known.sequence;
        it.leaving = known.leaving || (known.draining && older);
        it.paused_until = known.paused_until;
        it.ramp_limit = known.ramp_limit;
    }
    order_.erase(std::find(order_.begin(), order_.end(), found->first));
    known_.erase(found);
}

} // namespace fuchsiaproxy::steering
