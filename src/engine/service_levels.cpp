#include "fuchsiaproxy/engine/service_levels.hpp"

#include <cstddef>

namespace fuchsiaproxy::engine
{
namespace
{

// Maximum number of incarnations whose counts are stored: 1,800 live entries, and 170 replaced
// entries per day for ten days.
constexpr std::size_t max_incarnations = 3500;

} // namespace

void service_levels::count(base::service_id const& service, std::string const& request_class,
                           base::request_weight weight, bool on_time)
{
    auto& it = own_[key(service, request_class)];
    it.service = service;
    it.request_class = request_class;
    ++it.total;
    it.weight_total += weight.value();
    if (on_time)
    {
        ++it.on_time;
        it.weight_on_time += weight.value();
    }
}

void service_levels::record_reported(messages::counters const& reported)
{
    auto const id = std::make_pair(reported.owner, reported.owner_incarnation);
    if (kept_.count(id) != 0 || kept_.size() < max_incarnations)
    {
        kept_[id] = reported;
    }
}

std::vector<messages::class_counts> service_levels::own_counts() const
{
    std::vector<messages::class_counts> counts;
    counts.reserve(own_.size());
    for (auto const& it : own_)
    {
        counts.push_back(it.second);
    }
    return counts;
}

std::vector<messages::counters> service_levels::reported_counts() const
{
    std::vector<messages::counters> all;
    all.reserve(kept_.size());
    for (auto const& it : kept_)
    {
        all.push_back(it.second);
    }
    return all;
}

} // namespace fuchsiaproxy::engine
