#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fuchsiaproxy/limits/cap_set.hpp"
#include "fuchsiaproxy/limits/share_holder.hpp"
#include "fuchsiaproxy/limits/share_ledger.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::limits;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t cap_limit = 100;
constexpr base::duration time_step = 10ms;
base::cap_id const cap{"shift"};
base::place_id const from{"from"};
base::place_id const to{"to"};

base::availability_zone_id zone_name(std::size_t n)
{
    return base::availability_zone_id{"z" + std::to_string(n)};
}

model::configuration make_configuration(std::uint64_t version, std::uint64_t part_0,
                                        std::uint64_t part_1)
{
    model::configuration it;
    it.version = base::config_version{version};
    it.zones = {{zone_name(0), base::region_id{"r"}}, {zone_name(1), base::region_id{"r"}}};
    it.places = {{from, {}, zone_name(0), {}}, {to, {}, zone_name(1), {}}};
    model::cap shift;
    shift.id = cap;
    shift.limit = cap_limit;
    shift.split = {{zone_name(0), part_0}, {zone_name(1), part_1}};
    it.caps = {shift};
    return it;
}

/// Simulates two zones with entries, hubs, a store and operators, and injects faults: frozen,
/// partitioned, restarted and dead entries, lost, duplicated and delayed messages, and store calls
/// that fail or whose result is unknown.
class simulation
{
public:
    explicit simulation(std::uint64_t seed) : random_(seed)
    {
        for (std::size_t n = 0; n < zones; ++n)
        {
            for (int k = 0; k < 4; ++k)
            {
                add_entry(n);
            }
            hubs_[n] = n * 4;
        }
        configs_ = {make_configuration(1, 60, 40)};
    }

    /// Runs for the time `with_faults` with faults, and then for the time `fault_free` without.
    void run(base::duration with_faults, base::duration fault_free)
    {
        for (base::duration end = with_faults + fault_free; now_ < end; now_ += time_step)
        {
            is_fault_free_ = now_ >= with_faults;
            run_due_events();
            reconfigure();
            for (std::size_t n = 0; n < entries_.size(); ++n)
            {
                inject_faults(n);
                if (is_active(entries_[n]))
                {
                    run_entry(n);
                }
            }
            record_window();
        }
    }

    struct statistics
    {
        std::size_t highest_window = 0;
        std::size_t last_window = 0;
        std::size_t configurations = 0;
        std::uint64_t writes = 0;
    };

    statistics statistics_so_far() const
    {
        return {highest_, moves_.size(), configs_.size(),
                stores_[0].key_revision + stores_[1].key_revision};
    }

private:
    static constexpr std::size_t zones = 2;

    struct entry
    {
        std::size_t zone = 0;
        share_owner self;
        base::duration clock_offset{};
        base::duration created{};
        /// Age of the instance list that this entry reads.
        base::duration list_lag{};
        std::uint64_t version = 0;
        cap_set caps;
        std::unique_ptr<share_holder> holder;
        std::unique_ptr<share_ledger> ledger;
        std::uint64_t key_revision = 0;
        /// Number of the store call that is in progress, or zero.
        std::uint64_t call = 0;
        bool is_dead = false;
        base::duration hub_until{};
        base::duration frozen_until{};
        base::duration partitioned_until{};
        base::duration next_second{};
    };

    struct zone_store
    {
        share_document document;
        std::uint64_t key_revision = 0;
    };

    std::uint64_t random_below(std::uint64_t n)
    {
        return random_() % n;
    }
    bool one_in(std::uint64_t n)
    {
        return !is_fault_free_ && random_below(n) == 0;
    }
    base::duration random_up_to(base::duration longest)
    {
        return base::duration{std::int64_t(random_below(std::uint64_t(longest.count())))};
    }
    base::time_point clock(entry const& it) const
    {
        return base::time_point{1h} + now_ + it.clock_offset;
    }
    bool is_active(entry const& it) const
    {
        return !it.is_dead && it.frozen_until <= now_;
    }
    bool is_reachable(entry const& it) const
    {
        return !it.is_dead && it.partitioned_until <= now_;
    }

    void schedule(base::duration when, std::function<void()> task)
    {
        events_.emplace(when, std::move(task));
    }

    void run_due_events()
    {
        while (!events_.empty() && events_.begin()->first <= now_)
        {
            auto const task = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            task();
        }
    }

    void add_entry(std::size_t zone)
    {
        entries_.emplace_back();
        auto& it = entries_.back();
        it.zone = zone;
        it.self.instance = base::instance_id{"e" + std::to_string(entries_.size())};
        it.clock_offset = random_up_to(1h);
        it.created = now_;
        it.list_lag = random_up_to(5s);
        restart(it);
    }

    void restart(entry& it)
    {
        it.self.number = base::incarnation{++incarnations_};
        it.version = 0;
        it.caps = {};
        it.holder = std::make_unique<share_holder>(it.self.number);
        it.ledger = std::make_unique<share_ledger>();
        it.call = 0;
        it.key_revision = 0;
        it.hub_until = {};
        it.frozen_until = {};
    }

    /// Sends a message that may be delayed, duplicated or lost. It is handled by the process that
    /// runs when it arrives; a frozen process handles it when it resumes.
    void send(std::size_t sender, std::size_t receiver, std::function<void()> const& handle)
    {
        if (!is_reachable(entries_[sender]) || one_in(20))
        {
            return;
        }
        deliver(receiver, now_ + 1ms + random_up_to(is_fault_free_ ? 5ms : 200ms), handle);
        if (one_in(20))
        {
            deliver(receiver, now_ + random_up_to(10s), handle);
        }
    }

    void deliver(std::size_t receiver, base::duration when, std::function<void()> const& handle)
    {
        schedule(when,
                 [this, receiver, handle]
                 {
                     auto const& it = entries_[receiver];
                     if (it.frozen_until > now_)
                     {
                         deliver(receiver, it.frozen_until, handle);
                     }
                     else if (is_reachable(it))
                     {
                         handle();
                     }
                 });
    }

    void perform(std::size_t n, share_actions const& actions)
    {
        auto const owner = entries_[n].self;
        auto const hub = hubs_[entries_[n].zone];
        for (auto const& action : actions)
        {
            if (auto const* const it = std::get_if<set_share>(&action))
            {
                entries_[n].caps.set_share(it->cap, it->amount);
                continue;
            }
            auto const& body = std::get<send_to_hub>(action).body;
            send(n, hub,
                 [this, owner, hub, body]
                 {
                     auto& it = entries_[hub];
                     hub_actions out;
                     if (auto const* const asked = std::get_if<messages::share_request>(&body))
                     {
                         it.ledger->on_request(owner, *asked, clock(it), out);
                     }
                     else
                     {
                         it.ledger->on_return(owner, std::get<messages::share_return>(body),
                                              clock(it));
                     }
                     perform(hub, out);
                 });
        }
    }

    void perform(std::size_t hub, hub_actions const& actions)
    {
        for (auto const& action : actions)
        {
            auto const n = index_of(action.to);
            auto const body = std::get<messages::share_grant>(action.body);
            send(hub, n,
                 [this, n, body]
                 {
                     share_actions out;
                     entries_[n].holder->on_grant(body, out);
                     perform(n, out);
                 });
        }
    }

    std::size_t index_of(base::instance_id const& id) const
    {
        return std::stoul(id.value().substr(1)) - 1;
    }

    void run_entry(std::size_t n)
    {
        auto& it = entries_[n];
        for (auto attempts = random_below(4); attempts > 0; --attempts)
        {
            if (it.version > 0 &&
                it.caps.try_charge(from, to, base::byte_count{0}, clock(it)) == nullptr)
            {
                moves_.push_back(now_);
            }
        }
        if (it.next_second <= now_)
        {
            it.next_second = now_ + 1s;
            auto const hub = hubs_[it.zone];
            send(n, hub,
                 [this, hub, self = it.self]
                 { entries_[hub].ledger->on_owner_alive(self, clock(entries_[hub])); });
            share_actions out;
            it.holder->on_demand(it.caps.take_demand(), clock(it), out);
            perform(n, out);
        }
        if (it.version < configs_.size() && is_reachable(it) &&
            (is_fault_free_ || random_below(100) == 0))
        {
            adopt_configuration(n);
        }
        if (hubs_[it.zone] == n)
        {
            it.hub_until = now_ + 1s + random_up_to(2s);
        }
        // A former hub continues to act as hub for a while, also if it was frozen meanwhile.
        if (it.hub_until > now_ || (it.hub_until > 0s && one_in(100)))
        {
            run_as_hub(n);
        }
    }

    void adopt_configuration(std::size_t n)
    {
        auto& it = entries_[n];
        it.version += 1 + random_below(configs_.size() - it.version);
        auto const& config = configs_[it.version - 1];
        it.caps.apply(config);
        it.ledger->apply(config, zone_name(it.zone));
        share_actions out;
        it.holder->apply(config, zone_name(it.zone), out);
        perform(n, out);
    }

    void run_as_hub(std::size_t n)
    {
        auto& it = entries_[n];
        if (it.version == 0 || it.call != 0 || !is_reachable(it))
        {
            return;
        }
        if (it.key_revision == 0 && it.hub_until > 0s)
        {
            read(n);
            return;
        }
        if (random_below(100) == 0)
        {
            it.ledger->on_instance_list(listed(it), clock(it));
        }
        if (auto const document = it.ledger->prepare(clock(it)))
        {
            write(n, *document);
        }
    }

    std::set<base::instance_id> listed(entry const& reader) const
    {
        std::set<base::instance_id> all;
        for (std::size_t n = 0; n < entries_.size(); ++n)
        {
            auto const died = died_at_.find(n);
            auto const is_unlisted =
                died != died_at_.end() && died->second + reader.list_lag <= now_;
            if (entries_[n].zone == reader.zone && !is_unlisted &&
                entries_[n].created + reader.list_lag <= now_)
            {
                all.insert(entries_[n].self.instance);
            }
        }
        return all;
    }

    /// Starts a store call, which fails after a timeout unless `deliver_result` comes first.
    std::uint64_t start_call(std::size_t n)
    {
        auto const call = entries_[n].call = ++calls_;
        schedule(now_ + 3s, [this, n, call] { deliver_result(n, call, now_, fail_call); });
        return call;
    }

    /// Delivers the result of a call to the process that made it, unless that process has stopped
    /// or the call has timed out.
    void deliver_result(std::size_t n, std::uint64_t call, base::duration when,
                        std::function<void(entry&)> const& handle)
    {
        schedule(std::max(when, entries_[n].frozen_until),
                 [this, n, call, handle]
                 {
                     auto& it = entries_[n];
                     if (it.call != call || it.is_dead)
                     {
                         return;
                     }
                     if (it.frozen_until > now_)
                     {
                         deliver_result(n, call, it.frozen_until, handle);
                         return;
                     }
                     it.call = 0;
                     handle(it);
                 });
    }

    static void fail_call(entry& it)
    {
        it.ledger->on_commit_failed();
        it.key_revision = 0;
    }

    base::duration after_latency()
    {
        return now_ + 1ms + random_up_to(is_fault_free_ ? 5ms : 300ms);
    }

    void read(std::size_t n)
    {
        auto const call = start_call(n);
        auto const zone = entries_[n].zone;
        auto const reply = after_latency();
        schedule(after_latency(),
                 [=]
                 {
                     auto const store = stores_[zone];
                     deliver_result(n, call, reply + 300ms,
                                    [this, store](entry& it)
                                    {
                                        it.key_revision = store.key_revision + 1;
                                        it.ledger->load(store.document, clock(it));
                                    });
                 });
    }

    void write(std::size_t n, share_document const& document)
    {
        auto const call = start_call(n);
        auto const zone = entries_[n].zone;
        auto const expected = entries_[n].key_revision - 1;
        auto const is_lost = one_in(10);
        auto const has_no_effect = one_in(20);
        if (is_lost || has_no_effect)
        {
            deliver_result(n, call, after_latency(), fail_call);
        }
        // A write with an unknown result may still take effect long after the call has failed.
        schedule(is_lost ? now_ + random_up_to(5s) : after_latency(),
                 [=]
                 {
                     auto& store = stores_[zone];
                     auto const is_success = !has_no_effect && store.key_revision == expected;
                     if (is_success)
                     {
                         store = {document, expected + 1};
                     }
                     if (is_lost || has_no_effect)
                     {
                         return;
                     }
                     deliver_result(n, call, after_latency(),
                                    [=](entry& it)
                                    {
                                        if (!is_success)
                                        {
                                            fail_call(it);
                                            return;
                                        }
                                        ++it.key_revision;
                                        hub_actions out;
                                        it.ledger->on_committed(out);
                                        perform(n, out);
                                    });
                 });
    }

    /// An operator moves a part of the cap from one zone to the other. As the protocol requires,
    /// the other zone's part is raised only after the reduction is in force.
    void reconfigure()
    {
        auto const version = configs_.size();
        if (version % 2 == 1)
        {
            if (one_in(500))
            {
                lowered_zone_ = random_below(zones);
                parts_[lowered_zone_] = random_below(parts_[lowered_zone_] + 1);
                configs_.push_back(make_configuration(version + 1, parts_[0], parts_[1]));
            }
            return;
        }
        if (is_reduction_in_force(stores_[lowered_zone_].document, cap, parts_[lowered_zone_],
                                  base::config_version{version}))
        {
            parts_[1 - lowered_zone_] = cap_limit - parts_[lowered_zone_];
            configs_.push_back(make_configuration(version + 1, parts_[0], parts_[1]));
        }
    }

    void inject_faults(std::size_t n)
    {
        auto& it = entries_[n];
        if (it.is_dead)
        {
            return;
        }
        if (one_in(1'000))
        {
            it.frozen_until = now_ + random_up_to(8s);
        }
        if (one_in(1'000))
        {
            it.partitioned_until = now_ + random_up_to(8s);
        }
        if (one_in(2'000))
        {
            restart(it);
        }
        if (one_in(10'000) && hubs_[it.zone] != n)
        {
            it.is_dead = true;
            died_at_[n] = now_;
            add_entry(it.zone);
            return;
        }
        if (one_in(1'000) || (hubs_[it.zone] == n && it.frozen_until > now_ + 2s))
        {
            elect_hub(it.zone);
        }
    }

    void elect_hub(std::size_t zone)
    {
        for (;;)
        {
            auto const n = random_below(entries_.size());
            if (entries_[n].zone == zone && !entries_[n].is_dead)
            {
                hubs_[zone] = n;
                return;
            }
        }
    }

    void record_window()
    {
        while (!moves_.empty() && moves_.front() + limit_window <= now_)
        {
            moves_.pop_front();
        }
        highest_ = std::max(highest_, moves_.size());
    }

    std::mt19937_64 random_;
    base::duration now_{};
    bool is_fault_free_ = false;
    std::deque<entry> entries_;
    std::size_t hubs_[zones] = {};
    zone_store stores_[zones];
    std::vector<model::configuration> configs_;
    std::uint64_t parts_[zones] = {60, 40};
    std::size_t lowered_zone_ = 0;
    std::map<std::size_t, base::duration> died_at_;
    std::uint64_t incarnations_ = 0;
    std::uint64_t calls_ = 0;
    std::multimap<base::duration, std::function<void()>> events_;
    std::deque<base::duration> moves_;
    std::size_t highest_ = 0;
};

} // namespace

TEST_GROUP(shares){};

// Guards against more moves than the cap in any window while entries freeze, restart, die or are
// partitioned, messages are lost, duplicated or late, and hubs and configurations change.
TEST(shares, sum_of_moves_never_exceeds_the_cap)
{
    std::size_t highest = 0;
    std::size_t lowest_at_end = cap_limit;
    std::size_t configurations = 0;
    std::uint64_t writes = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        simulation simulated{seed};
        simulated.run(60s, 90s);
        auto const it = simulated.statistics_so_far();
        auto const text = "seed " + std::to_string(seed) + ": highest window " +
                          std::to_string(it.highest_window) + ", at the end " +
                          std::to_string(it.last_window);
        CHECK_TEXT(it.highest_window <= cap_limit, text.c_str());
        // Guards against shares that are not granted again after the faults.
        CHECK_TEXT(it.last_window >= cap_limit * 9 / 10, text.c_str());
        highest = std::max(highest, it.highest_window);
        lowest_at_end = std::min(lowest_at_end, it.last_window);
        configurations += it.configurations;
        writes += it.writes;
    }
    std::printf("\nhighest window %zu of %zu, lowest at the end %zu, %zu configurations, "
                "%zu writes\n",
                highest, std::size_t{cap_limit}, lowest_at_end, configurations,
                std::size_t{writes});
}
