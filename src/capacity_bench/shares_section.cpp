#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fuchsiaproxy/limits/cap_set.hpp"
#include "fuchsiaproxy/limits/share_holder.hpp"
#include "fuchsiaproxy/limits/share_ledger.hpp"
#include "fuchsiaproxy/metadata/share_store.hpp"
#include "layout.hpp"
#include "measure.hpp"
#include "sections.hpp"

namespace fuchsiaproxy::capacity_bench
{
namespace
{

using namespace std::chrono_literals;

constexpr base::time_point start{1h};
constexpr base::duration step = 100ms;
constexpr std::size_t run_seconds = 60;
constexpr std::uint64_t cap_limit = 100'000;

model::configuration make_configuration(std::size_t caps)
{
    model::configuration it;
    it.version = base::config_version(1);
    auto const near = make_entry(0, 2, 0);
    auto const far = make_entry(1, 2, 0);
    base::region_id const far_region("region-9999");
    it.zones = {{near.zone, near.region}, {far.zone, far_region}};
    it.places = {{base::place_id("from"), {}, near.zone, {}},
                 {base::place_id("to"), {}, far.zone, {}}};
    for (std::size_t n = 0; n < caps; ++n)
    {
        model::cap cap;
        cap.id = base::cap_id("cap-" + std::to_string(n));
        cap.limit = cap_limit;
        cap.split = {{near.zone, cap_limit}};
        it.caps.push_back(std::move(cap));
    }
    return it;
}

/// The entries and the first hub of one availability zone, with a store that confirms each write
/// before the next step.
class simulated_zone
{
public:
    simulated_zone(std::size_t entries, std::size_t caps) : config_(make_configuration(caps))
    {
        auto const zone = make_entry(0, 2, 0).zone;
        ledger_.apply(config_, zone);
        ledger_.load({}, now_);
        std::set<base::instance_id> listed;
        for (std::size_t n = 0; n < entries; ++n)
        {
            auto const info = make_entry(n * 2, 2, n);
            owners_.push_back({info.id, info.incarnation});
            holders_.emplace(info.id, limits::share_holder(info.incarnation));
            listed.insert(info.id);
        }
        ledger_.on_instance_list(listed, now_);
        for (auto const& it : owners_)
        {
            ledger_.on_owner_alive(it, now_);
            limits::share_actions actions;
            holders_.at(it.instance).apply(config_, zone, actions);
            deliver_to_hub(it, actions);
        }
    }

    /// Runs with a demand per entry and cap of `demand` plus a random extra below `noise`, drawn
    /// anew each second.
    void run(std::uint64_t demand, std::uint64_t noise)
    {
        for (auto const end = now_ + std::chrono::seconds(run_seconds); now_ < end; now_ += step)
        {
            if (now_.time_since_epoch() % 1s == 0s)
            {
                request_shares(demand, noise);
            }
            commit();
        }
    }

    std::uint64_t take_writes()
    {
        return std::exchange(writes_, 0);
    }

    std::uint64_t take_messages()
    {
        return std::exchange(messages_, 0);
    }

    std::uint64_t take_message_bytes()
    {
        return std::exchange(message_bytes_, 0);
    }

    std::size_t document_bytes() const
    {
        return metadata::to_json(document_).size();
    }

    double prepare_us() const
    {
        return prepares_ == 0 ? 0 : prepare_ns_ / 1e3 / double(prepares_);
    }

private:
    void request_shares(std::uint64_t demand, std::uint64_t noise)
    {
        for (auto const& it : owners_)
        {
            std::vector<limits::cap_demand> wanted;
            for (auto const& cap : config_.caps)
            {
                random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
                std::uint64_t const extra = noise == 0 ? 0 : (random_ >> 33U) % noise;
                wanted.push_back({cap.id, demand + extra});
            }
            limits::share_actions actions;
            holders_.at(it.instance).on_demand(wanted, now_, actions);
            deliver_to_hub(it, actions);
        }
    }

    void deliver_to_hub(limits::share_owner const& from, limits::share_actions const& actions)
    {
        for (auto const& action : actions)
        {
            auto const* const sent = std::get_if<limits::send_to_hub>(&action);
            if (sent == nullptr)
            {
                continue;
            }
            count(sent->body);
            limits::hub_actions answers;
            if (auto const* const request = std::get_if<messages::share_request>(&sent->body))
            {
                ledger_.on_request(from, *request, now_, answers);
            }
            else if (auto const* const back = std::get_if<messages::share_return>(&sent->body))
            {
                ledger_.on_return(from, *back, now_);
            }
            deliver_to_entries(answers);
        }
    }

    void deliver_to_entries(limits::hub_actions const& actions)
    {
        for (auto const& it : actions)
        {
            count(it.body);
            if (auto const* const grant = std::get_if<messages::share_grant>(&it.body))
            {
                limits::share_actions out;
                holders_.at(it.to).on_grant(*grant, out);
                deliver_to_hub({it.to, grant->holder}, out);
            }
        }
    }

    void commit()
    {
        double const begin = processor_ns();
        auto document = ledger_.prepare(now_);
        prepare_ns_ += processor_ns() - begin;
        ++prepares_;
        if (!document)
        {
            return;
        }
        ++writes_;
        document_ = std::move(*document);
        limits::hub_actions actions;
        ledger_.on_committed(actions);
        deliver_to_entries(actions);
    }

    void count(messages::message const& it)
    {
        ++messages_;
        message_bytes_ += encoded_size(it);
    }

    model::configuration config_;
    limits::share_ledger ledger_;
    std::vector<limits::share_owner> owners_;
    std::map<base::instance_id, limits::share_holder> holders_;
    limits::share_document document_;
    base::time_point now_ = start;
    std::uint64_t random_ = 7;
    std::uint64_t writes_ = 0;
    std::uint64_t messages_ = 0;
    std::uint64_t message_bytes_ = 0;
    std::uint64_t prepares_ = 0;
    double prepare_ns_ = 0;
};

void measure_cap_checks(report& out)
{
    table t{"gates against caps", {"caps", "try_charge ns", "admits ns"}, {}};
    for (std::size_t const n : {1, 4, 16, 64})
    {
        auto const config = make_configuration(n);
        limits::cap_set caps;
        caps.apply(config);
        for (auto const& it : config.caps)
        {
            caps.set_share(it.id, cap_limit);
        }
        base::place_id const from("from");
        base::place_id const to("to");
        std::size_t const count = 50'000;
        auto const at = [](std::size_t k) { return start + std::chrono::microseconds(k * 20); };
        double const charge = ns_per_call(
            count, [&](std::size_t k)
            { do_not_optimize(caps.try_charge(from, to, base::byte_count(1'000), at(k))); });
        double const admits = ns_per_call(
            count, [&](std::size_t)
            { do_not_optimize(caps.admits(from, to, base::byte_count(1'000), at(count))); });
        t.rows.push_back({double(n), charge, admits});
    }
    out.add(std::move(t));
}

std::vector<double> measure_zone(std::size_t size, std::size_t entries, std::size_t caps)
{
    simulated_zone simulation(entries, caps);
    double const seconds = run_seconds;
    simulation.run(500, 0);
    double const first_minute = double(simulation.take_writes()) / seconds;
    simulation.take_messages();
    simulation.take_message_bytes();
    simulation.run(500, 0);
    double const constant = double(simulation.take_writes()) / seconds;
    double const messages = double(simulation.take_messages()) / seconds;
    double const bytes = double(simulation.take_message_bytes()) / seconds;
    simulation.run(250, 500);
    double const varying = double(simulation.take_writes()) / seconds;
    double const varying_bytes = double(simulation.take_message_bytes()) / seconds;
    return {double(size),
            double(simulation.document_bytes()),
            first_minute,
            constant,
            varying,
            messages,
            bytes,
            varying_bytes,
            simulation.prepare_us()};
}

} // namespace

void measure_shares(report& out)
{
    measure_cap_checks(out);
    std::vector<std::string> const columns{"entries",        "document B",    "start writes/s",
                                           "const writes/s", "vary writes/s", "const msg/s",
                                           "const hub B/s",  "vary hub B/s",  "prepare us"};
    table by_entries{"reservations of a zone against entries, one cap", columns, {}};
    for (std::size_t const n : {2, 12, 30, 62})
    {
        by_entries.rows.push_back(measure_zone(n, n, 1));
    }
    out.add(std::move(by_entries));
    auto by_caps_columns = columns;
    by_caps_columns[0] = "caps";
    table by_caps{"reservations of a zone of 62 entries against caps", by_caps_columns, {}};
    for (std::size_t const n : {1, 4, 16, 64})
    {
        by_caps.rows.push_back(measure_zone(n, 62, n));
    }
    out.add(std::move(by_caps));
}

} // namespace fuchsiaproxy::capacity_bench
