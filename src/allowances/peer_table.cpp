#include "peer_table.hpp"

#include <algorithm>
#include <chrono>
#include <set>

namespace fuchsiaproxy::allowances
{
namespace
{

// An entry that lost its lease may still serve for a moment: with strict withdrawal of keys, until
// its last proof of following the store is 4.8 s old, and the lease lasts 3.8 s.
constexpr base::duration linger_time = std::chrono::seconds(4);

// A report is missed if none arrived in 1.5 intervals; the margin covers the delivery.
constexpr base::duration delivery_margin = std::chrono::milliseconds(50);

// More names than these are sent as none, and the sender as one that hears nobody.
constexpr std::size_t max_unheard = 256;

// Stands in a list of unheard entries for all of them.
constexpr entry_tag everyone = 0;

} // namespace

peer_table::peer_table(base::instance_id const& self) : self_(tag_of(self.value())) {}

void peer_table::set_live(std::vector<live_peer> const& live, base::time_point now)
{
    has_list_ = true;
    std::set<base::instance_id> listed;
    std::vector<base::duration> silences;
    base::duration longest_interval{};
    for (auto const& it : live)
    {
        listed.insert(it.id);
        auto& known = all_[it.id];
        known.tag = tag_of(it.id.value());
        known.is_live = true;
        known.silence = it.report_interval * 3 / 2 + delivery_margin;
        longest_interval = std::max(longest_interval, it.report_interval);
        // After a cut, it is silent between half an interval and one and a half.
        for (int n = 1; n < 32; n += 2)
        {
            silences.push_back(it.report_interval / 2 + it.report_interval * n / 32 +
                               delivery_margin);
        }
    }
    confirmation_time_ = longest_interval * 5 / 2 + delivery_margin;
    auto const middle = silences.begin() + static_cast<std::ptrdiff_t>(silences.size() / 2);
    std::nth_element(silences.begin(), middle, silences.end());
    cut_off_time_ = silences.empty() ? base::duration{} : *middle;
    for (auto& it : all_)
    {
        if (it.second.is_live && listed.count(it.first) == 0)
        {
            it.second.is_live = false;
            it.second.left_at = now;
        }
    }
}

std::vector<base::instance_id> peer_table::forget(base::time_point now)
{
    std::vector<base::instance_id> gone;
    for (auto it = all_.begin(); it != all_.end();)
    {
        auto const is_due = !it->second.is_live && now - it->second.left_at > linger_time;
        if (is_due)
        {
            gone.push_back(it->first);
        }
        it = is_due ? all_.erase(it) : std::next(it);
    }
    return gone;
}

peer* peer_table::accept(base::instance_id const& from, usage_report const& it,
                         base::time_point now)
{
    auto const found = all_.find(from);
    if (found == all_.end() || it.sequence <= found->second.sequence)
    {
        return nullptr;
    }
    auto& known = found->second;
    known.heard_at = now;
    known.hears_this_entry =
        std::none_of(it.unheard.begin(), it.unheard.end(),
                     [this](auto tag) { return tag == self_ || tag == everyone; });
    return &known;
}

bool peer_table::is_heard(peer const& it, base::time_point now) const
{
    return it.heard_at != base::time_point::min() && now - it.heard_at <= it.silence;
}

bool peer_table::is_connected(peer const& it, base::time_point now) const
{
    return it.is_live && it.hears_this_entry && is_heard(it, now);
}

std::size_t peer_table::live_count() const
{
    return static_cast<std::size_t>(
        std::count_if(all_.begin(), all_.end(), [](auto const& it) { return it.second.is_live; }));
}

bool peer_table::has_quorum(base::time_point now) const
{
    auto const connected = std::count_if(
        all_.begin(), all_.end(), [&](auto const& it) { return is_connected(it.second, now); });
    return static_cast<std::size_t>(connected) * 2 >= live_count();
}

std::vector<entry_tag> peer_table::unheard(base::time_point now) const
{
    std::vector<entry_tag> made;
    for (auto const& it : all_)
    {
        if (it.second.is_live && !is_heard(it.second, now))
        {
            made.push_back(it.second.tag);
        }
    }
    return made.size() > max_unheard ? std::vector<entry_tag>{everyone} : made;
}

} // namespace fuchsiaproxy::allowances
