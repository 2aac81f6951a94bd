#ifndef FUCHSIAPROXY_POLICY_BENCH_SIMULATION_HPP
#define FUCHSIAPROXY_POLICY_BENCH_SIMULATION_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <vector>

#include "fuchsiaproxy/routing/dispatcher.hpp"
#include "workload.hpp"

namespace fuchsiaproxy::policy_bench
{

/// How a request ended for its caller.
enum class request_end
{
    open,
    served,
    /// Rejected with "not run" on arrival.
    refused,
    /// Expired or rejected after waiting in the queue, or failed at the upstream.
    failed,
    /// The entry that handled it became unavailable.
    lost
};

struct request_result
{
    request_end end = request_end::open;
    base::duration latency{};
};

/// One attempt at an upstream.
struct job
{
    std::uint32_t request = 0;
    std::uint32_t entry = 0;
    std::uint32_t upstream = 0;
    /// Identifies the attempt for the policy.
    std::uint64_t tag = 0;
    base::duration deadline{};
    enum class phase
    {
        in_transit,
        queued,
        running,
        ended
    } phase = phase::in_transit;
    base::duration started{};
};

/// Limits moves between regions: each entry may use an equal part of the cap in any one-second
/// window.
class region_move_limiter : public routing::move_permit
{
public:
    region_move_limiter(topology const& topo, std::uint32_t entry);

    bool try_move(base::place_id const& from, base::place_id const& to, base::byte_count size,
                  base::time_point now) override;

private:
    topology const& topo_;
    std::uint64_t share_;
    std::map<std::string, std::uint32_t> region_of_place_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::deque<base::time_point>> recent_;
};

/// Policy under test. One object decides for all entries.
class policy
{
public:
    virtual ~policy() = default;
    virtual void start() = 0;
    virtual void on_arrival(std::uint32_t request) = 0;
    virtual void on_answer(std::uint32_t job, routing::attempt_result outcome) = 0;
    /// Called when `entry` detects the fault of the scenario or receives the new configuration.
    virtual void on_fault_detected(std::uint32_t entry) = 0;
    /// Called when a load report of an upstream reaches the entries, all at the same time.
    virtual void on_load_report(std::uint32_t upstream, std::uint32_t load) {}
    virtual void finish() {}
};

/// Discrete-event simulation of one run: the upstreams, the network and the clock.
class simulation
{
public:
    simulation(topology const& topo, scenario const& spec, std::vector<arrival> arrivals,
               std::vector<std::vector<speed_step>> speeds);

    /// Processes all events up to a grace period after the last arrival.
    void run(policy& under_test);

    base::duration now() const noexcept
    {
        return now_;
    }
    void run_after(base::duration delay, std::function<void()> callback);

    /// Sends an attempt to an upstream and returns the index of its job.
    std::uint32_t send(std::uint32_t request, std::uint32_t entry, std::uint32_t upstream,
                       std::uint64_t tag, base::duration deadline);
    /// Sends a cancellation to the upstream.
    void cancel(std::uint32_t job);

    /// Records the end of a request; only the first call for a request has an effect.
    void end_request(std::uint32_t request, request_end end);

    bool entry_available(std::uint32_t entry) const;
    bool zone_available(std::uint32_t zone) const;
    /// Returns the entry that receives a request: the one that its caller prefers, or another of
    /// the region if that is unavailable.
    std::uint32_t entry_for(std::uint32_t request) const;

    job const& job_at(std::uint32_t index) const
    {
        return jobs_[index];
    }
    arrival const& arrival_at(std::uint32_t request) const
    {
        return arrivals_[request];
    }
    std::vector<arrival> const& arrivals() const
    {
        return arrivals_;
    }
    std::vector<request_result> const& results() const
    {
        return results_;
    }
    topology const& topo() const
    {
        return topo_;
    }
    scenario const& current_scenario() const
    {
        return scenario_;
    }

    /// Records a request that was sent to another region, and whether it exceeds the cap; ignores
    /// requests that stay in their region.
    void count_move(std::uint32_t from_zone, std::uint32_t to_zone);

    double max_slot_use() const
    {
        return max_slot_use_;
    }
    std::uint64_t moves_over_cap() const
    {
        return moves_over_cap_;
    }
    /// Fraction of the slot time between the fault and the last arrival in which a request ran.
    double utilisation() const;
    /// Time from the start of a drain to the last arrival or end of a request at the drained place.
    base::duration drain_time() const;

private:
    struct upstream_model
    {
        std::vector<std::uint32_t> running;
        std::deque<std::uint32_t> queue;
        std::map<std::uint32_t, std::uint32_t> cold_requests_left;
    };
    struct event
    {
        base::duration at;
        std::uint64_t order;
        std::uint32_t callback;
    };
    struct fires_after
    {
        bool operator()(event const& a, event const& b) const
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    void receive_job(std::uint32_t job);
    void start_job(std::uint32_t job);
    void end_job(std::uint32_t job, routing::attempt_result outcome);
    void start_queued(std::uint32_t upstream);
    void send_answer(std::uint32_t job, routing::attempt_result outcome);
    void report_loads();

    topology const& topo_;
    scenario scenario_;
    std::vector<arrival> arrivals_;
    std::vector<std::vector<speed_step>> speeds_;
    std::vector<request_result> results_;
    std::vector<upstream_model> upstreams_;
    std::vector<job> jobs_;
    std::priority_queue<event, std::vector<event>, fires_after> events_;
    std::vector<std::function<void()>> callbacks_;
    std::vector<std::uint32_t> free_callbacks_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::deque<base::duration>> moves_;
    policy* policy_ = nullptr;
    base::duration now_{};
    std::uint64_t order_ = 0;
    double max_slot_use_ = 0;
    std::uint64_t moves_over_cap_ = 0;
    base::duration last_drained_activity_{};
    base::duration busy_time_{};
};

} // namespace fuchsiaproxy::policy_bench

#endif
