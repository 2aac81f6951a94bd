#include "object_order.hpp"

#include <algorithm>
#include <cmath>

namespace fuchsiaproxy::steering
{
namespace
{

// Added to the share of each place, so that upstreams of a place without a share rank last, in a
// stable order.
constexpr double min_place_weight = 1e-3;

double sum_of(std::map<base::region_id, double> const& all)
{
    double sum = 0;
    for (auto const& it : all)
    {
        sum += it.second;
    }
    return sum;
}

/// Maps a hash to a uniformly distributed number in (0, 1).
double to_unit_interval(std::uint64_t hash)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return (static_cast<double>(hash >> 11U) + 0.5) * scale;
}

/// Returns the weight of each candidate: its part of the slots of its place, times the share of the
/// place, which is a region or a zone. Candidates that accept no requests have weight 0.
template <class Shares, class PlaceOf>
std::vector<double> weights_by(std::vector<upstream_ptr> const& candidates, Shares const& shares,
                               PlaceOf place_of)
{
    std::map<typename Shares::key_type, double> slots;
    for (auto const& it : candidates)
    {
        slots[place_of(*it)] += it->accepts_requests() ? it->record.slots : 0;
    }
    std::vector<double> made;
    made.reserve(candidates.size());
    for (auto const& it : candidates)
    {
        if (!it->accepts_requests())
        {
            made.push_back(0);
            continue;
        }
        auto const share = shares.find(place_of(*it));
        auto const weight = (share == shares.end() ? 0 : share->second) + min_place_weight;
        made.push_back(weight * it->record.slots / slots[place_of(*it)]);
    }
    return made;
}

} // namespace

region_shares shares_of(base::region_id const& home,
                        std::map<base::region_id, double> const& callers,
                        std::map<base::region_id, double> const& capacity)
{
    region_shares made;
    auto const total = sum_of(capacity);
    auto const demand = sum_of(callers);
    auto const own = callers.find(home);
    if (total <= 0 || demand <= 0 || own == callers.end())
    {
        for (auto const& it : capacity)
        {
            made[it.first] = total > 0 ? it.second / total : 0;
        }
        return made;
    }
    auto const wanted = own->second / demand * total;
    std::map<base::region_id, double> remaining;
    for (auto const& it : capacity)
    {
        auto const local = callers.find(it.first);
        auto const needed = local == callers.end() ? 0 : local->second / demand * total;
        remaining[it.first] = std::max(0.0, it.second - needed);
    }
    auto const at_home = capacity.count(home) == 0 ? 0 : std::min(capacity.at(home), wanted);
    auto const spare = sum_of(remaining);
    for (auto const& it : remaining)
    {
        made[it.first] = spare > 0 ? (wanted - at_home) * it.second / spare / wanted : 0;
    }
    made[home] += at_home / wanted;
    return made;
}

std::vector<double> order_weights(std::vector<upstream_ptr> const& candidates,
                                  region_shares const& shares)
{
    return weights_by(
        candidates, shares, [](upstream_state const& it) -> auto const& { return it.region; });
}

std::vector<double> order_weights(std::vector<upstream_ptr> const& candidates,
                                  zone_shares const& shares)
{
    return weights_by(
        candidates, shares, [](upstream_state const& it) -> auto const& { return it.record.zone; });
}

std::vector<std::size_t> const& object_order::rank(std::vector<upstream_ptr> const& candidates,
                                                   std::uint64_t object,
                                                   std::vector<double> const& weights)
{
    ranks_.assign(candidates.size(), distinct_ranks);
    scored_.clear();
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        if (weights[n] > 0)
        {
            auto const draw = to_unit_interval(weight_of(object, candidates[n]->hash));
            scored_.push_back({-std::log(draw) / weights[n], n});
        }
    }
    auto const ranked = std::min(distinct_ranks, scored_.size());
    std::partial_sort(scored_.begin(), scored_.begin() + static_cast<std::ptrdiff_t>(ranked),
                      scored_.end(),
                      [](scored const& a, scored const& b) { return a.score < b.score; });
    for (std::size_t n = 0; n < ranked; ++n)
    {
        ranks_[scored_[n].index] = n;
    }
    return ranks_;
}

} // namespace fuchsiaproxy::steering
