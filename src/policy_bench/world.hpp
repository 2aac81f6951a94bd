#ifndef FUCHSIAPROXY_POLICY_BENCH_WORLD_HPP
#define FUCHSIAPROXY_POLICY_BENCH_WORLD_HPP

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
    /// Told "not run" on arrival.
    refused,
    /// Gave up after waiting, or the upstream failed.
    failed,
    /// Its entry died.
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
    /// Number by which the policy knows the attempt.
    std::uint64_t tag = 0;
    base::duration deadline{};
    enum class phase
    {
        travelling,
        queued,
        running,
        ended
    } phase = phase::travelling;
    base::duration started{};
};

/// Gate for moves between regions: each entry may use its equal part of the cap in any second.
class region_gate : public routing::move_permit
{
public:
    region_gate(layout const& where, std::uint32_t entry);

    bool try_move(base::place_id const& from, base::place_id const& to, base::byte_count size,
                  base::time_point now) override;

private:
    layout const& where_;
    std::uint64_t share_;
    std::map<std::string, std::uint32_t> region_of_place_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::deque<base::time_point>> recent_;
};

/// Policy under test: one object for all entries.
class policy
{
public:
    virtual ~policy() = default;
    virtual void start() = 0;
    virtual void on_arrival(std::uint32_t request) = 0;
    virtual void on_answer(std::uint32_t job, routing::attempt_result outcome) = 0;
    /// The fault of the scenario becomes known to `entry`.
    virtual void on_fault_known(std::uint32_t entry) = 0;
    /// A load report of an upstream reaches all entries.
    virtual void on_load_report(std::uint32_t upstream, std::uint32_t load) {}
    virtual void finish() {}
};

/// Upstreams, network and time of one run.
class world
{
public:
    world(layout const& where, scenario const& what, std::vector<arrival> arrivals,
          std::vector<std::vector<speed_step>> speeds);

    /// Runs all events up to some time after the last arrival.
    void run(policy& under_test);

    base::duration now() const noexcept
    {
        return now_;
    }
    void after(base::duration delay, std::function<void()> call);

    /// Sends an attempt to an upstream and returns the index of its job.
    std::uint32_t send(std::uint32_t request, std::uint32_t entry, std::uint32_t upstream,
                       std::uint64_t tag, base::duration deadline);
    /// Sends a cancellation to the upstream.
    void cancel(std::uint32_t job);

    /// Ends a request; later ends are ignored.
    void end_request(std::uint32_t request, request_end end);

    bool entry_alive(std::uint32_t entry) const;
    bool zone_alive(std::uint32_t zone) const;
    /// Entry that gets a caller's request: its own one, or another of the region if that died.
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
    layout const& where() const
    {
        return where_;
    }
    scenario const& what() const
    {
        return what_;
    }

    /// Records a move that a gate allowed.
    void count_move(std::uint32_t from_zone, std::uint32_t to_zone);

    double max_slot_use() const
    {
        return max_slot_use_;
    }
    std::uint64_t moves_over_cap() const
    {
        return moves_over_cap_;
    }
    /// Share of the slot time between the fault and the last arrival in which a request ran.
    double utilisation() const;
    /// Time from the start of a drain until the place was idle for good.
    base::duration drain_time() const;

private:
    struct upstream_model
    {
        std::vector<std::uint32_t> running;
        std::deque<std::uint32_t> queue;
        std::map<std::uint32_t, std::uint32_t> cold_left;
    };
    struct event
    {
        base::duration at;
        std::uint64_t order;
        std::uint32_t call;
    };
    struct later
    {
        bool operator()(event const& a, event const& b) const
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    void arrive(std::uint32_t job);
    void begin(std::uint32_t job);
    void end_job(std::uint32_t job, routing::attempt_result outcome);
    void start_queued(std::uint32_t upstream);
    void answer(std::uint32_t job, routing::attempt_result outcome);
    void report_loads();

    layout const& where_;
    scenario what_;
    std::vector<arrival> arrivals_;
    std::vector<std::vector<speed_step>> speeds_;
    std::vector<request_result> results_;
    std::vector<upstream_model> upstreams_;
    std::vector<job> jobs_;
    std::priority_queue<event, std::vector<event>, later> events_;
    std::vector<std::function<void()>> calls_;
    std::vector<std::uint32_t> free_calls_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::deque<base::duration>> moves_;
    policy* policy_ = nullptr;
    base::duration now_{};
    std::uint64_t order_ = 0;
    double max_slot_use_ = 0;
    std::uint64_t moves_over_cap_ = 0;
    base::duration last_in_drained_{};
    base::duration busy_{};
};

} // namespace fuchsiaproxy::policy_bench

#endif
