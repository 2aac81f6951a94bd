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
    baseline(world& in, baseline_kind kind) : in_(in), kind_(kind), random_(in.what().seed ^ 0xba5e)
    {
    }

    void start() override
    {
        auto const entries = in_.where().entry_zone.size();
        auto const upstreams = in_.where().upstreams.size();
        states_.resize(entries);
        for (std::uint32_t n = 0; n < entries; ++n)
        {
            states_[n].open.resize(upstreams);
            states_[n].avoid_until.resize(upstreams);
            states_[n].turn.resize(in_.where().source.workload.size(), n);
            gates_.emplace_back(in_.where(), n);
        }
        reported_.resize(upstreams);
    }

    void on_arrival(std::uint32_t request) override
    {
        attempt(request, in_.entry_for(request), 0);
    }

    void on_answer(std::uint32_t index, attempt_result outcome) override
    {
        auto const it = in_.job_at(index);
        auto& state = states_[it.entry];
        --state.open[it.upstream];
        if (!in_.entry_alive(it.entry))
        {
            in_.end_request(it.request, request_end::lost);
            return;
        }
        if (outcome == attempt_result::completed)
        {
            in_.end_request(it.request, request_end::served);
            return;
        }
        if (outcome == attempt_result::connect_failed)
        {
            state.avoid_until[it.upstream] = in_.now() + avoid_after_failure;
            if (it.tag == 0 && in_.now() < it.deadline)
            {
                attempt(it.request, it.entry, 1);
                return;
            }
        }
        in_.end_request(it.request, request_end::failed);
    }

    void on_fault_known(std::uint32_t entry) override
    {
        states_[entry].knows_fault = true;
    }

    void on_load_report(std::uint32_t upstream, std::uint32_t load) override
    {
        reported_[upstream] = load;
    }

private:
    struct entry_state
    {
        std::vector<std::uint32_t> open;
        std::vector<base::duration> avoid_until;
        std::vector<std::uint32_t> turn;
        bool knows_fault = false;
        std::uint32_t shift_credit = 0;
    };

    void attempt(std::uint32_t request, std::uint32_t entry, std::uint64_t number)
    {
        auto const& it = in_.arrival_at(request);
        auto const& kind =
            in_.where().source.configuration.services[it.service].classes[it.request_class];
        auto const upstream = choose(it.service, entry);
        if (upstream == in_.where().upstreams.size())
        {
            in_.end_request(request, request_end::refused);
            return;
        }
        ++states_[entry].open[upstream];
        in_.send(request, entry, upstream, number, it.at + kind.deadline);
    }

    bool usable(std::uint32_t upstream, std::uint32_t entry) const
    {
        auto const& at = in_.where().upstreams[upstream];
        auto const& state = states_[entry];
        bool const known_lost =
            state.knows_fault && in_.what().what == fault::zone_lost && at.zone == lost_zone;
        bool const known_drained =
            state.knows_fault && in_.what().what == fault::drain && at.place == 0;
        return !known_lost && !known_drained && in_.now() >= state.avoid_until[upstream];
    }

    std::uint32_t choose(std::uint32_t service, std::uint32_t entry)
    {
        auto const& where = in_.where();
        auto& state = states_[entry];
        auto const zone = where.entry_zone[entry];
        auto const region = where.region_of_zone[zone];
        bool const shifts =
            state.knows_fault && in_.what().what == fault::shift && service == 0 && zone == 0;
        std::vector<std::uint32_t> near;
        std::vector<std::uint32_t> far;
        std::vector<std::uint32_t> target;
        for (std::uint32_t n = 0; n < where.upstreams.size(); ++n)
        {
            auto const& at = where.upstreams[n];
            if (at.service != service || !usable(n, entry))
            {
                continue;
            }
            (at.region == region ? near : far).push_back(n);
            if (at.zone == 2)
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
            return static_cast<std::uint32_t>(where.upstreams.size());
        }
        auto const chosen = pick(far, service, entry);
        return may_move(entry, chosen) ? chosen
                                       : static_cast<std::uint32_t>(where.upstreams.size());
    }

    bool may_move(std::uint32_t entry, std::uint32_t upstream)
    {
        auto const& where = in_.where();
        auto const& places = where.source.configuration.places;
        // The place of the first service in the entry's zone stands for the home place.
        auto const zone = where.entry_zone[entry];
        base::time_point const now(in_.now());
        if (!gates_[entry].try_move(places[zone].id, places[where.upstreams[upstream].place].id, {},
                                    now))
        {
            return false;
        }
        in_.count_move(zone, where.upstreams[upstream].zone);
        return true;
    }

    std::uint32_t pick(std::vector<std::uint32_t> const& from, std::uint32_t service,
                       std::uint32_t entry)
    {
        auto& state = states_[entry];
        auto const any = [&] { return from[random_.next() % from.size()]; };
        switch (kind_)
        {
        case baseline_kind::round_robin:
            return from[state.turn[service]++ % from.size()];
        case baseline_kind::random:
            return any();
        case baseline_kind::two_choices:
        {
            auto const a = any();
            auto const b = any();
            return state.open[b] < state.open[a] ? b : a;
        }
        case baseline_kind::least_reported:
        {
            auto best = any(); // breaks ties at random
            for (auto const n : from)
            {
                best = reported_[n] < reported_[best] ? n : best;
            }
            return best;
        }
        }
        return from.front();
    }

    world& in_;
    baseline_kind kind_;
    random_source random_;
    std::vector<entry_state> states_;
    std::vector<region_gate> gates_;
    std::vector<std::uint32_t> reported_;
};

} // namespace

std::unique_ptr<policy> make_baseline(world& in, baseline_kind kind)
{
    return std::make_unique<baseline>(in, kind);
}

} // namespace fuchsiaproxy::policy_bench
