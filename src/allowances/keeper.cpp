#include "fuchsiaproxy/allowances/keeper.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

#include "peer_table.hpp"
#include "shared_bucket.hpp"

namespace fuchsiaproxy::allowances
{

struct keeper::state
{
    explicit state(base::instance_id id) : self(std::move(id)), peers(self) {}

    shared_bucket* find(tenant_tag tag)
    {
        auto const found = by_tag.find(tag);
        return found == by_tag.end() ? nullptr : found->second;
    }

    void forget_peers(base::time_point now)
    {
        for (auto const& gone : peers.forget(now))
        {
            for (auto& it : buckets)
            {
                it.second.forget(gone, now);
            }
        }
    }

    base::instance_id self;
    peer_table peers;
    /// Tenants with a limit.
    std::map<base::tenant_id, shared_bucket> buckets;
    std::unordered_map<tenant_tag, shared_bucket*> by_tag;
};

keeper::keeper(base::instance_id const& self) : state_(std::make_unique<state>(self)) {}

keeper::~keeper() = default;

void keeper::apply(std::vector<access::tenant> const& tenants, allowance_bounds const& bounds,
                   base::time_point now)
{
    auto& my = *state_;
    std::map<base::tenant_id, shared_bucket> kept;
    for (auto const& it : tenants)
    {
        if (it.requests_per_s <= 0)
        {
            continue;
        }
        auto known = my.buckets.extract(it.id);
        auto const at = known.empty() ? kept.emplace(it.id, shared_bucket(my.self, it, now)).first
                                      : kept.insert(std::move(known)).position;
        at->second.set_limit(it, bounds, now);
    }
    my.buckets = std::move(kept);
    my.by_tag.clear();
    for (auto& it : my.buckets)
    {
        my.by_tag.emplace(tag_of(it.first.value()), &it.second);
    }
}

void keeper::set_live_peers(std::vector<live_peer> const& peers, base::time_point now)
{
    state_->peers.set_live(peers, now);
    state_->forget_peers(now);
}

void keeper::on_report(base::instance_id const& from, usage_report const& it, base::time_point now)
{
    auto& my = *state_;
    auto* const known = my.peers.accept(from, it, now);
    if (known == nullptr)
    {
        return;
    }
    auto const process = [](std::uint64_t sequence) { return sequence >> report_counter_bits; };
    // What a young process has admitted is recent, also if none of its reports was heard before.
    constexpr std::uint64_t young_reports = 20;
    auto const counter = it.sequence & ((1ULL << report_counter_bits) - 1);
    auto const before = std::exchange(known->sequence, it.sequence);
    auto const restarted = before != 0 && process(before) != process(it.sequence);
    for (auto& one : my.buckets)
    {
        if (restarted)
        {
            one.second.on_restart(from, now);
        }
    }
    std::vector<tenant_tag> reported;
    reported.reserve(it.tenants.size());
    for (auto const& one : it.tenants)
    {
        auto* const bucket = my.find(one.tenant);
        if (bucket != nullptr)
        {
            reported.push_back(one.tenant);
            bucket->on_usage(from, one, before != 0 || counter <= young_reports, now);
        }
    }
    std::sort(reported.begin(), reported.end());
    for (auto const tag : std::exchange(known->reported, reported))
    {
        auto* const bucket = my.find(tag);
        if (bucket != nullptr && !std::binary_search(reported.begin(), reported.end(), tag))
        {
            bucket->on_idle(from, now);
        }
    }
}

decision keeper::take(base::tenant_id const& tenant, base::time_point now)
{
    auto const found = state_->buckets.find(tenant);
    return found == state_->buckets.end() ? decision{} : found->second.take(state_->peers, now);
}

void keeper::give_back(base::tenant_id const& tenant)
{
    auto const found = state_->buckets.find(tenant);
    if (found != state_->buckets.end())
    {
        found->second.give_back();
    }
}

usage_report keeper::report(base::time_point now)
{
    auto& my = *state_;
    my.forget_peers(now);
    usage_report made;
    if (my.buckets.empty())
    {
        return made;
    }
    for (auto& it : my.buckets)
    {
        tenant_usage usage;
        if (it.second.report(usage, now, my.peers.confirmation_time()))
        {
            made.tenants.push_back(usage);
        }
    }
    made.unheard = my.peers.unheard(now);
    return made;
}

std::vector<tenant_counters> keeper::counters() const
{
    std::vector<tenant_counters> made;
    for (auto const& it : state_->buckets)
    {
        made.push_back(it.second.counters());
    }
    return made;
}

} // namespace fuchsiaproxy::allowances
