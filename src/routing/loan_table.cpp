#include "loan_table.hpp"

#include <algorithm>

namespace fuchsiaproxy::routing
{

std::uint32_t loan_table::open(std::uint32_t service, std::uint32_t lender, base::time_point now)
{
    if (unused_.empty())
    {
        unused_.push_back(static_cast<std::uint32_t>(loans_.size()));
        loans_.emplace_back();
    }
    auto const index = unused_.back();
    unused_.pop_back();
    active_.push_back(index);
    auto& it = loans_[index];
    it = {};
    it.number = next_number_++;
    it.service = service;
    it.lender = lender;
    it.requested_at = now;
    return index;
}

std::uint32_t loan_table::find(std::uint64_t number) const noexcept
{
    for (auto const index : active_)
    {
        if (loans_[index].number == number)
        {
            return index;
        }
    }
    return no_index;
}

std::uint32_t loan_table::find_idle(std::uint32_t upstream, base::time_point now) const noexcept
{
    for (auto const index : active_)
    {
        auto const& it = loans_[index];
        if (it.upstream == upstream && !it.in_use && now < it.expires)
        {
            return index;
        }
    }
    return no_index;
}

std::uint32_t loan_table::idle_count(std::uint32_t upstream, base::time_point now) const noexcept
{
    std::uint32_t count = 0;
    for (auto const index : active_)
    {
        auto const& it = loans_[index];
        count += it.upstream == upstream && !it.in_use && now < it.expires ? 1 : 0;
    }
    return count;
}

void loan_table::remove(std::uint32_t index) noexcept
{
    active_.erase(std::remove(active_.begin(), active_.end(), index), active_.end());
    loans_[index] = {};
    unused_.push_back(index);
}

} // namespace fuchsiaproxy::routing
