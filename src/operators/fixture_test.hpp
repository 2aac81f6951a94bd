#ifndef FUCHSIAPROXY_OPERATORS_FIXTURE_TEST_HPP
#define FUCHSIAPROXY_OPERATORS_FIXTURE_TEST_HPP

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaproxy/operators/authentication.hpp"
#include "fuchsiaproxy/operators/configuration_service.hpp"
#include "fuchsiaproxy/operators/daemon_view.hpp"

namespace fuchsiaproxy::operators::test
{

/// Fault injected into a call of the fake store.
enum class fault
{
    none,
    down,
    /// The answer is lost and the write did not take effect.
    lost_before,
    /// The answer is lost and the write took effect.
    lost_after
};

/// Store in memory. Each read or write of the head and each write of a segment removes the next
/// fault from the queue for its kind of call; an empty queue injects none.
class fake_store : public metadata::store
{
public:
    std::deque<fault> head_reads;
    std::deque<fault> head_writes;
    std::deque<fault> segment_writes;
    /// Called once, before the next write of the head takes effect; simulates concurrent writers.
    std::function<void()> before_head_write;
    std::map<std::string, metadata::stored_value> values;

    void get(std::string key, value_handler done) override
    {
        auto const it = key == metadata::configuration_head_key ? next(head_reads) : fault::none;
        if (it != fault::none)
        {
            done(error_of(it));
            return;
        }
        done(values[key]);
    }

    void compare_and_swap(std::string key, metadata::key_revision expected, std::string value,
                          revision_handler done) override
    {
        bool const head = key == metadata::configuration_head_key;
        if (head && before_head_write)
        {
            std::exchange(before_head_write, nullptr)();
        }
        auto const it = next(head ? head_writes : segment_writes);
        auto& known = values[key];
        bool const accepted = known.revision == expected;
        if (accepted && (it == fault::none || it == fault::lost_after))
        {
            known.value = std::move(value);
            known.revision = metadata::key_revision(known.revision.value() + 1);
        }
        if (it != fault::none)
        {
            done(error_of(it));
            return;
        }
        if (!accepted)
        {
            done(base::make_error(base::error_kind::store_conflict, "the key has changed"));
            return;
        }
        done(known.revision);
    }

    void watch(std::string key, metadata::key_revision known, base::duration wait,
               value_handler done) override
    {
        get(std::move(key), std::move(done));
    }

    void acquire_lease(std::string name, std::string holder, base::duration ttl,
                       lease_handler done) override
    {
        done(error_of(fault::down));
    }

    void release_lease(std::string name, std::string holder, release_handler done) override
    {
        done(error_of(fault::down));
    }

private:
    static fault next(std::deque<fault>& faults)
    {
        if (faults.empty())
        {
            return fault::none;
        }
        auto const it = faults.front();
        faults.pop_front();
        return it;
    }

    static base::error error_of(fault it)
    {
        return it == fault::down
                   ? base::make_error(base::error_kind::store_unavailable, "the store is down")
                   : base::make_error(base::error_kind::store_answer_unknown, "no answer");
    }
};

constexpr auto key_of_one = "key of operator one";
constexpr auto key_of_two = "key of operator two";

/// Two members, "one" and "two", each with an operator, a service and two places.
inline model::configuration two_members()
{
    model::configuration c;
    c.zones = {{base::availability_zone_id("a"), base::region_id("r")},
               {base::availability_zone_id("b"), base::region_id("r")}};
    std::uint16_t port = 1;
    for (std::string const name : {"one", "two"})
    {
        static std::map<std::string, model::operator_key> keys;
        auto& key = keys[name];
        if (key.id.value().empty())
        {
            key = make_operator_key(base::operator_id(name + "-op"),
                                    name == "one" ? key_of_one : key_of_two)
                      .value();
        }
        c.members.push_back({base::organisation_id(name), {key}});
        model::service s;
        s.id = base::service_id("s-" + name);
        s.organisation = base::organisation_id(name);
        model::request_class other;
        other.name = "other";
        other.deadline = std::chrono::seconds(1);
        s.classes = {other};
        c.services.push_back(s);
        for (std::string const zone : {"a", "b"})
        {
            model::place p{
                base::place_id(name + "-" + zone), s.id, base::availability_zone_id(zone), {}};
            p.upstreams.push_back({base::upstream_id(name + "-" + zone),
                                   {"127.0.0.1", port++},
                                   base::slot_count(4),
                                   400});
            c.places.push_back(p);
        }
    }
    return c;
}

inline model::change_command command_of(std::string const& id, std::string const& organisation,
                                        std::uint64_t base_version,
                                        std::vector<model::change> changes)
{
    return {base::command_id(id),
            base::operator_id(organisation + "-op"),
            base::organisation_id(organisation),
            base::config_version(base_version),
            model::wall_time(std::chrono::milliseconds(0)),
            std::move(changes)};
}

inline model::change drain_of(std::string const& organisation, std::string const& zone)
{
    auto const id = organisation + "-" + zone;
    return model::put_element<model::drain>{
        {base::drain_id(id), base::organisation_id(organisation), base::place_id(id)}};
}

/// Writes `two_members` to the store as version 1.
inline void bootstrap_store(fake_store& store)
{
    configuration_service service(store);
    service.bootstrap(two_members(), command_of("begin", "one", 0, {}), [](auto const&) {});
}

/// Reads the configuration; queued faults are not applied.
inline current_configuration read(fake_store& store)
{
    auto faults = std::exchange(store.head_reads, {});
    configuration_service service(store);
    current_configuration out;
    service.read([&out](auto it) { out = it.value(); });
    store.head_reads = std::move(faults);
    return out;
}

/// Daemon whose adopted configuration is always the one in the store.
class fake_daemon : public daemon_view
{
public:
    explicit fake_daemon(fake_store& store) : store_(store) {}

    std::vector<entry_status> known_entries;
    std::vector<messages::counters> known_counters;

    std::shared_ptr<model::configuration const> adopted() override
    {
        auto const state = read(store_);
        return state.head.version == base::config_version(0) ? nullptr : state.value;
    }
    bool ready() override
    {
        return adopted() != nullptr;
    }
    model::place_loads loads() override
    {
        return {};
    }
    void entries(entries_handler done) override
    {
        done(known_entries);
    }
    void explain(explain_query query, explain_handler done) override
    {
        if (query.service != base::service_id("s-one"))
        {
            done(base::make_error(base::error_kind::unknown_service, "unknown service"));
            return;
        }
        explain_candidate it;
        it.place = base::place_id("one-a");
        it.upstream = base::upstream_id("one-a");
        it.chosen = true;
        it.reason = "lowest cost";
        done(explanation{"other", it.place, {it}});
    }
    void counters(counters_handler done) override
    {
        done(known_counters);
    }

private:
    fake_store& store_;
};

} // namespace fuchsiaproxy::operators::test

#endif
