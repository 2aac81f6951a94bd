#ifndef FUCHSIAPROXY_ALLOWANCES_SHARED_BUCKET_HPP
#define FUCHSIAPROXY_ALLOWANCES_SHARED_BUCKET_HPP

#include <cstdint>
#include <deque>
#include <map>

#include "fuchsiaproxy/allowances/keeper.hpp"
#include "peer_table.hpp"

namespace fuchsiaproxy::allowances
{

/// Smallest recent value of a series: over the last one to two spans.
class recent_low
{
public:
    void add(double value, base::time_point now, base::duration span);
    double value() const;

private:
    double older_ = 0;
    double current_ = 0;
    base::time_point since_ = base::time_point::min();
};

/// Mean rate of events, weighted exponentially.
class event_rate
{
public:
    void add(double events, base::time_point now);
    double per_s(base::time_point now) const;

private:
    double rate_ = 0;
    base::time_point at_ = base::time_point::min();
};

/// This entry's copy of the token bucket of one tenant, and its part of it.
///
/// Thread safety: none.
class shared_bucket
{
public:
    shared_bucket(base::instance_id const& self, access::tenant const& it, base::time_point now);

    void set_limit(access::tenant const& it, allowance_bounds const& bounds, base::time_point now);

    decision take(peer_table const& peers, base::time_point now);
    void give_back();

    /// Applies the use that another entry reports. `is_recent` is set if its count
    /// grew since this entry listens to it, as far as it is new here.
    void on_usage(base::instance_id const& from, tenant_usage const& it, bool is_recent,
                  base::time_point now);

    /// Another entry has restarted and counts from zero.
    void on_restart(base::instance_id const& from, base::time_point now);

    /// Another entry no longer reports the tenant, as it has not served it for a while.
    void on_idle(base::instance_id const& from, base::time_point now);

    void forget(base::instance_id const& peer, base::time_point now);

    /// Returns the use to report, and counts it as told to the others. Unset if there was none for
    /// a while.
    bool report(tenant_usage& into, base::time_point now, base::duration confirmation_time);

    tenant_counters const& counters() const
    {
        return counters_;
    }

private:
    /// Use of the tenant by another entry.
    struct other_use
    {
        std::uint32_t admitted = 0;
        double demand = 0;
        /// Rate at which its admissions are charged until its next report, the time since which
        /// they are, and what was charged before that since its last report.
        double rate = 0;
        base::time_point charged_at{};
        double charged = 0;
        /// Mean rate of its admissions.
        double mean_rate = 0;
        base::time_point reported_at = base::time_point::min();
        /// Its weight divided by this entry's when the two lost their connection; 0 if they have
        /// one.
        double hidden_ratio = 0;
        /// Part that it had when it last reported, without the even one.
        double heard_part = 0;
        /// Part that it had at that time, and its weight in the division of the rate since then.
        double hidden_part = 0;
        double weight = 0;
    };

    void advance(base::time_point now);
    void advance_cut_off_room(base::time_point now, double dt);
    double cut_off_capacity() const;
    void charge(other_use& it, double new_rate, base::time_point now);
    void show(other_use& it, base::time_point heard_at, base::time_point now);
    void divide(peer_table const& peers, double even, base::time_point now);
    void refresh_part(peer_table const& peers, base::time_point now);
    bool may_take_unseen(peer_table const& peers, base::time_point now);
    bool is_pooled() const;
    double least_level() const;
    bool has_room(peer_table const& peers, base::time_point now);
    decision refusal(peer_table const& peers, base::time_point now) const;

    double rate_ = 0;
    double capacity_ = 1;
    allowance_bounds bounds_;
    double headroom_ = 0;

    /// Copy of the bucket, and the sum of the rates at which others are charged to it.
    double level_ = 0;
    double others_rate_ = 0;
    base::time_point at_;

    /// Room of this entry at its part of the rate: while the bucket is low, and while it is cut
    /// off.
    double pace_ = 0;
    double cut_off_room_;
    base::time_point room_since_;

    /// Part of this entry, last computed at `part_at_`.
    double part_ = 0;
    double last_sum_ = 0;
    base::time_point part_at_ = base::time_point::min();
    std::size_t entries_ = 1;
    bool has_quorum_ = false;
    base::time_point first_quorum_at_ = base::time_point::max();
    /// Whether the part that was computed before the quorum was lost stays in force.
    bool is_settled_ = false;

    event_rate demand_;
    recent_low low_demand_;
    std::uint32_t admitted_ = 0;
    base::time_point used_at_ = base::time_point::min();
    /// Times of recent admissions, which others may not know of.
    std::deque<base::time_point> unseen_;
    /// Decides how a fractional number of unseen admissions is rounded.
    double rounding_;
    std::map<base::instance_id, other_use> others_;
    tenant_counters counters_;
};

} // namespace fuchsiaproxy::allowances

#endif
