#include "fuchsiaproxy/requests/witness_ledger.hpp"

#include <algorithm>

namespace fuchsiaproxy::requests
{
namespace
{

using messages::request_state;

// A primary accepts its current and its previous generation.
constexpr std::uint32_t accepted_generations = 2;

} // namespace

bool witness_ledger::register_primary(entry_incarnation const& primary, std::uint32_t generation,
                                      base::time_point now)
{
    auto* const it = add_primary(primary, now);
    if (it == nullptr)
    {
        return false;
    }
    it->last_contact = now;
    if (generation > it->highest_generation)
    {
        it->highest_generation = generation;
        if (generation > accepted_generations)
        {
            close(*it, generation - accepted_generations);
        }
    }
    return true;
}

bool witness_ledger::grant(request_id const& id, std::string const& text, base::time_point now)
{
    auto const generation = id.issued.generation;
    if (!register_primary(id.issued.primary, generation, now))
    {
        return false;
    }
    auto& primary = primaries_.find(id.issued.primary)->second;
    if (auto const* const known = find(primary, generation, text))
    {
        return known->state == request_state::running;
    }
    if (generation <= primary.closed)
    {
        return false;
    }
    if (!insert(primary, generation, text, request_state::running, now))
    {
        close(primary, generation);
        return false;
    }
    return true;
}

witness_record witness_ledger::resolve(request_id const& id, std::string const& text,
                                       base::time_point now)
{
    auto const generation = id.issued.generation;
    auto* const primary = find_primary(id);
    if (primary == nullptr)
    {
        return {};
    }
    if (auto const* const known = find(*primary, generation, text))
    {
        return *known;
    }
    if (generation <= primary->discarded)
    {
        return {};
    }
    // No ticket of that generation can exist yet. If a tombstone were placed on the id and later
    // discarded, the generation would be closed and all tickets of the primary up to it refused.
    if (generation > primary->highest_generation + 1)
    {
        return {};
    }
    if (generation > primary->closed &&
        !insert(*primary, generation, text, request_state::tombstoned, now))
    {
        close(*primary, generation);
    }
    return {request_state::tombstoned, 0};
}

bool witness_ledger::record_done(request_id const& id, std::string const& text,
                                 std::uint32_t status, base::time_point now)
{
    auto* const primary = find_primary(id);
    if (primary == nullptr || id.issued.generation <= primary->discarded)
    {
        return true;
    }
    auto* const known = find(*primary, id.issued.generation, text);
    if (known == nullptr || known->state == request_state::tombstoned)
    {
        return false;
    }
    known->state = request_state::done;
    known->status = status;
    primary->generations[id.issued.generation].last_change = now;
    return true;
}

bool witness_ledger::withdraw(request_id const& id, std::string const& text, base::time_point now)
{
    auto const generation = id.issued.generation;
    auto* const primary = find_primary(id);
    if (primary == nullptr || generation <= primary->discarded)
    {
        return true;
    }
    if (auto* const known = find(*primary, generation, text))
    {
        if (known->state == request_state::done)
        {
            return false;
        }
        known->state = request_state::tombstoned;
        return true;
    }
    if (generation > primary->closed &&
        !insert(*primary, generation, text, request_state::tombstoned, now))
    {
        close(*primary, generation);
    }
    return true;
}

void witness_ledger::expire(base::time_point now)
{
    for (auto& [name, primary] : primaries_)
    {
        while (!primary.generations.empty() &&
               primary.generations.begin()->second.last_change + limits_.witness_retention <= now)
        {
            discard_lowest(primary);
        }
    }
}

witness_ledger::primary_records* witness_ledger::add_primary(entry_incarnation const& primary,
                                                             base::time_point now)
{
    auto const known = primaries_.find(primary);
    if (known != primaries_.end())
    {
        return &known->second;
    }
    if (primary.number <= highest_evicted_)
    {
        return nullptr;
    }
    if (primaries_.size() >= limits_.max_primaries && !evict_silent_primary(now))
    {
        return nullptr;
    }
    // Evicting another primary may have raised `highest_evicted_` to this incarnation or above.
    if (primary.number <= highest_evicted_)
    {
        return nullptr;
    }
    return &primaries_[primary];
}

bool witness_ledger::evict_silent_primary(base::time_point now)
{
    auto const oldest = std::min_element(primaries_.begin(), primaries_.end(),
                                         [](auto const& a, auto const& b)
                                         { return a.second.last_contact < b.second.last_contact; });
    if (oldest == primaries_.end() || oldest->second.last_contact + limits_.witness_retention > now)
    {
        return false;
    }
    highest_evicted_ = std::max(highest_evicted_, oldest->first.number);
    for (auto const& [generation, it] : oldest->second.generations)
    {
        size_ -= it.all.size();
    }
    primaries_.erase(oldest);
    return true;
}

witness_ledger::primary_records* witness_ledger::find_primary(request_id const& id)
{
    auto const it = primaries_.find(id.issued.primary);
    return it == primaries_.end() ? nullptr : &it->second;
}

witness_record* witness_ledger::find(primary_records& primary, std::uint32_t generation,
                                     std::string const& text)
{
    auto const bucket = primary.generations.find(generation);
    if (bucket == primary.generations.end())
    {
        return nullptr;
    }
    auto const it = bucket->second.all.find(text);
    return it == bucket->second.all.end() ? nullptr : &it->second;
}

bool witness_ledger::insert(primary_records& primary, std::uint32_t generation,
                            std::string const& text, request_state state, base::time_point now)
{
    while (size_ >= limits_.max_witness_records)
    {
        if (!discard_oldest())
        {
            return false;
        }
    }
    auto& bucket = primary.generations[generation];
    bucket.last_change = now;
    bucket.all.try_emplace(text, witness_record{state, 0});
    ++size_;
    return true;
}

void witness_ledger::close(primary_records& primary, std::uint32_t generation)
{
    primary.closed = std::max(primary.closed, generation);
    // Ids of a closed generation that have no record are refused, so tombstones are redundant.
    for (auto bucket = primary.generations.begin();
         bucket != primary.generations.end() && bucket->first <= primary.closed;)
    {
        auto& all = bucket->second.all;
        for (auto it = all.begin(); it != all.end();)
        {
            if (it->second.state == request_state::tombstoned)
            {
                it = all.erase(it);
                --size_;
            }
            else
            {
                ++it;
            }
        }
        bucket = all.empty() ? primary.generations.erase(bucket) : std::next(bucket);
    }
}

bool witness_ledger::discard_oldest()
{
    primary_records* oldest = nullptr;
    for (auto& [name, it] : primaries_)
    {
        if (it.generations.empty() || it.generations.begin()->first > it.closed)
        {
            continue;
        }
        if (oldest == nullptr || it.generations.begin()->second.last_change <
                                     oldest->generations.begin()->second.last_change)
        {
            oldest = &it;
        }
    }
    if (oldest == nullptr)
    {
        return false;
    }
    discard_lowest(*oldest);
    return true;
}

void witness_ledger::discard_lowest(primary_records& primary)
{
    auto const generation = primary.generations.begin()->first;
    // Closing the generation drops its tombstones but still refuses their ids. If it held nothing
    // else, no record is lost and `discarded` needn't be raised.
    close(primary, generation);
    auto const lowest = primary.generations.find(generation);
    if (lowest == primary.generations.end())
    {
        return;
    }
    primary.discarded = std::max(primary.discarded, generation);
    size_ -= lowest->second.all.size();
    primary.generations.erase(lowest);
}

void witness_ledger::append_state(std::string& out) const
{
    auto const number = [&out](auto value) { out.append(std::to_string(value)).append(","); };
    number(highest_evicted_.value());
    for (auto const& [name, primary] : primaries_)
    {
        out.append(name.instance.value()).append("/");
        number(name.number.value());
        number(primary.highest_generation);
        number(primary.closed);
        number(primary.discarded);
        number(primary.last_contact.time_since_epoch().count());
        for (auto const& [generation, bucket] : primary.generations)
        {
            number(generation);
            number(bucket.last_change.time_since_epoch().count());
            std::map<std::string, witness_record> const sorted(bucket.all.begin(),
                                                               bucket.all.end());
            for (auto const& [text, it] : sorted)
            {
                out.append(text).append(":");
                number(static_cast<int>(it.state));
                number(it.status);
            }
        }
        out.append(";");
    }
}

} // namespace fuchsiaproxy::requests
