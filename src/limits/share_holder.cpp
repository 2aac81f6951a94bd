#include "fuchsiaproxy/limits/share_holder.hpp"

#include <algorithm>
#include <chrono>

namespace fuchsiaproxy::limits
{
namespace
{

// The demand of one second is a sample. A margin of a quarter lets most moves of the next second
// pass without waiting for another grant.
constexpr std::uint64_t margin_divisor = 4;
constexpr base::duration repeat_interval = std::chrono::seconds{2};
constexpr base::duration idle_repeat_interval = std::chrono::seconds{10};
// Shares are kept during short pauses, because a returned share takes about 2 s to be granted
// again.
constexpr base::duration idle_before_return = std::chrono::seconds{10};

std::uint64_t with_margin(std::uint64_t amount)
{
    return amount == 0 ? 0 : amount + amount / margin_divisor + 1;
}

/// Returns `value * numerator / denominator`, rounded down. Precondition: `numerator` and
/// `denominator` are below 2^32, and `denominator` is not zero.
std::uint64_t scale(std::uint64_t value, std::uint64_t numerator, std::uint64_t denominator)
{
    return value / denominator * numerator + value % denominator * numerator / denominator;
}

} // namespace

void share_holder::apply(model::configuration const& config, base::availability_zone_id const& zone,
                         share_actions& actions)
{
    std::map<base::cap_id, std::uint64_t> parts;
    for (auto const& it : config.caps)
    {
        auto const part = it.split.find(zone);
        parts[it.id] = part == it.split.end() ? 0 : part->second;
        shares_.try_emplace(it.id);
    }
    for (auto& [cap, it] : shares_)
    {
        auto const part = parts.find(cap);
        if (part == parts.end())
        {
            it.part.reset();
            lower(cap, it, 0, actions);
            continue;
        }
        if (it.part && part->second < *it.part)
        {
            lower(cap, it, scale(it.held, part->second, *it.part), actions);
        }
        it.part = part->second;
        // The gate of a cap that was removed and added again starts without a share.
        actions.emplace_back(set_share{cap, it.held});
    }
}

void share_holder::on_grant(messages::share_grant const& it, share_actions& actions)
{
    if (it.holder != self_)
    {
        return;
    }
    auto& known = shares_[it.cap];
    if (it.revision > known.revision)
    {
        // A hub with an older configuration may grant more than the zone's part.
        known.held = known.part ? std::min(it.amount, *known.part) : 0;
        known.revision = it.revision;
        actions.emplace_back(set_share{it.cap, known.held});
    }
    // Acknowledged even without a change: the grant may be a reduction that this entry has already
    // made on its own, or one whose acknowledgement was lost.
    actions.emplace_back(send_to_hub{messages::share_return{it.cap, known.held, known.revision}});
}

void share_holder::on_demand(std::vector<cap_demand> const& demand, base::time_point now,
                             share_actions& actions)
{
    for (auto const& it : demand)
    {
        auto& known = shares_[it.cap];
        auto const wanted = std::min(with_margin(it.amount), known.part.value_or(0));
        if (wanted > known.held / 2)
        {
            known.needed_at = now;
        }
        // Decays slowly, so that one second of low demand does not return the share.
        known.wanted = std::max(wanted, known.wanted - known.wanted / margin_divisor);
        if (known.wanted < margin_divisor && wanted == 0)
        {
            known.wanted = 0;
        }
        if (known.held > known.wanted && known.needed_at + idle_before_return <= now)
        {
            lower(it.cap, known, known.wanted, actions);
        }
        auto const is_new = known.wanted > known.held && known.wanted > known.asked;
        // A request without demand makes the hub resend a grant or a reduction that was lost. The
        // entry may have a reservation whose grant it never received.
        auto const interval =
            known.wanted > 0 || known.held > 0 ? repeat_interval : idle_repeat_interval;
        auto const is_due = known.asked_at + interval <= now;
        if (is_new || is_due)
        {
            known.asked = known.wanted;
            known.asked_at = now;
            actions.emplace_back(send_to_hub{messages::share_request{it.cap, known.wanted}});
        }
    }
}

std::uint64_t share_holder::held(base::cap_id const& cap) const
{
    auto const it = shares_.find(cap);
    return it == shares_.end() ? 0 : it->second.held;
}

void share_holder::lower(base::cap_id const& cap, share& it, std::uint64_t amount,
                         share_actions& actions)
{
    if (amount >= it.held)
    {
        return;
    }
    it.held = amount;
    // Earlier requests above this amount are void, so that a new demand is requested at once.
    it.asked = std::min(it.asked, amount);
    actions.emplace_back(set_share{cap, amount});
    actions.emplace_back(send_to_hub{messages::share_return{cap, amount, it.revision}});
}

} // namespace fuchsiaproxy::limits
