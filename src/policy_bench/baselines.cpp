#include "baselines.hpp"

#include <algorithm>

namespace fuchsiaproxy::policy_bench
{

namespace
{

using namespace std::chrono_literals;
using routing::attempt_result;

constexpr base::duration avoid_after_failure = 5s;
constexpr std::uint32_t shift_percent = 30;

class baseline : public policy
{
public:
    baseline(simulation& sim, baseline_kind kind)
        : sim_(sim), kind_(kind), random_(sim.current_scenario().seed ^ 0xba5e)
    {
    }

    void start() override
    {
        auto const entries = sim_.topo().entry_zone.size();
        auto const upstreams = sim_.topo().upstreams.size();
        states_.resize(entries);
        for (std::uint32_t n = 0; n < entries; ++n)
        {
            states_[n].open_attempts.resize(upstreams);
            states_[n].avoid_until.resize(upstreams);
            states_[n].round_robin_next.resize(sim_.topo().source.workload.size(), n);
            move_limiters_.emplace_back(sim_.topo(), n);
        }
        reported_.resize(upstreams);
    }

    void on_arrival(std::uint32_t request) override
    {
        send_attempt(request, sim_.entry_for(request), 0);
    }

    void on_answer(std::uint32_t index, attempt_result outcome) override
    {
        auto const it = sim_.job_at(index);
        auto& state = states_[it.entry];
        --state.open_attempts[it.upstream];
        if (!sim_.entry_available(it.entry))
        {
            sim_.end_request(it.request, request_end::lost);
            return;
        }
        if (outcome == attempt_result::completed)
        {
            sim_.end_request(it.request, request_end::served);
            return;
        }
        if (outcome == attempt_result::connect_failed)
        {
            state.avoid_until[it.upstream] = sim_.now() + avoid_after_failure;
            if (it.tag == 0 && sim_.now() < it.deadline)
            {
                send_attempt(it.request, it.entry, 1);
                return;
            }
        }
        sim_.end_request(it.request, request_end::failed);
    }

    void on_fault_detected(std::uint32_t entry) override
    {
        states_[entry].fault_detected = true;
    }

    void on_load_report(std::uint32_t upstream, std::uint32_t load) override
    {
        reported_[upstream] = load;
    }

private:
    struct entry_state
    {
        std::vector<std::uint32_t> open_attempts;
        std::vector<base::duration> avoid_until;
        std::vector<std::uint32_t> round_robin_next;
        bool fault_detected = false;
        std::uint32_t shift_credit = 0;
    };

    void send_attempt(std::uint32_t request, std::uint32_t entry, std::uint64_t number)
    {
        auto const& it = sim_.arrival_at(request);
        auto const& kind =
            sim_.topo().source.configuration.services[it.service].classes[it.request_class];
        auto const upstream = choose(it.service, entry);
        if (upstream == sim_.topo().upstreams.size())
        {
            sim_.end_request(request, request_end::refused);
            return;
        }
        ++states_[entry].open_attempts[upstream];
        sim_.send(request, entry, upstream, number, it.at + kind.deadline);
    }

    bool usable(std::uint32_t upstream, std::uint32_t entry) const
    {
        auto const& info = sim_.topo().upstreams[upstream];
        auto const& state = states_[entry];
        bool const known_lost = state.fault_detected &&
                                sim_.current_scenario().injected_fault == fault::zone_lost &&
                                info.zone == lost_zone;
        bool const known_drained = state.fault_detected &&
                                   sim_.current_scenario().injected_fault == fault::drain &&
                                   info.place == 0;
        return !known_lost && !known_drained && sim_.now() >= state.avoid_until[upstream];
    }

    std::uint32_t choose(std::uint32_t service, std::uint32_t entry)
    {
        auto const& topo = sim_.topo();
        auto& state = states_[entry];
        auto const zone = topo.entry_zone[entry];
        auto const region = topo.region_of_zone[zone];
        bool const shifts = state.fault_detected &&
                            sim_.current_scenario().injected_fault == fault::shift &&
                            service == 0 && zone == 0;
        std::vector<std::uint32_t> near;
        std::vector<std::uint32_t> far;
        std::vector<std::uint32_t> target;
        for (std::uint32_t n = 0; n < topo.upstreams.size(); ++n)
        {
            auto const& info = topo.upstreams[n];
            if (info.service != service || !usable(n, entry))
            {
                continue;
            }
            (info.region == region ? near : far).push_back(n);
            if (info.zone == 2)
            {
                target.push_back(n);
            }
        }
        if (shifts && (state.shift_credit += shift_percent) >= 100)
        {
            state.shift_credit -= 100;
            auto const chosen = pick(target, service, entry);
            if (may_move(entry, chosen))
            {
                return chosen;
            }
        }
        if (!near.empty())
        {
            return pick(near, service, entry);
        }
        if (far.empty())
        {
            return static_cast<std::uint32_t>(topo.upstreams.size());
        }
        auto const chosen = pick(far, service, entry);
        return may_move(entry, chosen) ? chosen : static_cast<std::uint32_t>(topo.upstreams.size());
    }

    bool may_move(std::uint32_t entry, std::uint32_t upstream)
    {
        auto const& topo = sim_.topo();
        auto const& places = topo.source.configuration.places;
        // The source of the move is the first service's place in the entry's zone, whatever the
        // service of the request: the limiter looks only at the regions of the two places.
        auto const zone = topo.entry_zone[entry];
        base::time_point const now(sim_.now());
        if (!move_limiters_[entry].try_move(places[zone].id,
                                            places[topo.upstreams[upstream].place].id, {}, now))
        {
            return false;
        }
        sim_.count_move(zone, topo.upstreams[upstream].zone);
        return true;
    }

    std::uint32_t pick(std::vector<std::uint32_t> const& from, std::uint32_t service,
                       std::uint32_t entry)
    {
        auto& state = states_[entry];
        auto const pick_random = [&] { return from[random_.next() % from.size()]; };
        switch (kind_)
        {
        case baseline_kind::round_robin:
            return from[state.round_robin_next[service]++ % from.size()];
        case baseline_kind::random:
            return pick_random();
        case baseline_kind::two_choices:
        {
            auto const a = pick_random();
            auto const b = pick_random();
            return state.open_attempts[b] < state.open_attempts[a] ? b : a;
        }
        case baseline_kind::least_reported:
        {
            auto best = pick_random(); // a random start spreads equal loads
            for (auto const n : from)
            {
                best = reported_[n] < reported_[best] ? n : best;
            }
            return best;
        }
        }
        return from.front();
    }

    simulation& sim_;
    baseline_kind kind_;
    random_source random_;
    std::vector<entry_state> states_;
    std::vector<region_move_limiter> move_limiters_;
    std::vector<std::uint32_t> reported_;
};

} // namespace

std::unique_ptr<policy> make_baseline(simulation& sim, baseline_kind kind)
{
    return std::make_unique<baseline>(sim, kind);
}

} // namespace fuchsiaproxy::policy_bench
