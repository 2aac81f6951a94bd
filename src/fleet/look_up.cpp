#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaproxy/fleet/fleet_node.hpp"
#include "fuchsiaproxy/fleet/rendezvous.hpp"

namespace fuchsiaproxy::fleet
{
namespace
{

// An entry above this load is listed after the others at the same distance.
constexpr std::uint32_t loaded_permille = 900;

struct candidate
{
    bool loaded = false;
    std::uint64_t weight = 0;
    messages::entry_info const* entry = nullptr;

    friend bool operator<(candidate const& a, candidate const& b)
    {
        return a.loaded != b.loaded ? b.loaded : a.weight < b.weight;
    }
};

using entry_list = std::vector<messages::entry_info const*>;

// Appends the best of `entries` to `answer`, up to `count` in all.
void append_best(entry_list const& entries, std::string const& salt, std::size_t count,
                 std::vector<messages::entry_info>& answer)
{
    std::vector<candidate> ranked;
    ranked.reserve(entries.size());
    for (auto const* const entry : entries)
    {
        if (!entry->draining && entry->version.value() != 0)
        {
            ranked.push_back({entry->load_permille > loaded_permille,
                              rendezvous_weight(salt, entry->id.value()), entry});
        }
    }
    auto const n = std::min(count - answer.size(), ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n),
                      ranked.end());
    for (std::size_t i = 0; i < n; ++i)
    {
        answer.push_back(*ranked[i].entry);
    }
}

} // namespace

void fleet_node::update_zone_index() const
{
    // Entries are removed only with a new revision, so the pointers of the index stay valid.
    if (zone_index_revision_ == table_.revision() && !zone_index_.empty())
    {
        return;
    }
    zone_index_.clear();
    zone_index_revision_ = table_.revision();
    zone_index_[self_.zone] = {self_.region, {&self_}};
    for (auto const& it : table_.entries())
    {
        auto& zone = zone_index_[it.second.info.zone];
        zone.region = it.second.info.region;
        zone.entries.push_back(&it.second.info);
    }
}

std::vector<messages::entry_info> fleet_node::look_up(base::region_id const& region,
                                                      base::availability_zone_id const& zone,
                                                      std::uint64_t salt, std::size_t count) const
{
    update_zone_index();
    auto const salt_text = std::to_string(salt);
    std::vector<messages::entry_info> answer;
    answer.reserve(count);
    auto const own = zone_index_.find(zone);
    if (own != zone_index_.end())
    {
        append_best(own->second.entries, salt_text, count, answer);
    }
    // Farther zones are only ranked when the nearer ones have too few entries.
    for (bool const same_region : {true, false})
    {
        if (answer.size() == count)
        {
            break;
        }
        entry_list farther;
        for (auto const& it : zone_index_)
        {
            if (it.first != zone && (it.second.region == region) == same_region)
            {
                farther.insert(farther.end(), it.second.entries.begin(), it.second.entries.end());
            }
        }
        append_best(farther, salt_text, count, answer);
    }
    return answer;
}

messages::entry_info const*
fleet_node::best_witness(std::function<bool(messages::entry_info const&)> const& usable) const
{
    messages::entry_info const* best = nullptr;
    std::pair<int, std::uint64_t> best_rank;
    for (auto const& it : table_.entries())
    {
        auto const& entry = it.second.info;
        if (!usable(entry))
        {
            continue;
        }
        // Another availability zone of the region first: low latency and independent failures.
        int const preference = entry.region != self_.region ? 0 : entry.zone == self_.zone ? 1 : 2;
        std::pair<int, std::uint64_t> const rank{
            preference, rendezvous_weight(self_.id.value(), entry.id.value())};
        if (best == nullptr || best_rank < rank)
        {
            best = &entry;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace fuchsiaproxy::fleet
