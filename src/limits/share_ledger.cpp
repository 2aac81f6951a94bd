#include "fuchsiaproxy/limits/share_ledger.hpp"

#include <algorithm>

#include "fuchsiaproxy/limits/move_gate.hpp"

namespace fuchsiaproxy::limits
{
namespace
{

// The margin allows for clock drift between two instances, which is far smaller in one window.
constexpr base::duration reuse_delay = limit_window + std::chrono::milliseconds{50};
// Limits 29 zones to 58 writes/s; the store sustains several hundred.
constexpr base::duration commit_interval = std::chrono::milliseconds{500};
// The list is polled every few seconds and is seconds old; one minute leaves a wide margin.
constexpr base::duration longest_list_lag = std::chrono::seconds{60};
// Entries repeat their demand every 2 s.
constexpr base::duration demand_lifetime = std::chrono::seconds{7};

} // namespace

std::map<share_owner, std::uint64_t>
divide_fairly(std::uint64_t part, std::map<share_owner, std::uint64_t> const& wanted)
{
    std::vector<std::pair<std::uint64_t, share_owner>> ascending;
    ascending.reserve(wanted.size());
    for (auto const& [owner, amount] : wanted)
    {
        ascending.emplace_back(amount, owner);
    }
    std::sort(ascending.begin(), ascending.end());
    std::map<share_owner, std::uint64_t> out;
    auto left = part;
    auto owners = ascending.size();
    for (auto const& [amount, owner] : ascending)
    {
        auto const given = std::min(amount, left / owners);
        out[owner] = given;
        left -= given;
        --owners;
    }
    return out;
}

std::uint64_t reserved(share_document const& document, base::cap_id const& cap)
{
    std::uint64_t sum = 0;
    auto const all = document.caps.find(cap);
    if (all != document.caps.end())
    {
        for (auto const& [owner, it] : all->second)
        {
            sum += it.amount;
        }
    }
    return sum;
}

bool is_reduction_in_force(share_document const& document, base::cap_id const& cap,
                           std::uint64_t part, base::config_version version)
{
    return document.version >= version && reserved(document, cap) <= part;
}

void share_ledger::apply(model::configuration const& config, base::availability_zone_id const& zone)
{
    version_ = config.version;
    parts_.clear();
    for (auto const& it : config.caps)
    {
        auto const part = it.split.find(zone);
        parts_[it.id] = part == it.split.end() ? 0 : part->second;
    }
}

void share_ledger::load(share_document document, base::time_point now)
{
    committed_ = document;
    working_ = std::move(document);
    pending_.reset();
    loaded_ = true;
    changed_ = false;
    std::set<share_owner> replaced;
    for (auto const& [cap, all] : working_.caps)
    {
        for (auto const& [owner, it] : all)
        {
            auto& newest = newest_[owner.instance];
            newest = std::max(newest, owner.number);
        }
    }
    for (auto const& [cap, all] : working_.caps)
    {
        for (auto const& [owner, it] : all)
        {
            if (owner.number < newest_[owner.instance])
            {
                replaced.insert(owner);
            }
        }
    }
    for (auto const& it : replaced)
    {
        mark_dead(it, now);
    }
}

void share_ledger::on_request(share_owner const& owner, messages::share_request const& it,
                              base::time_point now, hub_actions& actions)
{
    on_owner_alive(owner, now);
    if (owner.number < newest_[owner.instance] || disappeared_.count(owner.instance) != 0)
    {
        return;
    }
    demands_[{it.cap, owner}] = {it.amount, now};
    auto const cap = committed_.caps.find(it.cap);
    if (!loaded_ || cap == committed_.caps.end())
    {
        return;
    }
    auto const known = cap->second.find(owner);
    if (known != cap->second.end())
    {
        actions.push_back(
            {owner.instance, messages::share_grant{it.cap, owner.number, known->second.target,
                                                   known->second.revision}});
    }
}

void share_ledger::on_return(share_owner const& owner, messages::share_return const& it,
                             base::time_point now)
{
    // Most acknowledgements match the document and need no change. The others are checked again
    // when they take effect.
    auto const cap = working_.caps.find(it.cap);
    if (loaded_ && cap != working_.caps.end())
    {
        auto const known = cap->second.find(owner);
        if (known != cap->second.end() && known->second.revision == it.revision &&
            known->second.amount <= it.amount)
        {
            return;
        }
    }
    reductions_.push_back({it.cap, owner, it.amount, it.revision, now + reuse_delay});
}

void share_ledger::on_instance_list(std::set<base::instance_id> const& entries,
                                    base::time_point now)
{
    for (auto const& it : listed_)
    {
        if (entries.count(it) == 0)
        {
            disappeared_.insert(it);
        }
    }
    listed_ = entries;
    for (auto const& it : entries)
    {
        disappeared_.erase(it);
        absent_since_.erase(it);
    }
    for (auto const& [cap, all] : working_.caps)
    {
        for (auto const& [owner, it] : all)
        {
            if (entries.count(owner.instance) != 0)
            {
                continue;
            }
            auto const since = absent_since_.try_emplace(owner.instance, now).first->second;
            if (disappeared_.count(owner.instance) != 0 || since + longest_list_lag <= now)
            {
                mark_dead(owner, now);
            }
        }
    }
}

void share_ledger::on_owner_alive(share_owner const& owner, base::time_point now)
{
    auto& newest = newest_[owner.instance];
    if (owner.number <= newest)
    {
        return;
    }
    newest = owner.number;
    disappeared_.erase(owner.instance);
    for (auto const& [cap, all] : working_.caps)
    {
        for (auto const& [known, it] : all)
        {
            if (known.instance == owner.instance && known.number < owner.number)
            {
                mark_dead(known, now);
            }
        }
    }
}

std::optional<share_document> share_ledger::prepare(base::time_point now)
{
    if (!loaded_ || pending_ || now < next_commit_ || version_ < committed_.version)
    {
        return std::nullopt;
    }
    if (working_.version < version_)
    {
        working_.version = version_;
        changed_ = true;
    }
    drop_old_demand(now);
    apply_reductions(now);
    remove_dead(now);
    std::set<base::cap_id> caps;
    for (auto const& [cap, part] : parts_)
    {
        caps.insert(cap);
    }
    for (auto const& [cap, all] : working_.caps)
    {
        caps.insert(cap);
    }
    for (auto const& cap : caps)
    {
        allocate(cap);
    }
    if (!changed_)
    {
        return std::nullopt;
    }
    ++working_.revision;
    changed_ = false;
    pending_ = working_;
    next_commit_ = now + commit_interval;
    return pending_;
}

void share_ledger::on_committed(hub_actions& actions)
{
    if (!pending_)
    {
        return;
    }
    ++counters_.commits;
    committed_ = std::move(*pending_);
    pending_.reset();
    for (auto const& [cap, all] : committed_.caps)
    {
        for (auto const& [owner, it] : all)
        {
            if (it.revision == committed_.revision)
            {
                ++counters_.grants;
                actions.push_back({owner.instance, messages::share_grant{cap, owner.number,
                                                                         it.target, it.revision}});
            }
        }
    }
}

void share_ledger::on_commit_failed()
{
    ++counters_.failed_commits;
    pending_.reset();
    loaded_ = false;
}

void share_ledger::mark_dead(share_owner const& owner, base::time_point now)
{
    if (dead_.try_emplace(owner, now + reuse_delay).second)
    {
        ++counters_.dead_owners;
    }
}

void share_ledger::apply_reductions(base::time_point now)
{
    auto const due = [now](reduction const& it) { return it.effective_at <= now; };
    for (auto const& it : reductions_)
    {
        auto const cap = working_.caps.find(it.cap);
        if (!due(it) || cap == working_.caps.end())
        {
            continue;
        }
        auto const known = cap->second.find(it.owner);
        if (known == cap->second.end())
        {
            continue;
        }
        auto& reservation = known->second;
        // An acknowledgement of an older grant: the entry may have applied the latest grant since
        // and use more.
        if (it.revision != reservation.revision)
        {
            ++counters_.ignored_returns;
            continue;
        }
        if (it.amount >= reservation.amount)
        {
            continue;
        }
        reservation.amount = it.amount;
        reservation.target = std::min(reservation.target, it.amount);
        changed_ = true;
        if (reservation.amount == 0)
        {
            cap->second.erase(known);
        }
    }
    reductions_.erase(std::remove_if(reductions_.begin(), reductions_.end(), due),
                      reductions_.end());
}

void share_ledger::remove_dead(base::time_point now)
{
    for (auto it = dead_.begin(); it != dead_.end();)
    {
        if (it->second > now)
        {
            ++it;
            continue;
        }
        for (auto& [cap, all] : working_.caps)
        {
            changed_ = all.erase(it->first) != 0 || changed_;
        }
        it = dead_.erase(it);
    }
}

std::uint64_t share_ledger::part_of(base::cap_id const& cap) const
{
    auto const it = parts_.find(cap);
    return it == parts_.end() ? 0 : it->second;
}

void share_ledger::allocate(base::cap_id const& cap)
{
    auto& all = working_.caps[cap];
    auto const fair = divide_fairly(part_of(cap), wanted(cap, all));
    reduce(cap, all, fair);
    raise(cap, all, fair);
    if (all.empty())
    {
        working_.caps.erase(cap);
    }
}

void share_ledger::reduce(base::cap_id const& cap, reservations& all,
                          std::map<share_owner, std::uint64_t> const& fair)
{
    std::uint64_t needed = 0;
    for (auto const& [owner, amount] : fair)
    {
        auto const it = all.find(owner);
        needed += it == all.end() ? amount : std::max(amount, it->second.target);
    }
    if (needed <= part_of(cap))
    {
        return;
    }
    for (auto& [owner, it] : all)
    {
        auto const target = fair.at(owner);
        if (target < it.target)
        {
            it.target = target;
            it.revision = working_.revision + 1;
            changed_ = true;
        }
    }
}

void share_ledger::raise(base::cap_id const& cap, reservations& all,
                         std::map<share_owner, std::uint64_t> const& fair)
{
    std::uint64_t used = 0;
    for (auto const& [owner, it] : all)
    {
        used += it.amount;
    }
    auto const part = part_of(cap);
    auto free = used < part ? part - used : 0;
    for (auto const& [owner, amount] : fair)
    {
        auto const it = all.find(owner);
        auto const target = it == all.end() ? 0 : it->second.target;
        if (amount <= target)
        {
            continue;
        }
        auto const held = it == all.end() ? 0 : it->second.amount;
        // Revoking a reduction that was not acknowledged takes nothing from the free part.
        auto const added = amount > held ? std::min(amount - held, free) : 0;
        auto const next = std::min(amount, held + added);
        if (next <= target)
        {
            continue;
        }
        free -= added;
        all[owner] = {std::max(held, next), next, working_.revision + 1};
        changed_ = true;
    }
}

std::map<share_owner, std::uint64_t> share_ledger::wanted(base::cap_id const& cap,
                                                          reservations const& all) const
{
    std::map<share_owner, std::uint64_t> out;
    // An entry without a recent request keeps its reservation, because it may still use it.
    for (auto const& [owner, it] : all)
    {
        out[owner] = it.amount;
    }
    for (auto it = demands_.lower_bound({cap, share_owner{}});
         it != demands_.end() && it->first.first == cap; ++it)
    {
        auto const& owner = it->first.second;
        auto const newest = newest_.find(owner.instance);
        auto const is_replaced = newest != newest_.end() && owner.number < newest->second;
        // Ignores the demand of unlisted entries, because only an entry that disappears from the
        // list is known to be dead.
        if (!is_replaced && listed_.count(owner.instance) != 0)
        {
            out[owner] = it->second.amount;
        }
    }
    return out;
}

void share_ledger::drop_old_demand(base::time_point now)
{
    for (auto it = demands_.begin(); it != demands_.end();)
    {
        it = it->second.asked_at + demand_lifetime <= now ? demands_.erase(it) : std::next(it);
    }
}

} // namespace fuchsiaproxy::limits
