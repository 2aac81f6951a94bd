// What the director records of the ends of attempts.
#include <algorithm>

#include "director_state.hpp"

namespace fuchsiaproxy::steering
{

using base::attempt_result;

/// Updates the state of an attempt's upstream from the outcome of the attempt.
void director::state::record_attempt_end(attempt_state const& it, attempt_end const& end,
                                         base::time_point now)
{
    auto& upstream = *it.upstream;
    --upstream.in_flight;
    if (end.connect_time)
    {
        round_trips.add_sample(upstream.record.zone, *end.connect_time);
    }
    if (end.load)
    {
        upstream.apply_report(*end.load, now);
    }
    if (end.wrong_upstream)
    {
        upstreams.mark_replaced(upstream);
    }
    auto const failed = end.result == attempt_result::broken ||
                        end.result == attempt_result::timed_out ||
                        (end.result == attempt_result::completed && end.status >= 500) ||
                        end.result == attempt_result::shed;
    if (end.result == attempt_result::connect_failed)
    {
        auto const doubled =
            settings.initial_suspension * (1U << std::min(upstream.connect_failures, 8U));
        upstream.suspended_until = now + std::min<base::duration>(doubled, settings.max_suspension);
        ++upstream.connect_failures;
        return;
    }
    if (end.result == attempt_result::cancelled || end.result == attempt_result::not_sent)
    {
        return;
    }
    if (end.result == attempt_result::completed)
    {
        upstream.connect_failures = 0;
        upstream.extend_ramp(
            static_cast<std::uint32_t>(upstream.record.slots * settings.max_requests_per_slot));
    }
    upstream.failure_rate += ((failed ? 1 : 0) - upstream.failure_rate) * settings.failure_gain;
}

/// Emits the log record of an attempt.
void director::state::report_attempt(attempt_state& it, attempt_end const& end,
                                     base::time_point now, director_actions& out) const
{
    auto& explanation = it.explanation;
    explanation.upstream = it.upstream->record.id;
    explanation.rank = it.rank;
    explanation.took = now - it.started;
    explanation.result = end.result;
    explanation.status = end.status;
    explanation.refusal = end.refusal;
    out.push_back(std::move(explanation));
}

void director::state::record_work_time(attempt_state const& it, request_state const& request,
                                       base::time_point now)
{
    if (it.wait_expected)
    {
        return;
    }
    auto const trip = round_trips.to(it.upstream->record.zone);
    auto const spent = now - it.started;
    auto const work = std::chrono::duration<double>(std::max<base::duration>(spent - trip, {}));
    request.work->add_sample(it.rank, work.count() / it.slowdown, settings.work_gain);
}

} // namespace fuchsiaproxy::steering
