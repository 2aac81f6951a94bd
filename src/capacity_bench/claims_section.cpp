#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fuchsiaproxy/requests/claim_protocol.hpp"
#include "layout.hpp"
#include "measure.hpp"
#include "sections.hpp"

namespace fuchsiaproxy::capacity_bench
{
namespace
{

constexpr base::time_point start{std::chrono::hours(1)};
constexpr base::time_point deadline = start + std::chrono::seconds(1);
constexpr std::uint32_t status_created = 201;

using requests::claim_actions;

/// A primary and its witness that exchange messages without delay.
class primary_with_witness
{
public:
    primary_with_witness() : primary_(identity(0), {}, start), witness_(identity(1), {}, start)
    {
        primary_.set_witness(identity(1));
        auto self = make_entry(0, 2, 0);
        self.generation = primary_.generation(start);
        claim_actions out;
        witness_.on_message(identity(0), messages::heartbeat{self}, start, out);
    }

    std::string ticket()
    {
        return primary_.issue_ticket(start);
    }

    /// Runs the requests from claim to completion, one step for all requests at a time. Returns the
    /// count, the processor time per request of each step, and the message sizes.
    std::vector<double> run(std::vector<std::string> const& ids)
    {
        auto const count = double(ids.size());
        std::vector<claim_actions> steps(ids.size());
        double const claim =
            ns_per_call(ids.size(), [&](std::size_t n)
                        { primary_.on_request(local(n), ids[n], deadline, start, steps[n]); });
        auto const claims = sent_messages(steps);
        reset(steps);
        double const grant =
            ns_per_call(ids.size(), [&](std::size_t n)
                        { witness_.on_message(identity(0), claims[n], start, steps[n]); });
        auto const grants = sent_messages(steps);
        reset(steps);
        double const granted =
            ns_per_call(ids.size(),
                        [&](std::size_t n)
                        {
                            primary_.on_message(identity(1), grants[n], start, steps[n]);
                            do_not_optimize(primary_.may_send(local(n), start));
                        });
        reset(steps);
        double const result =
            ns_per_call(ids.size(),
                        [&](std::size_t n) {
                            primary_.on_result(local(n), requests::run_result::ran, status_created,
                                               start, steps[n]);
                        });
        auto const dones = sent_messages(steps);
        reset(steps);
        double const done =
            ns_per_call(ids.size(), [&](std::size_t n)
                        { witness_.on_message(identity(0), dones[n], start, steps[n]); });
        return {count,
                claim,
                grant,
                granted,
                result,
                done,
                double(encoded_size(claims[0])),
                double(encoded_size(grants[0])),
                double(encoded_size(dones[0]))};
    }

    requests::claim_protocol& primary()
    {
        return primary_;
    }

    requests::claim_protocol& witness()
    {
        return witness_;
    }

private:
    static requests::entry_incarnation identity(std::size_t n)
    {
        auto const it = make_entry(n, 2, 0);
        return {it.id, it.incarnation};
    }

    static base::local_request_id local(std::size_t n)
    {
        return base::local_request_id(n + 1);
    }

    static void reset(std::vector<claim_actions>& steps)
    {
        for (auto& it : steps)
        {
            it.clear();
        }
    }

    static std::vector<messages::message> sent_messages(std::vector<claim_actions> const& steps)
    {
        std::vector<messages::message> out;
        for (auto const& step : steps)
        {
            for (auto const& it : step)
            {
                if (auto const* const sent = std::get_if<requests::send_message>(&it))
                {
                    out.push_back(sent->body);
                }
            }
        }
        if (out.size() != steps.size())
        {
            throw std::runtime_error("a claim step did not send exactly one message");
        }
        return out;
    }

    requests::claim_protocol primary_;
    requests::claim_protocol witness_;
};

/// Returns the heap bytes of a primary or of a witness after it has run `ids`.
double held_bytes(std::vector<std::string> const& ids, bool at_witness)
{
    // The ledgers of both sides grow alike, so the other side is freed before the second
    // measurement.
    auto both =
        std::make_unique<std::pair<std::unique_ptr<primary_with_witness>, std::vector<double>>>();
    auto const before = live_bytes();
    both->first = std::make_unique<primary_with_witness>();
    both->first->run(ids);
    auto const with_both = live_bytes();
    auto& freed = at_witness ? both->first->primary() : both->first->witness();
    requests::entry_incarnation const no_entry{base::instance_id("none"), base::incarnation(1)};
    freed = requests::claim_protocol(no_entry, {}, start);
    do_not_optimize(with_both);
    return double(live_bytes() - before);
}

} // namespace

void measure_claims(report& out)
{
    table t{"claims",
            {"requests", "claim ns", "grant ns", "granted ns", "result ns", "done ns", "claim B",
             "grant B", "done B", "primary B", "witness B"},
            {}};
    for (std::size_t const n : {1'000, 4'000, 16'000, 32'000})
    {
        primary_with_witness both;
        std::vector<std::string> ids;
        auto const ticket = both.ticket();
        for (std::size_t k = 0; k < n; ++k)
        {
            ids.push_back(ticket + ".caller-" + std::to_string(1'000'000 + k));
        }
        auto row = both.run(ids);
        row.push_back(held_bytes(ids, false));
        row.push_back(held_bytes(ids, true));
        t.rows.push_back(std::move(row));
    }
    out.add(std::move(t));
}

} // namespace fuchsiaproxy::capacity_bench
