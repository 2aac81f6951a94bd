#include "decision_cost.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

#include "fuchsiaproxy/routing/dispatcher.hpp"

namespace
{

std::uint64_t allocations = 0;

} // namespace

// Replaces the global operators to count the heap allocations of the whole program.
// Not inlined: g++ 12 otherwise reports the calls of malloc and free as mismatched.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    ++allocations;
    if (void* const it = std::malloc(size))
    {
        return it;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* it) noexcept
{
    std::free(it);
}

[[gnu::noinline]] void operator delete(void* it, std::size_t) noexcept
{
    std::free(it);
}

namespace fuchsiaproxy::policy_bench
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned zones = 6;

struct allow_all : routing::move_permit
{
    bool try_move(base::place_id const&, base::place_id const&, base::byte_count,
                  base::time_point) override
    {
        return true;
    }
};

std::string zone_name(unsigned n)
{
    return "z" + std::to_string(n % zones);
}

model::configuration make_configuration(unsigned upstreams)
{
    model::configuration it;
    it.delays = {500us, 20ms, 3ms};
    it.services.push_back({base::service_id("s"),
                           {},
                           {{"lookup", "", "/", true, base::request_weight(1), 600ms}},
                           {},
                           0.999});
    for (unsigned n = 0; n < zones; ++n)
    {
        it.zones.push_back({base::availability_zone_id(zone_name(n)), base::region_id("r")});
        it.places.push_back({base::place_id("p" + std::to_string(n)),
                             base::service_id("s"),
                             base::availability_zone_id(zone_name(n)),
                             {}});
    }
    for (unsigned n = 0; n < upstreams; ++n)
    {
        it.places[n % zones].upstreams.push_back({base::upstream_id("u" + std::to_string(n)),
                                                  {"10.0.0.1", 80},
                                                  base::slot_count(4),
                                                  400});
    }
    return it;
}

std::vector<messages::entry_info> make_entries(unsigned count)
{
    std::vector<messages::entry_info> list;
    for (unsigned n = 0; n < count; ++n)
    {
        messages::entry_info it;
        it.id = base::instance_id("e" + std::to_string(n));
        it.region = base::region_id("r");
        it.zone = base::availability_zone_id(zone_name(n));
        list.push_back(std::move(it));
    }
    return list;
}

struct cost
{
    double decision_ns = 0;
    double cycle_ns = 0;
    double allocations = 0;
    double configure_ms = 0;
};

/// Runs requests through the dispatcher of one entry with half of its own slots in use. A decision
/// is one call of `enqueue`; a cycle also includes the end of an attempt and the due timers.
cost measure_cost(unsigned upstreams, unsigned entries)
{
    constexpr unsigned warm_up = 20000;
    constexpr unsigned iterations = 100000;
    constexpr std::size_t open_attempts = 2;
    using clock = std::chrono::steady_clock;
    allow_all permit;
    routing::dispatcher d(
        {base::instance_id("e0"), base::region_id("r"), base::availability_zone_id("z0")}, 1,
        permit);
    base::time_point now{};
    routing::dispatch_actions actions;
    auto const before = clock::now();
    d.configure(make_configuration(upstreams), now);
    d.set_entries(make_entries(entries), now);
    cost it;
    it.configure_ms = std::chrono::duration<double, std::milli>(clock::now() - before).count();
    now += 10s;
    d.tick(now, actions);
    std::vector<base::attempt_id> open;
    open.reserve(16);
    base::service_id const service("s");
    std::chrono::nanoseconds enqueue_time{};
    auto start = clock::now();
    std::uint64_t allocations_before = 0;
    for (unsigned n = 0; n < warm_up + iterations; ++n)
    {
        if (n == warm_up)
        {
            enqueue_time = {};
            start = clock::now();
            allocations_before = allocations;
        }
        now += 1ms;
        actions.clear();
        routing::queued_request const request{
            base::local_request_id(n + 1), service, 0, now, now + 600ms, base::byte_count(2000)};
        auto const enqueue_start = clock::now();
        d.enqueue(request, now, actions);
        enqueue_time += clock::now() - enqueue_start;
        for (auto const& action : actions)
        {
            if (auto const* const started = std::get_if<routing::start_attempt>(&action))
            {
                open.push_back(started->attempt);
            }
        }
        actions.clear();
        if (open.size() > open_attempts)
        {
            d.on_attempt_finished(open.front(), routing::attempt_result::completed, now, actions);
            open.erase(open.begin());
        }
        if (d.next_wakeup(now) <= now)
        {
            d.tick(now, actions);
        }
    }
    auto const total_time = std::chrono::duration<double, std::nano>(clock::now() - start).count();
    it.decision_ns = static_cast<double>(enqueue_time.count()) / iterations;
    it.cycle_ns = total_time / iterations;
    it.allocations = static_cast<double>(allocations - allocations_before) / iterations;
    return it;
}

} // namespace

nlohmann::json print_decision_costs()
{
    nlohmann::json out;
    std::printf("\ncost of a decision (enqueue, clock calls included), wall clock\n"
                "%9s %8s %12s %10s %12s %14s\n",
                "upstreams", "entries", "decision ns", "cycle ns", "allocations", "configure ms");
    for (unsigned const entries : {12U, 120U, 1800U})
    {
        for (unsigned const upstreams : {60U, 100U, 1000U, 10000U})
        {
            auto const it = measure_cost(upstreams, entries);
            std::printf("%9u %8u %12.0f %10.0f %12.3f %14.1f\n", upstreams, entries, it.decision_ns,
                        it.cycle_ns, it.allocations, it.configure_ms);
            out.push_back({{"upstreams", upstreams},
                           {"entries", entries},
                           {"decision_ns", it.decision_ns},
                           {"cycle_ns", it.cycle_ns},
                           {"allocations", it.allocations},
                           {"configure_ms", it.configure_ms}});
        }
    }
    return out;
}

} // namespace fuchsiaproxy::policy_bench
