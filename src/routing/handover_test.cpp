#include "fuchsiaproxy/routing/dispatcher.hpp"

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t slots_per_upstream = 3;
constexpr std::size_t upstream_count = 8;

struct unlimited_permit : routing::move_permit
{
    bool try_move(base::place_id const&, base::place_id const&, base::byte_count,
                  base::time_point) override
    {
        return true;
    }
};

model::configuration one_zone()
{
    model::configuration it;
    it.services.push_back({base::service_id("catalog"),
                           {},
                           {{"lookup", "", "/", true, base::request_weight(1), 400ms}},
                           {},
                           0.999});
    it.zones.push_back({base::availability_zone_id("h-a"), base::region_id("h")});
    model::place place{
        base::place_id("p"), base::service_id("catalog"), base::availability_zone_id("h-a"), {}};
    for (std::size_t n = 0; n < upstream_count; ++n)
    {
        place.upstreams.push_back({base::upstream_id("u" + std::to_string(n)),
                                   {"10.0.0.1", 80},
                                   base::slot_count(slots_per_upstream),
                                   400});
    }
    it.places.push_back(std::move(place));
    return it;
}

/// Simulates the entries of one zone, whose views follow the membership with a random lag, and a
/// network that delays, loses and duplicates messages.
struct fleet_model
{
    struct event
    {
        enum kind_type
        {
            message,
            attempt_end,
            view
        } kind;
        std::string from;
        std::string to;
        std::uint64_t process = 0;
        messages::message body;
        base::attempt_id attempt;
        base::upstream_id upstream;
        std::vector<messages::entry_info> entries;
    };
    struct node
    {
        std::unique_ptr<routing::dispatcher> dispatcher;
        std::uint64_t process = 0;
        bool draining = false;
    };

    explicit fleet_model(unsigned seed, double loss_rate) : random(seed), loss(loss_rate) {}

    double draw()
    {
        return static_cast<double>(random() % 1'000'000) / 1e6;
    }
    base::duration draw_up_to(base::duration most)
    {
        return base::duration(static_cast<base::duration::rep>(draw() * most.count()));
    }

    std::vector<messages::entry_info> members() const
    {
        std::vector<messages::entry_info> all;
        for (auto const& it : nodes)
        {
            messages::entry_info info;
            info.id = base::instance_id(it.first);
            info.region = base::region_id("h");
            info.zone = base::availability_zone_id("h-a");
            info.draining = it.second.draining;
            all.push_back(info);
        }
        return all;
    }

    void publish_view(base::duration least)
    {
        for (auto const& it : nodes)
        {
            // Later views never arrive before earlier ones.
            auto& last = last_view[it.first];
            last = std::max(last, now + least + draw_up_to(2s - least));
            events.emplace(
                last, event{event::view, {}, it.first, it.second.process, {}, {}, {}, members()});
        }
    }

    void start(std::string const& id)
    {
        auto& it = nodes[id];
        it.process = ++processes;
        it.draining = false;
        it.dispatcher = std::make_unique<routing::dispatcher>(
            routing::dispatcher_identity{base::instance_id(id), base::region_id("h"),
                                         base::availability_zone_id("h-a")},
            processes * 1000, permit);
        it.dispatcher->configure(one_zone(), now);
        it.dispatcher->set_entries(members(), now);
        publish_view(0s);
    }
    void drain(std::string const& id)
    {
        nodes[id].draining = true;
        publish_view(0s);
    }
    void kill(std::string const& id)
    {
        nodes.erase(id);
        publish_view(1s);
    }

    void perform(std::string const& id, routing::dispatch_actions const& actions)
    {
        for (auto const& action : actions)
        {
            if (auto const* const it = std::get_if<routing::start_attempt>(&action))
            {
                auto& count = open[it->upstream];
                ++count;
                most_open = std::max(most_open, count);
                ++started;
                auto const end = std::min(now + 5ms + draw_up_to(60ms), it->deadline);
                events.emplace(end, event{event::attempt_end,
                                          {},
                                          id,
                                          nodes[id].process,
                                          {},
                                          it->attempt,
                                          it->upstream,
                                          {}});
            }
            else if (auto const* const sent = std::get_if<routing::send_message>(&action))
            {
                auto const copies = draw() < loss ? 0 : draw() < loss ? 2 : 1;
                for (int n = 0; n < copies; ++n)
                {
                    events.emplace(
                        now + 100us + draw_up_to(5ms),
                        event{event::message, id, sent->to.value(), 0, sent->body, {}, {}, {}});
                }
            }
            else if (std::holds_alternative<routing::fail_request>(action))
            {
                ++refused;
            }
        }
    }

    void handle(event const& it)
    {
        routing::dispatch_actions actions;
        if (it.kind == event::attempt_end)
        {
            --open[it.upstream];
        }
        auto const found = nodes.find(it.to);
        if (found == nodes.end() || (it.process != 0 && it.process != found->second.process))
        {
            return;
        }
        auto& to = *found->second.dispatcher;
        if (it.kind == event::attempt_end)
        {
            to.on_attempt_finished(it.attempt, base::attempt_result::completed, now, actions);
        }
        else if (it.kind == event::view)
        {
            to.set_entries(it.entries, now);
        }
        else
        {
            std::visit(
                [&](auto const& body)
                {
                    using type = std::decay_t<decltype(body)>;
                    if constexpr (std::is_same_v<type, messages::loan_request> ||
                                  std::is_same_v<type, messages::loan_answer> ||
                                  std::is_same_v<type, messages::loan_return> ||
                                  std::is_same_v<type, messages::takeover_request> ||
                                  std::is_same_v<type, messages::takeover_answer>)
                    {
                        to.on_message(base::instance_id(it.from), body, now, actions);
                    }
                },
                it.body);
        }
        perform(it.to, actions);
    }

    void run_for(base::duration length, double requests_per_ms)
    {
        for (auto const end = now + length; now < end; now += 1ms)
        {
            while (!events.empty() && events.begin()->first <= now)
            {
                auto const it = events.begin()->second;
                events.erase(events.begin());
                handle(it);
            }
            auto const serving = std::count_if(nodes.begin(), nodes.end(),
                                               [](auto const& it) { return !it.second.draining; });
            for (auto& it : nodes)
            {
                routing::dispatch_actions actions;
                it.second.dispatcher->tick(now, actions);
                // Callers divide the load among the entries that do not drain.
                auto const share = requests_per_ms / static_cast<double>(serving);
                if (!it.second.draining && draw() < share)
                {
                    it.second.dispatcher->enqueue({base::local_request_id(++requests),
                                                   base::service_id("catalog"),
                                                   0,
                                                   now,
                                                   now + 400ms,
                                                   {}},
                                                  now, actions);
                }
                perform(it.first, actions);
            }
        }
    }

    std::mt19937 random;
    double loss;
    unlimited_permit permit;
    base::time_point now{};
    std::uint64_t processes = 0;
    std::uint64_t requests = 0;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    std::uint32_t most_open = 0;
    std::map<std::string, node> nodes;
    std::map<std::string, base::time_point> last_view;
    std::map<base::upstream_id, std::uint32_t> open;
    std::multimap<base::time_point, event> events;
};

} // namespace

TEST_GROUP(handover){};

// Guards against more attempts at an upstream than it has slots while owners change.
TEST(handover, attempts_never_exceed_slots_under_random_membership_changes)
{
    for (unsigned seed = 1; seed <= 12; ++seed)
    {
        fleet_model fleet(seed, 0.05);
        std::vector<std::string> const ids{"a", "b", "c", "d"};
        fleet.start("a");
        fleet.start("b");
        fleet.run_for(6s, 0.45);
        for (int step = 0; step < 25; ++step)
        {
            auto const& id = ids[fleet.random() % ids.size()];
            if (fleet.nodes.count(id) == 0)
            {
                fleet.start(id);
            }
            else if (fleet.nodes.size() > 1)
            {
                auto const drains = fleet.draw() < 0.5 && !fleet.nodes[id].draining;
                drains ? fleet.drain(id) : fleet.kill(id);
            }
            fleet.run_for(300ms + fleet.draw_up_to(3s), 0.45);
            CHECK_TEXT(fleet.most_open <= slots_per_upstream,
                       ("seed " + std::to_string(seed) + ", step " + std::to_string(step)).c_str());
        }
        CHECK(fleet.started > 1000);
    }
}

// Prints the requests refused around one change of the membership; only the slot limit is checked.
TEST(handover, refused_requests_around_a_start_a_planned_stop_and_a_loss)
{
    for (std::string const change : {"start", "planned stop", "loss"})
    {
        // Entry "a" owns the larger part of the upstreams while it is live.
        fleet_model fleet(7, 0);
        fleet.start("b");
        if (change != "start")
        {
            fleet.start("a");
        }
        fleet.run_for(10s, 0.45);
        auto const requests = fleet.requests;
        auto const refused = fleet.refused;
        change == "start"  ? fleet.start("a")
        : change == "loss" ? fleet.kill("a")
                           : fleet.drain("a");
        fleet.run_for(6s, 0.45);
        std::printf("%s: %llu of %llu requests refused\n", change.c_str(),
                    static_cast<unsigned long long>(fleet.refused - refused),
                    static_cast<unsigned long long>(fleet.requests - requests));
        CHECK(fleet.most_open <= slots_per_upstream);
    }
}

// Guards against slots that are used before the previous owner has answered, or after an answer
// that is for another takeover or comes from another entry; and against a later answer that
// raises the number of slots in use.
TEST(handover, only_the_answer_to_this_takeover_frees_slots)
{
    struct row
    {
        char const* name;
        std::string from;
        std::uint64_t number_offset;
        std::vector<std::uint32_t> in_use;
        std::size_t attempts;
    };
    for (auto const& it :
         {row{"no answer", "b", 0, {}, 0}, row{"nothing in use", "b", 0, {0}, 3},
          row{"two in use", "b", 0, {2}, 1}, row{"all in use", "b", 0, {3}, 0},
          row{"answer repeated", "b", 0, {2, 2}, 1}, row{"number falls", "b", 0, {2, 0}, 3},
          row{"answers crossed", "b", 0, {0, 2}, 3}, row{"other takeover", "b", 1, {0}, 0},
          row{"other entry", "c", 0, {0}, 0}})
    {
        fleet_model fleet(1, 0);
        routing::dispatcher_settings settings;
        settings.switches.warming = false;
        routing::dispatcher d(
            {base::instance_id("a"), base::region_id("h"), base::availability_zone_id("h-a")}, 1,
            fleet.permit, settings);
        auto configuration = one_zone();
        configuration.places[0].upstreams.resize(1);
        d.configure(configuration, fleet.now);
        for (std::string const id : {"a", "b", "c"})
        {
            fleet.nodes[id].draining = id != "b";
        }
        d.set_entries(fleet.members(), fleet.now); // "b" is the owner
        for (std::string const id : {"a", "b", "c"})
        {
            fleet.nodes[id].draining = id != "a";
        }
        d.set_entries(fleet.members(), fleet.now); // "b" drains and "a" is the owner
        routing::dispatch_actions actions;
        d.tick(fleet.now, actions);
        LONGS_EQUAL(1, actions.size());
        auto const& sent = std::get<routing::send_message>(actions[0]);
        CHECK(sent.to == base::instance_id("b"));
        auto const asked = std::get<messages::takeover_request>(sent.body);
        for (auto const in_use : it.in_use)
        {
            d.on_message(base::instance_id(it.from),
                         messages::takeover_answer{asked.number + it.number_offset, asked.upstream,
                                                   in_use, 900ms},
                         fleet.now, actions);
        }
        actions.clear();
        for (std::uint64_t n = 1; n <= 5; ++n)
        {
            d.enqueue({base::local_request_id(n),
                       base::service_id("catalog"),
                       0,
                       fleet.now,
                       fleet.now + 400ms,
                       {}},
                      fleet.now, actions);
        }
        auto const started =
            std::count_if(actions.begin(), actions.end(),
                          [](auto const& action)
                          { return std::holds_alternative<routing::start_attempt>(action); });
        CHECK_EQUAL_TEXT(it.attempts, static_cast<std::size_t>(started), it.name);
    }
}

// Guards against a previous owner that hands the same slots over to two entries.
TEST(handover, the_previous_owner_answers_one_new_owner_only)
{
    struct take_over_request
    {
        std::string from;
        std::uint64_t number;
        bool answered;
    };
    struct row
    {
        char const* name;
        base::duration waited;
        std::vector<take_over_request> take_overs;
    };
    for (auto const& it :
         {row{"asked twice", 0s, {{"b", 5, true}, {"b", 5, true}}},
          row{"two new owners", 0s, {{"b", 5, true}, {"c", 9, false}, {"b", 5, true}}},
          row{"new process of the new owner", 0s, {{"b", 5, true}, {"b", 6, false}}},
          row{"asked within the view lag", 2900ms, {{"b", 5, true}}},
          row{"asked after the view lag", 3s, {{"b", 5, false}}}})
    {
        fleet_model fleet(1, 0);
        routing::dispatcher d(
            {base::instance_id("a"), base::region_id("h"), base::availability_zone_id("h-a")}, 1,
            fleet.permit);
        d.configure(one_zone(), fleet.now);
        for (std::string const id : {"a", "b", "c"})
        {
            fleet.nodes[id].draining = id != "a";
        }
        d.set_entries(fleet.members(), fleet.now);
        routing::dispatch_actions actions;
        fleet.now += 10s;
        d.tick(fleet.now, actions);
        for (auto& node : fleet.nodes)
        {
            node.second.draining = node.first == "a";
        }
        d.set_entries(fleet.members(), fleet.now); // "a" is no longer the owner
        fleet.now += it.waited;
        for (auto const& one : it.take_overs)
        {
            actions.clear();
            d.on_message(base::instance_id(one.from),
                         messages::takeover_request{one.number, base::upstream_id("u0")}, fleet.now,
                         actions);
            CHECK_EQUAL_TEXT(one.answered ? 1U : 0U, actions.size(), it.name);
        }
    }
}

// Guards against an owner that was suspended and still uses its slots after another entry took them
// over.
TEST(handover, a_resumed_owner_starts_no_attempt_before_a_new_takeover)
{
    fleet_model fleet(1, 0);
    routing::dispatcher d(
        {base::instance_id("a"), base::region_id("h"), base::availability_zone_id("h-a")}, 1,
        fleet.permit);
    auto configuration = one_zone();
    configuration.places[0].upstreams.resize(1);
    d.configure(configuration, fleet.now);
    fleet.nodes["a"].draining = false;
    fleet.nodes["b"].draining = true;
    d.set_entries(fleet.members(), fleet.now);
    fleet.nodes["b"].draining = false;
    routing::dispatch_actions actions;
    fleet.now += 10s;
    d.tick(fleet.now, actions);
    d.on_resumed(fleet.now);
    actions.clear();
    d.enqueue({base::local_request_id(1),
               base::service_id("catalog"),
               0,
               fleet.now,
               fleet.now + 400ms,
               {}},
              fleet.now, actions);
    CHECK(std::none_of(actions.begin(), actions.end(),
                       [](auto const& action)
                       { return std::holds_alternative<routing::start_attempt>(action); }));
}
