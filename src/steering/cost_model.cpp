#include "cost_model.hpp"

#include <algorithm>
#include <cmath>

#include "hashing.hpp"

namespace fuchsiaproxy::steering
{
namespace
{

// Time after which half of what was learned of an object or an upstream is forgotten if nothing
// new is learned. Faults of upstreams last for seconds.
constexpr double ratio_half_time_s = 10;

// Weights of a new sample in the logarithm of each factor. Their sum stays below 1, so that samples
// that end together do not overshoot. An object's cost differs more from object to object than
// that of upstreams, and it has fewer samples.
constexpr double least_rank_gain = 0.03;
constexpr double object_gain = 0.25;
constexpr double upstream_gain = 0.15;
constexpr double slowness_gain = 0.03;

// Bounds the effect of one straggler: on a mean it counts as at most four times as long, on the
// ratio of an object or an upstream as at most twice, as these have fewer samples.
double const max_log_error = std::log(4.0);
double const max_ratio_error = std::log(2.0);
constexpr double max_ratio = 16;

// Deviation that is assumed before samples arrive, and its least value: measurements vary by
// round trips and scheduling even where the work does not.
constexpr double assumed_deviation = 0.4;
constexpr double least_deviation = 0.04;
// Standard deviation of a normal distribution as a multiple of its mean absolute deviation.
constexpr double deviation_factor = 1.25;

// Number of samples from which on a route counts as measured.
constexpr std::uint32_t least_samples = 4;

constexpr double overrun_gain = 0.05;
constexpr double max_overrun = 10;
// Faults of upstreams must not be learned as usual.
constexpr double max_overdue_share = 0.25;

std::size_t slowness_class(double reported)
{
    if (reported < 1.3)
    {
        return 0;
    }
    return reported < 2 ? 1 : (reported < 5 ? 2 : 3);
}

} // namespace

double learned_ratio::at(base::time_point now) const
{
    if (value_ == 1)
    {
        return 1;
    }
    auto const age = std::chrono::duration<double>(now - at_).count();
    return 1 + (value_ - 1) * ratio_half_time_s / (ratio_half_time_s + std::max(0.0, age));
}

void learned_ratio::adjust(double factor, base::time_point now)
{
    value_ = std::clamp(at(now) * factor, 1 / max_ratio, max_ratio);
    at_ = now;
}

route_costs& cost_model::for_route(std::string const& route, base::service_id const& service,
                                   base::duration latency_goal)
{
    auto key = std::make_pair(route, service);
    auto const found = routes_.find(key);
    if (found != routes_.end())
    {
        return found->second;
    }
    if (routes_.size() >= max_routes)
    {
        key = {};
    }
    auto const [it, is_new] = routes_.try_emplace(std::move(key));
    if (is_new)
    {
        it->second.id = routes_.size();
        route_work const assumed(latency_goal);
        for (std::size_t rank = 0; rank < distinct_ranks; ++rank)
        {
            it->second.by_rank[rank] = {assumed.at(rank), assumed_deviation, 0};
        }
    }
    return it->second;
}

learned_ratio const* cost_model::find_object(route_costs const& route, std::uint64_t object) const
{
    if (object == 0)
    {
        return nullptr;
    }
    auto const it = objects_by_key_.find(mix64(object ^ mix64(route.id)));
    return it == objects_by_key_.end() ? nullptr : &it->second->ratio;
}

learned_ratio& cost_model::object_ratio(route_costs const& route, std::uint64_t object)
{
    auto const key = mix64(object ^ mix64(route.id));
    auto const it = objects_by_key_.find(key);
    if (it != objects_by_key_.end())
    {
        objects_.splice(objects_.begin(), objects_, it->second);
        return it->second->ratio;
    }
    if (objects_.size() >= max_objects)
    {
        objects_by_key_.erase(objects_.back().key);
        objects_.pop_back();
    }
    objects_.push_front({key, {}});
    objects_by_key_.emplace(key, objects_.begin());
    return objects_.front().ratio;
}

request_costs cost_model::estimate(route_costs const& route, std::uint64_t object,
                                   base::time_point now) const
{
    auto const* const known = find_object(route, object);
    auto const ratio = known == nullptr ? 1 : known->at(now);
    request_costs made;
    for (std::size_t rank = 0; rank < distinct_ranks; ++rank)
    {
        auto const& it = route.by_rank[rank];
        made[rank].mean = it.mean * ratio;
        made[rank].spread = made[rank].mean * it.deviation * deviation_factor;
        made[rank].is_measured = route.by_rank[0].samples >= least_samples;
    }
    return made;
}

double cost_model::slowness_factor(double reported) const
{
    return reported * slowness_corrections_[slowness_class(reported)];
}

double cost_model::predict(cost_sample const& it, base::time_point now) const
{
    auto const* const object = find_object(*it.route, it.object);
    return it.route->by_rank[std::min(it.rank, distinct_ranks - 1)].mean *
           (object == nullptr ? 1 : object->at(now)) *
           (it.upstream == nullptr ? 1 : it.upstream->at(now)) * slowness_factor(it.slowdown);
}

void cost_model::learn(cost_sample const& it, double work, base::time_point now)
{
    if (work <= 0)
    {
        return;
    }
    auto const log_error = [work](double expected)
    { return std::clamp(std::log(work / expected), -max_log_error, max_log_error); };
    auto const error = log_error(predict(it, now));
    auto& rank = it.route->by_rank[std::min(it.rank, distinct_ranks - 1)];
    // The first samples count more, as the assumed mean is only a guess. The mean is that over all
    // objects and upstreams: if it followed the error of the product, errors would move between it
    // and the ratios, and it would not hold for unseen objects.
    auto const gain = std::max(least_rank_gain, 0.5 / (rank.samples + 1));
    rank.mean *= std::exp(log_error(rank.mean * slowness_factor(it.slowdown)) * gain);
    rank.deviation += (std::min(std::abs(error), 1.0) - rank.deviation) * gain;
    rank.deviation = std::max(rank.deviation, least_deviation);
    ++rank.samples;
    auto const slowness = slowness_class(it.slowdown);
    if (slowness > 0)
    {
        // The error is that of the report, and says nothing of the object.
        auto& correction = slowness_corrections_[slowness];
        correction = std::clamp(correction * std::exp(error * slowness_gain), 0.2, 2.0);
        return;
    }
    auto const part = std::clamp(error, -max_ratio_error, max_ratio_error);
    if (it.object != 0)
    {
        object_ratio(*it.route, it.object).adjust(std::exp(part * object_gain), now);
    }
    if (it.upstream != nullptr)
    {
        it.upstream->adjust(std::exp(part * upstream_gain), now);
    }
}

void cost_model::learn_at_least(cost_sample const& it, double work, base::time_point now)
{
    if (work > predict(it, now))
    {
        learn(it, work, now);
    }
}

void cost_model::learn_overrun(work_estimate const& expected, double took, bool completed)
{
    if (expected.mean <= 0)
    {
        return;
    }
    auto const excess = (took - expected.straggler_limit()) / expected.mean;
    auto const overrun = std::clamp(excess, 0.0, max_overrun);
    // The rest of an attempt that was given up is at least what was seen of it.
    if (overrun > 0 && (completed || overrun > straggler_rest_))
    {
        straggler_rest_ += (overrun - straggler_rest_) * overrun_gain;
    }
    mean_overrun_ += (overrun - mean_overrun_) * overrun_gain;
    mean_took_ += (std::min(took / expected.mean, max_overrun) - mean_took_) * overrun_gain;
}

double cost_model::straggler_rest() const
{
    return straggler_rest_;
}

double cost_model::overdue_share() const
{
    return std::min(max_overdue_share, mean_overrun_ / std::max(0.1, mean_took_));
}

std::size_t cost_model::objects() const
{
    return objects_.size();
}

} // namespace fuchsiaproxy::steering
