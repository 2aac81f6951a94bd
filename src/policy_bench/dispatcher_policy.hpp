#ifndef FUCHSIAPROXY_POLICY_BENCH_DISPATCHER_POLICY_HPP
#define FUCHSIAPROXY_POLICY_BENCH_DISPATCHER_POLICY_HPP

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "fuchsiaproxy/routing/dispatcher.hpp"
#include "simulation.hpp"

namespace fuchsiaproxy::policy_bench
{

/// Runs one dispatcher per entry. Messages between the dispatchers take the network delay between
/// the zones of their entries.
class dispatcher_policy : public policy
{
public:
    dispatcher_policy(simulation& sim, routing::dispatcher_settings const& settings);

    void start() override;
    void on_arrival(std::uint32_t request) override;
    void on_answer(std::uint32_t job, routing::attempt_result outcome) override;
    void on_fault_detected(std::uint32_t entry) override;
    void finish() override;

    /// Counters summed over all entries; valid after `finish`.
    routing::dispatcher_counters const& counters() const
    {
        return counters_;
    }

private:
    struct entry_state
    {
        std::unique_ptr<region_move_limiter> move_limiter;
        std::unique_ptr<routing::dispatcher> entry_dispatcher;
        std::unordered_map<std::uint64_t, std::uint32_t> job_of_attempt;
        base::time_point wakeup = base::time_point::max();
    };

    base::time_point now() const
    {
        return base::time_point(sim_.now());
    }
    void carry_out(std::uint32_t entry);
    void carry_out(std::uint32_t entry, routing::start_attempt const& it);
    void carry_out(std::uint32_t entry, routing::cancel_attempt const& it);
    void carry_out(std::uint32_t entry, routing::fail_request const& it);
    void carry_out(std::uint32_t entry, routing::send_message const& it);
    void schedule(std::uint32_t entry);

    simulation& sim_;
    routing::dispatcher_settings settings_;
    std::vector<entry_state> entries_;
    std::unordered_map<std::string, std::uint32_t> entry_by_id_;
    std::unordered_map<std::string, std::uint32_t> upstream_by_id_;
    routing::dispatch_actions actions_;
    routing::dispatcher_counters counters_;
};

} // namespace fuchsiaproxy::policy_bench

#endif
