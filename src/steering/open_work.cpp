#include "open_work.hpp"

#include <algorithm>
#include <cmath>

namespace fuchsiaproxy::steering
{
namespace
{

// Time after which half of an upstream's slowness is forgotten once none of its attempts is
// overdue. It gets probes meanwhile.
constexpr double slowness_half_time_s = 2;

// Number and age of the overdue attempts that ended and still count.
constexpr std::size_t max_overdue_ends = 8;
constexpr base::duration overdue_end_age = std::chrono::seconds(3);

// Fraction of its work that an attempt still needs at least before it counts as a straggler.
constexpr double least_rest = 0.1;

double seconds_since(base::time_point then, base::time_point now)
{
    return std::chrono::duration<double>(now - then).count();
}

/// Returns the time for which an attempt has run, without the wait that was expected.
double run_time(open_attempt const& it, base::time_point now)
{
    return seconds_since(it.started, now) - it.wait;
}

} // namespace

void open_work::add(open_attempt const& it)
{
    open_.push_back(it);
}

void open_work::remove(base::attempt_id id, base::time_point ended_at, bool answered,
                       double slowdown)
{
    auto const it = std::find_if(open_.begin(), open_.end(),
                                 [id](open_attempt const& one) { return one.id == id; });
    if (it == open_.end())
    {
        return;
    }
    auto const work = it->work.scaled(std::max(slowdown, it->slowdown));
    auto const ran = run_time(*it, ended_at);
    if (ran > work.straggler_limit())
    {
        if (overdue_ends_.size() == max_overdue_ends)
        {
            overdue_ends_.erase(overdue_ends_.begin());
        }
        overdue_ends_.push_back({ended_at, ran / work.mean});
    }
    else if (answered)
    {
        overdue_ends_.clear();
        if (slow_since_ && it->started >= *slow_since_)
        {
            slow_since_.reset();
        }
    }
    open_.erase(it);
}

double open_work::remaining(base::time_point now, double slowdown, double straggler_rest) const
{
    double sum = 0;
    for (auto const& it : open_)
    {
        auto const work = it.work.scaled(std::max(slowdown, it.slowdown));
        auto const ran = std::max(0.0, run_time(it, now));
        sum += ran > work.straggler_limit() ? work.mean * straggler_rest
                                            : std::max(work.mean - ran, work.mean * least_rest);
    }
    return sum;
}

void open_work::update(base::time_point now, double slowdown, double overdue_share)
{
    auto& ends = overdue_ends_;
    ends.erase(std::remove_if(ends.begin(), ends.end(),
                              [now](overdue_end const& it)
                              { return now - it.at > overdue_end_age; }),
               ends.end());
    if (open_.size() + ends.size() < 2)
    {
        return;
    }
    auto overdue = ends.size();
    double ratio = 0;
    for (auto const& it : ends)
    {
        ratio += it.ratio;
    }
    for (auto const& it : open_)
    {
        auto const work = it.work.scaled(std::max(slowdown, it.slowdown));
        auto const ran = run_time(it, now);
        if (ran > work.straggler_limit())
        {
            ++overdue;
            ratio += ran / work.mean;
        }
    }
    // Two standard deviations above the mean of a Poisson distribution.
    auto const usual = overdue_share * static_cast<double>(open_.size() + ends.size());
    auto const explained = usual + 2 * std::sqrt(usual);
    if (overdue < 2 || static_cast<double>(overdue) <= explained)
    {
        return;
    }
    slow_since_ = slow_since_.value_or(now);
    slowness_ = ratio / static_cast<double>(overdue);
    last_overdue_ = now;
}

double open_work::slowness(base::time_point now) const
{
    if (!slow_since_)
    {
        return 1;
    }
    auto const age = std::max(0.0, seconds_since(last_overdue_, now));
    return 1 + (slowness_ - 1) * slowness_half_time_s / (slowness_half_time_s + age);
}

bool open_work::counts_as_slow() const
{
    return slow_since_.has_value();
}

bool open_work::has_open_probe() const
{
    return slow_since_ &&
           std::any_of(open_.begin(), open_.end(),
                       [this](open_attempt const& it) { return it.started >= *slow_since_; });
}

} // namespace fuchsiaproxy::steering
