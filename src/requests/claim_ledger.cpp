#include "fuchsiaproxy/requests/claim_ledger.hpp"

#include <algorithm>

namespace fuchsiaproxy::requests
{
namespace
{

// A primary accepts its current and its previous generation.
constexpr std::uint32_t accepted_generations = 2;

bool is_active(claim_record const& it) noexcept
{
    return it.state == claim_state::claiming || it.state == claim_state::running;
}

} // namespace

claim_ledger::claim_ledger(claim_limits const& limits, base::time_point now)
    : limits_(limits), rotates_at_(now + limits.generation_length)
{
}

void claim_ledger::rotate(base::time_point now)
{
    if (now < rotates_at_)
    {
        return;
    }
    // After a pause of the process several generations may be due. Skipping them at once ensures
    // that tickets from before the pause are not accepted for longer than others.
    auto const periods = 1 + (now - rotates_at_) / limits_.generation_length;
    generation_ += static_cast<std::uint32_t>(periods);
    rotates_at_ += periods * limits_.generation_length;
    if (generation_ > accepted_generations)
    {
        closed_ = std::max(closed_, generation_ - accepted_generations);
    }
    drop_tombstones_of_closed();
    discard_old();
}

generation_state claim_ledger::state_of(std::uint32_t generation) const noexcept
{
    if (generation <= discarded_)
    {
        return generation_state::discarded;
    }
    if (generation <= closed_)
    {
        return generation_state::closed;
    }
    return generation <= generation_ ? generation_state::open : generation_state::future;
}

claim_record* claim_ledger::find(std::uint32_t generation, std::string const& text)
{
    auto const bucket = generations_.find(generation);
    if (bucket == generations_.end())
    {
        return nullptr;
    }
    auto const it = bucket->second.find(text);
    return it == bucket->second.end() ? nullptr : &it->second;
}

claim_record* claim_ledger::insert(std::uint32_t generation, std::string const& text)
{
    while (size_ >= limits_.max_claims)
    {
        if (!discard_lowest())
        {
            return nullptr;
        }
    }
    auto const added = generations_[generation].try_emplace(text);
    size_ += added.second ? 1 : 0;
    return &added.first->second;
}

void claim_ledger::close_current(base::time_point now)
{
    closed_ = generation_;
    ++generation_;
    rotates_at_ = now + limits_.generation_length;
    drop_tombstones_of_closed();
}

void claim_ledger::drop_tombstones_of_closed()
{
    for (auto bucket = generations_.begin();
         bucket != generations_.end() && bucket->first <= closed_;)
    {
        auto& all = bucket->second;
        for (auto it = all.begin(); it != all.end();)
        {
            if (it->second.state == claim_state::tombstoned)
            {
                it = all.erase(it);
                --size_;
            }
            else
            {
                ++it;
            }
        }
        bucket = all.empty() ? generations_.erase(bucket) : std::next(bucket);
    }
}

void claim_ledger::discard_old()
{
    while (!generations_.empty() &&
           generations_.begin()->first + limits_.kept_generations < closed_)
    {
        if (!discard_lowest())
        {
            return;
        }
    }
}

bool claim_ledger::discard_lowest()
{
    if (generations_.empty() || generations_.begin()->first > closed_)
    {
        return false;
    }
    auto const& [generation, all] = *generations_.begin();
    if (std::any_of(all.begin(), all.end(), [](auto const& it) { return is_active(it.second); }))
    {
        return false;
    }
    discarded_ = std::max(discarded_, generation);
    size_ -= all.size();
    generations_.erase(generations_.begin());
    return true;
}

void claim_ledger::append_state(std::string& out) const
{
    auto const number = [&out](auto value) { out.append(std::to_string(value)).append(","); };
    number(generation_);
    number(closed_);
    number(discarded_);
    number(rotates_at_.time_since_epoch().count());
    for (auto const& [generation, all] : generations_)
    {
        std::map<std::string, claim_record> const sorted(all.begin(), all.end());
        for (auto const& [text, it] : sorted)
        {
            out.append(text).append(":");
            number(static_cast<int>(it.state));
            number(it.status);
            number(it.sent ? 1 : 0);
            number(it.owner ? it.owner->value() : 0);
            number(it.state == claim_state::claiming ? it.claim_expires.time_since_epoch().count()
                                                     : 0);
            for (auto const& waiter : it.waiters)
            {
                number(waiter.value());
            }
        }
        out.append(";");
    }
}

} // namespace fuchsiaproxy::requests
