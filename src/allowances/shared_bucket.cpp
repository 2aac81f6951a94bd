#include "shared_bucket.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace fuchsiaproxy::allowances
{
namespace
{

using seconds = std::chrono::duration<double>;

double seconds_of(base::duration it)
{
    return std::chrono::duration_cast<seconds>(it).count();
}

base::duration duration_of(double s)
{
    return std::chrono::duration_cast<base::duration>(seconds(s));
}

// The largest sudden demand that the bound is kept for, as a multiple of the limit: a tenant sends
// seven times its usual rate, and limits are about 1.6 times that.
constexpr double largest_surge = 4.4;

// Parts of the headroom, which is what the bound allows beyond the rate. The first is spent on
// the bucket's capacity and on admissions that others have not heard of; the rest covers views
// that differ. If room for one request at each entry exceeds the second, entries share one pool.
constexpr double used_headroom = 0.92;
constexpr double paced_headroom = 0.6;
constexpr double least_capacity = 0.25;

// Part of the capacity below which entries are paced.
constexpr double paced_level = 0.25;

// Part of the rate that is split evenly between the entries, whatever their demand, so that an
// entry without a known demand has some part.
constexpr double even_part = 0.2;

// Time after which unused room at an entry that is cut off is given up. Otherwise, entries that are
// all cut off while a tenant rests would save one request each.
constexpr base::duration room_lifetime = std::chrono::seconds(1);

// Time for which a level is spent or a debt repaid at the paced rate.
constexpr double level_time_s = 1;

// The rate of another entry's admissions is a mean over about this time.
constexpr double admission_mean_s = 0.5;

// The demand is a mean over about this time.
constexpr double demand_mean_s = 2;

// Part of the rate that stays for the entries that this one hears, whatever the others had.
constexpr double least_unreserved = 0.05;

// A part is computed again after this time. It changes with reports, which are 0.1 s apart or more.
constexpr base::duration part_lifetime = std::chrono::milliseconds(50);

// Entries learn of a new one from the store at different times, within 0.7 s. Until they know each
// other and have noticed lost connections, the part of a new entry may be too large.
constexpr base::duration settling_time = std::chrono::seconds(2);

constexpr base::duration least_retry_after = std::chrono::milliseconds(20);

} // namespace

void recent_low::add(double value, base::time_point now, base::duration span)
{
    if (since_ == base::time_point::min() || now - since_ >= span)
    {
        older_ = current_;
        current_ = value;
        since_ = now;
        return;
    }
    current_ = std::min(current_, value);
}

double recent_low::value() const
{
    return std::min(older_, current_);
}

void event_rate::add(double events, base::time_point now)
{
    rate_ = per_s(now) + events / demand_mean_s;
    at_ = now;
}

double event_rate::per_s(base::time_point now) const
{
    return at_ == base::time_point::min()
               ? 0
               : rate_ * std::exp(-seconds_of(now - at_) / demand_mean_s);
}

shared_bucket::shared_bucket(base::instance_id const& self, access::tenant const& it,
                             base::time_point now)
    : at_(now), room_since_(now),
      rounding_(static_cast<double>(tag_of(self.value() + "/" + it.id.value()) % 1024U) / 1024)
{
    // After a start, the bucket is empty, and the entries don't get room at the same time.
    cut_off_room_ = -rounding_;
    counters_.tenant = it.id;
}

void shared_bucket::set_limit(access::tenant const& it, allowance_bounds const& bounds,
                              base::time_point now)
{
    advance(now);
    bounds_ = bounds;
    rate_ = it.requests_per_s;
    counters_.requests_per_s = rate_;
    headroom_ = bounds.overshoot * rate_ * seconds_of(bounds.window) +
                it.burst * (1 + bounds.overshoot) + bounds.slack;
    capacity_ = std::max({1.0, it.burst / 2, least_capacity * headroom_});
    part_at_ = base::time_point::min();
}

void shared_bucket::advance(base::time_point now)
{
    auto const dt = seconds_of(now - at_);
    at_ = now;
    auto const floor = -rate_ * seconds_of(bounds_.window);
    level_ = std::clamp(level_ + (rate_ - others_rate_) * dt, floor, capacity_);
    pace_ = std::min(cut_off_capacity(),
                     pace_ + part_ * std::max(0.0, rate_ + level_ / level_time_s) * dt);
    advance_cut_off_room(now, dt);
}

void shared_bucket::advance_cut_off_room(base::time_point now, double dt)
{
    auto const rate = part_ * rate_;
    auto const most = cut_off_capacity();
    auto const before = cut_off_room_;
    cut_off_room_ += rate * dt;
    if (cut_off_room_ < most)
    {
        return;
    }
    if (before < most)
    {
        room_since_ = now - duration_of((cut_off_room_ - most) / rate);
    }
    cut_off_room_ = most;
    auto const unused = seconds_of(now - room_since_) - seconds_of(room_lifetime);
    if (most > 1 || unused <= 0 || rate <= 0)
    {
        return;
    }
    // Unused room is given up and fills again, possibly several times since the last call.
    auto const fill_s = 1 / rate;
    auto const phase = std::fmod(unused, fill_s + seconds_of(room_lifetime));
    cut_off_room_ = std::min(1.0, phase * rate);
    room_since_ = now - duration_of(std::max(0.0, phase - fill_s));
}

/// Room that an entry that is cut off may save. All entries together may save what the bucket
/// would hold, less one request each.
double shared_bucket::cut_off_capacity() const
{
    auto const shared =
        0.7 * capacity_ + (1 - used_headroom) * headroom_ - static_cast<double>(entries_);
    return 1 + part_ * std::clamp(shared, 0.0, 0.3 * capacity_);
}

void shared_bucket::charge(other_use& it, double new_rate, base::time_point now)
{
    it.charged += it.rate * seconds_of(now - it.charged_at);
    it.charged_at = now;
    others_rate_ += new_rate - it.rate;
    it.rate = new_rate;
}

void shared_bucket::on_usage(base::instance_id const& from, tenant_usage const& it, bool is_recent,
                             base::time_point now)
{
    advance(now);
    auto& other = others_[from];
    auto const first = other.reported_at == base::time_point::min();
    charge(other, other.rate, now);
    double admitted = static_cast<std::int32_t>(it.admitted - other.admitted);
    if (first)
    {
        // The count may be old; it includes the recent demand at most.
        admitted = is_recent ? std::min<double>(it.admitted, 1 + it.demand_per_s) : 0;
    }
    level_ = std::min(level_ + other.charged - admitted, capacity_);
    auto const dt = std::max(1e-3, first ? 1 : seconds_of(now - other.reported_at));
    auto const kept = std::exp(-dt / admission_mean_s);
    other.mean_rate = first ? std::min(it.demand_per_s, rate_)
                            : std::max(0.0, other.mean_rate * kept + admitted * (1 - kept) / dt);
    other.admitted = it.admitted;
    other.charged = 0;
    other.reported_at = now;
    other.demand = it.demand_per_s;
    other.heard_part = last_sum_ > 0 ? other.demand / last_sum_ : 0;
    charge(other, other.mean_rate, now);
}

void shared_bucket::on_restart(base::instance_id const& from, base::time_point now)
{
    auto const found = others_.find(from);
    if (found != others_.end())
    {
        advance(now);
        // What the old process admitted after its last report is not known. What was charged for
        // that time stays charged.
        auto& other = found->second;
        charge(other, other.rate, now);
        other.charged = 0;
        other.admitted = 0;
    }
}

void shared_bucket::on_idle(base::instance_id const& from, base::time_point now)
{
    auto const found = others_.find(from);
    if (found == others_.end())
    {
        return;
    }
    advance(now);
    auto& other = found->second;
    charge(other, 0, now);
    level_ = std::min(level_ + other.charged, capacity_);
    other.charged = 0;
    other.mean_rate = 0;
    other.demand = 0;
}

void shared_bucket::forget(base::instance_id const& peer, base::time_point now)
{
    auto const found = others_.find(peer);
    if (found != others_.end())
    {
        advance(now);
        charge(found->second, 0, now);
        others_.erase(found);
    }
}

/// Computes the part of this entry: its recent demand, as far as the others know of it, divided by
/// that of all. An entry without a connection to this one may have grown as much as this one has.
void shared_bucket::refresh_part(peer_table const& peers, base::time_point now)
{
    auto const has_quorum = peers.has_quorum(now);
    if (!has_quorum && has_quorum_)
    {
        is_settled_ = now - first_quorum_at_ >= settling_time;
    }
    auto const is_current = part_at_ != base::time_point::min() && now - part_at_ < part_lifetime;
    if (is_current && has_quorum == has_quorum_)
    {
        return;
    }
    part_at_ = now;
    has_quorum_ = has_quorum;
    entries_ = 1 + peers.live_count();
    auto const even = even_part * rate_ / static_cast<double>(entries_);
    if (!has_quorum)
    {
        auto const least = even_part / static_cast<double>(entries_);
        part_ = is_settled_ ? part_ : least;
        return;
    }
    first_quorum_at_ = std::min(first_quorum_at_, now);
    divide(peers, even, now);
}

/// Another entry is connected again. If its reports don't name the tenant, it has admitted nothing.
void shared_bucket::show(other_use& it, base::time_point heard_at, base::time_point now)
{
    charge(it, it.mean_rate, now);
    if (it.reported_at < heard_at)
    {
        level_ = std::min(level_ + it.charged, capacity_);
        it.charged = 0;
    }
}

/// Computes the part of this entry, and charges the entries that are hidden, that is, not connected
/// to this one, their parts. A hidden entry keeps at least the part that it had when it was last
/// heard. It may also have grown as much as this entry has.
void shared_bucket::divide(peer_table const& peers, double even, base::time_point now)
{
    auto const own = low_demand_.value() + even;
    auto known = own;
    double connected = 1;
    std::vector<std::pair<other_use*, bool>> hidden;
    for (auto const& it : peers.all())
    {
        auto const found = others_.find(it.first);
        if (!peers.is_connected(it.second, now))
        {
            auto& other = found == others_.end() ? others_[it.first] : found->second;
            hidden.emplace_back(&other, it.second.heard_at == base::time_point::min());
            continue;
        }
        connected += 1;
        known += even + (found == others_.end() ? 0 : found->second.demand);
        if (found != others_.end() && std::exchange(found->second.hidden_ratio, 0) > 0)
        {
            show(found->second, it.second.heard_at, now);
        }
    }
    auto sum = known;
    for (auto const& it : hidden)
    {
        auto& other = *it.first;
        // Nothing is known of an entry that was never heard; it is taken for an average one.
        auto const weight = it.second ? known / connected : other.demand + even;
        if (other.hidden_ratio == 0)
        {
            other.hidden_ratio = weight / own;
            other.hidden_part = 0;
        }
        other.weight = std::max(weight, other.hidden_ratio * own);
        sum += other.weight;
    }
    double reserved = 0;
    for (auto const& it : hidden)
    {
        auto& part = it.first->hidden_part;
        // The demand of the others may have grown since it was last heard.
        part = part > 0 ? part
                        : std::max({it.first->weight / std::max(sum, last_sum_),
                                    it.first->heard_part, 1 / static_cast<double>(entries_)});
        reserved += part;
    }
    last_sum_ = sum;
    part_ = std::min(own / sum, own / known * std::max(least_unreserved, 1 - reserved));
    for (auto const& it : hidden)
    {
        auto& other = *it.first;
        charge(other, rate_ * std::max(other.hidden_part, other.weight / sum), now);
    }
}

/// Returns whether this entry may admit a request of which the others may not learn, because they
/// are cut off from it and have not noticed. All entries together admit no more than the headroom
/// allows.
bool shared_bucket::may_take_unseen(peer_table const& peers, base::time_point now)
{
    auto const allowed = used_headroom * headroom_;
    auto const all_cut_s = seconds_of(peers.cut_off_time());
    auto const half_cut_s = seconds_of(peers.confirmation_time());
    auto const excess = (largest_surge - 1) * rate_;
    if (excess * all_cut_s <= allowed - capacity_ && excess * half_cut_s / 2 <= allowed)
    {
        return true;
    }
    auto const n = static_cast<double>(entries_);
    auto const surge = largest_surge * rate_ * all_cut_s;
    if (is_pooled() && n * (1 - std::exp(-surge / n)) - rate_ * all_cut_s > allowed - capacity_)
    {
        // Even one request at each entry that gets one would be too many.
        return cut_off_room_ >= 1;
    }
    // At most half of the entries are unheard without noticing it sooner.
    auto const all = 2 * allowed + rate_ * half_cut_s;
    auto const most = std::max({1.0, all / n, (1 / n + part_) / 2 * all});
    return static_cast<double>(unseen_.size()) + 1 <= std::floor(most + rounding_);
}

/// Whether room for one request at each entry would be too much, so that requests are admitted
/// while the bucket is not empty, whichever entry they arrive at.
bool shared_bucket::is_pooled() const
{
    return static_cast<double>(entries_) > paced_headroom * headroom_;
}

/// Returns the level from which on requests are admitted at whichever entry they arrive. If one
/// request at each entry is little, entries are paced below it, as they would all use what is left
/// before they learn of each other.
double shared_bucket::least_level() const
{
    return is_pooled() ? 1 : std::max(1.0, capacity_ * paced_level);
}

bool shared_bucket::has_room(peer_table const& peers, base::time_point now)
{
    if (!peers.has_list())
    {
        return false;
    }
    if (!has_quorum_)
    {
        return cut_off_room_ >= 1;
    }
    auto const least = least_level();
    if (level_ >= least)
    {
        return may_take_unseen(peers, now);
    }
    return !is_pooled() && pace_ >= 1 && level_ > -rate_ * level_time_s;
}

decision shared_bucket::take(peer_table const& peers, base::time_point now)
{
    demand_.add(1, now);
    used_at_ = now;
    advance(now);
    refresh_part(peers, now);
    while (!unseen_.empty() && now - unseen_.front() > peers.confirmation_time())
    {
        unseen_.pop_front();
    }
    if (!has_room(peers, now))
    {
        ++counters_.refused;
        return refusal(peers, now);
    }
    ++counters_.admitted;
    ++admitted_;
    level_ -= 1;
    pace_ = std::max(0.0, pace_ - 1);
    cut_off_room_ = std::max(cut_off_room_ - 1, -1 - part_ * rate_);
    unseen_.push_back(now);
    return {};
}

decision shared_bucket::refusal(peer_table const& peers, base::time_point now) const
{
    auto const wait = [](double missing, double rate)
    { return rate > 0 ? missing / rate : std::numeric_limits<double>::infinity(); };
    auto const is_above_least = level_ >= least_level();
    // In debt, or if entries share a pool, the time until the bucket has a token.
    double s = wait(1 - level_, rate_ - others_rate_);
    if (!has_quorum_ || (is_above_least && unseen_.empty()))
    {
        s = wait(1 - cut_off_room_, part_ * rate_);
    }
    else if (is_above_least)
    {
        s = seconds_of(unseen_.front() + peers.confirmation_time() - now);
    }
    else if (!is_pooled() && level_ > -rate_ * level_time_s)
    {
        s = wait(1 - pace_, part_ * (rate_ + level_ / level_time_s));
    }
    auto const most = seconds_of(bounds_.window);
    auto const after = duration_of(std::isfinite(s) ? std::clamp(s, 0.0, most) : most);
    return {false, std::max(after, least_retry_after), level_, part_};
}

void shared_bucket::give_back()
{
    ++counters_.given_back;
    --admitted_;
    level_ = std::min(level_ + 1, capacity_);
    cut_off_room_ = std::min(cut_off_room_ + 1, 1.0);
    if (!unseen_.empty())
    {
        unseen_.pop_back();
    }
}

bool shared_bucket::report(tenant_usage& into, base::time_point now,
                           base::duration confirmation_time)
{
    auto const is_idle = used_at_ == base::time_point::min() || now - used_at_ > bounds_.window;
    auto const demand = is_idle ? 0 : demand_.per_s(now);
    low_demand_.add(demand, now, confirmation_time);
    into = {tag_of(counters_.tenant.value()), admitted_, demand};
    return !is_idle;
}

} // namespace fuchsiaproxy::allowances
