#include "fuchsiaproxy/operators/burn.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace fuchsiaproxy::operators
{
namespace
{

service_counts counts_of(messages::class_counts const& it)
{
    return {it.total, it.on_time, it.weight_total, it.weight_on_time};
}

/// Counts of an incarnation only grow, so a lower total is an older report that arrived late.
bool is_older(service_counts const& it, service_counts const& known)
{
    return it.total < known.total || it.on_time < known.on_time ||
           it.weight_total < known.weight_total || it.weight_on_time < known.weight_on_time;
}

void add_difference(service_counts& sum, service_counts const& from, service_counts const& to)
{
    sum.total += to.total - from.total;
    sum.on_time += to.on_time - from.on_time;
    sum.weight_total += to.weight_total - from.weight_total;
    sum.weight_on_time += to.weight_on_time - from.weight_on_time;
}

service_counts counts_at(burn_sample const& sample, base::service_id const& service)
{
    auto const it = sample.sums.find(service);
    return it == sample.sums.end() ? service_counts{} : it->second;
}

window_burn burn_over(std::deque<burn_sample> const& samples, base::service_id const& service,
                      double objective, std::chrono::seconds length)
{
    window_burn out;
    out.length = length;
    if (samples.empty())
    {
        return out;
    }
    auto const& last = samples.back();
    auto const first =
        std::find_if(samples.begin(), samples.end(),
                     [&last, length](burn_sample const& it) { return last.at - it.at <= length; });
    out.covered = last.at - first->at;
    out.rate = burn_rate(counts_at(*first, service), counts_at(last, service), objective);
    return out;
}

burn_alert alert_for(double short_rate, double long_rate)
{
    // The short window ends an alert soon after its cause has ended; the long window filters out
    // short disturbances.
    auto const rate = std::min(short_rate, long_rate);
    if (rate >= page_rate)
    {
        return burn_alert::page;
    }
    return rate >= ticket_rate ? burn_alert::ticket : burn_alert::none;
}

service_burn burn_of(model::service const& it, std::deque<burn_sample> const& samples)
{
    service_burn out;
    out.service = it.id;
    out.organisation = it.organisation;
    out.objective = it.objective;
    if (!samples.empty())
    {
        out.counts = counts_at(samples.back(), it.id);
    }
    out.credit_earned = out.counts.weight_on_time;
    out.credit_missed = out.counts.weight_total - out.counts.weight_on_time;
    if (out.counts.weight_total > 0)
    {
        out.on_time_share = static_cast<double>(out.counts.weight_on_time) /
                            static_cast<double>(out.counts.weight_total);
    }
    out.budget_left = 1 - burn_rate({}, out.counts, it.objective);
    out.short_burn = burn_over(samples, it.id, it.objective, short_window);
    out.long_burn = burn_over(samples, it.id, it.objective, long_window);
    out.alert = alert_for(out.short_burn.rate, out.long_burn.rate);
    return out;
}

} // namespace

void burn_history::record(std::chrono::seconds at, std::vector<messages::counters> const& counts)
{
    for (auto const& report : counts)
    {
        auto& known = last_reports_[{report.owner, report.owner_incarnation}];
        known.at = at;
        for (auto const& it : report.counts)
        {
            auto& last = known.counts[{it.service, it.request_class}];
            auto const now = counts_of(it);
            if (!is_older(now, last))
            {
                add_difference(sums_[it.service], last, now);
                last = now;
            }
        }
    }
    for (auto it = last_reports_.begin(); it != last_reports_.end();)
    {
        it = at - it->second.at > incarnation_retention ? last_reports_.erase(it) : std::next(it);
    }
    // The previous sample is kept only if it is at least an interval later than its predecessor.
    if (samples_.size() >= 2 && samples_.back().at - samples_[samples_.size() - 2].at < interval)
    {
        samples_.pop_back();
    }
    samples_.push_back(burn_sample{at, sums_});
    while (at - samples_.front().at > retention)
    {
        samples_.pop_front();
    }
}

burn_report calculate_burn(model::configuration const& value,
                           std::deque<burn_sample> const& samples,
                           std::vector<base::instance_id> missing)
{
    burn_report out;
    for (auto const& it : value.services)
    {
        out.services.push_back(burn_of(it, samples));
    }
    out.missing = std::move(missing);
    out.samples.assign(samples.begin(), samples.end());
    return out;
}

std::vector<base::instance_id> missing_entries(std::vector<messages::entry_info> const& entries,
                                               std::vector<messages::counters> const& counts)
{
    std::set<std::pair<base::instance_id, base::incarnation>> reported;
    for (auto const& it : counts)
    {
        reported.emplace(it.owner, it.owner_incarnation);
    }
    std::vector<base::instance_id> out;
    for (auto const& it : entries)
    {
        if (reported.count({it.id, it.incarnation}) == 0)
        {
            out.push_back(it.id);
        }
    }
    return out;
}

double burn_rate(service_counts const& from, service_counts const& to, double objective)
{
    auto const total = static_cast<double>(to.weight_total - from.weight_total);
    if (total <= 0)
    {
        return 0;
    }
    auto const missed = total - static_cast<double>(to.weight_on_time - from.weight_on_time);
    return missed / total / (1 - objective);
}

char const* name_of(burn_alert alert) noexcept
{
    switch (alert)
    {
    case burn_alert::page:
        return "page";
    case burn_alert::ticket:
        return "ticket";
    case burn_alert::none:
        break;
    }
    return "none";
}

} // namespace fuchsiaproxy::operators
