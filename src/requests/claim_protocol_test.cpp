#include "fuchsiaproxy/requests/claim_protocol.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::requests;
using namespace std::chrono_literals;

namespace
{

entry_incarnation const primary{base::instance_id{"a"}, base::incarnation{1}};
entry_incarnation const witness{base::instance_id{"b"}, base::incarnation{2}};
entry_incarnation const later_witness{base::instance_id{"b"}, base::incarnation{9}};
entry_incarnation const other{base::instance_id{"c"}, base::incarnation{3}};
std::string const id = "v1.a.1.b.2.1.n";

/// One entry, of which every action is written to a log.
class fixture
{
public:
    explicit fixture(entry_incarnation const& self, claim_limits const& limits = {})
        : protocol(self, limits, now)
    {
        protocol.set_witness(witness);
    }

    void request(std::uint64_t n, std::string const& text = id, base::duration deadline = 5s)
    {
        protocol.on_request(base::local_request_id{n}, text, now + deadline, now, actions);
    }
    void receive(entry_incarnation const& from, messages::message const& body)
    {
        protocol.on_message(from, body, now, actions);
    }
    void result(std::uint64_t n, run_result outcome)
    {
        protocol.on_result(base::local_request_id{n}, outcome, 201, now, actions);
    }
    void wait(base::duration time)
    {
        now += time;
        protocol.tick(now, actions);
    }
    void leave(std::uint64_t n)
    {
        protocol.on_caller_gone(base::local_request_id{n}, now, actions);
    }
    bool may_send(std::uint64_t n)
    {
        return protocol.may_send(base::local_request_id{n}, now);
    }

    std::string log() const
    {
        std::string out;
        for (auto const& it : actions)
        {
            out += out.empty() ? "" : " ";
            if (auto const* const run = std::get_if<run_request>(&it))
            {
                out += "run:" + std::to_string(run->request.value());
            }
            else if (auto const* const refused = std::get_if<refuse_request>(&it))
            {
                out += std::to_string(refused->request.value()) + ":" +
                       std::string{base::name_of(refused->kind)};
                out += refused->status == 0 ? "" : ":" + std::to_string(refused->status);
            }
            else
            {
                auto const& send = std::get<send_message>(it);
                out += send.to.value() + "<" + name(send.body);
            }
        }
        return out;
    }

    base::time_point now{1h};
    claim_protocol protocol;
    claim_actions actions;

private:
    static std::string name(messages::message const& body)
    {
        if (auto const* const it = std::get_if<messages::resolution>(&body))
        {
            char const* const states[] = {"tombstoned", "running", "done", "unknown"};
            return states[static_cast<int>(it->state)];
        }
        return std::holds_alternative<messages::claim>(body)     ? "claim"
               : std::holds_alternative<messages::grant>(body)   ? "grant"
               : std::holds_alternative<messages::deny>(body)    ? "deny"
               : std::holds_alternative<messages::done>(body)    ? "done"
               : std::holds_alternative<messages::resolve>(body) ? "resolve"
                                                                 : "other";
    }
};

struct contract
{
    char const* name;
    std::function<void(fixture&)> events;
    char const* expected;
};

void check(entry_incarnation const& self, std::vector<contract> const& all)
{
    for (auto const& it : all)
    {
        fixture f{self};
        it.events(f);
        CHECK_EQUAL_TEXT(std::string{it.expected}, f.log(), it.name);
    }
}

messages::grant const granted{id};
messages::deny const denied{id};

} // namespace

TEST_GROUP(claim_protocol){};

// Guards against a primary that runs a request too early, too late or twice, or that gives a caller
// the wrong outcome.
TEST(claim_protocol, primary)
{
    check(primary,
          {
              {"granted and done",
               [](fixture& f)
               {
                   f.request(1);
                   f.receive(witness, granted);
                   f.result(1, run_result::ran);
               },
               "b<claim run:1 b<done"},
              {"grant twice",
               [](fixture& f)
               {
                   f.request(1);
                   f.receive(witness, granted);
                   f.receive(witness, granted);
               },
               "b<claim run:1"},
              {"denied",
               [](fixture& f)
               {
                   f.request(1);
                   f.receive(witness, denied);
               },
               "b<claim 1:claim_refused b<deny"},
              {"denied by the witness's next process",
               [](fixture& f)
               {
                   f.request(1);
                   f.receive(later_witness, denied);
               },
               "b<claim 1:claim_refused b<deny"},
              {"granted by the witness's next process",
               [](fixture& f)
               {
                   f.request(1);
                   f.receive(later_witness, granted);
               },
               "b<claim"},
              {"granted by another entry",
               [](fixture& f)
               {
                   f.request(1);
                   f.receive(other, granted);
               },
               "b<claim"},
              {"no answer",
               [](fixture& f)
               {
                   f.request(1);
                   f.wait(249ms);
                   f.wait(1ms);
               },
               "b<claim 1:claim_unavailable b<deny"},
              {"grant after the claim timeout, before the timer",
               [](fixture& f)
               {
                   f.request(1);
                   f.now += 250ms;
                   f.receive(witness, granted);
               },
               "b<claim 1:claim_unavailable b<deny"},
              {"grant after the tombstone is reported again",
               [](fixture& f)
               {
                   f.request(1);
                   f.wait(250ms);
                   f.receive(witness, granted);
               },
               "b<claim 1:claim_unavailable b<deny b<deny"},
              {"grant after the deadline",
               [](fixture& f)
               {
                   f.request(1, id, 100ms);
                   f.now += 100ms;
                   f.receive(witness, granted);
               },
               "b<claim 1:deadline_unreachable b<deny"},
              {"deadline passed on arrival",
               [](fixture& f)
               {
                   f.request(1, id, 0s);
                   f.request(2);
               },
               "1:deadline_unreachable 2:claim_refused"},
              {"witness unreachable",
               [](fixture& f)
               {
                   f.request(1);
                   f.protocol.on_peer_unreachable(witness.instance, f.now, f.actions);
               },
               "b<claim 1:claim_unavailable b<deny"},
              {"same id while running",
               [](fixture& f)
               {
                   f.request(1);
                   f.receive(witness, granted);
                   f.request(2);
                   f.result(1, run_result::ran);
                   f.request(3);
               },
               "b<claim run:1 2:already_run:201 b<done 3:already_run:201"},
              {"same id, outcome unknown",
               [](fixture& f)
               {
                   f.request(1);
                   f.request(2);
                   f.receive(witness, granted);
                   f.result(1, run_result::unknown);
                   f.request(3);
               },
               "b<claim run:1 2:may_have_run 3:may_have_run"},
              {"same id, proven not run",
               [](fixture& f)
               {
                   f.request(1);
                   f.request(2);
                   f.receive(witness, granted);
                   f.result(1, run_result::not_run);
                   f.request(3);
               },
               "b<claim run:1 2:claim_refused b<deny 3:claim_refused"},
              {"same id, deadline while running",
               [](fixture& f)
               {
                   f.request(1);
                   f.request(2, id, 1s);
                   f.receive(witness, granted);
                   f.wait(1s);
               },
               "b<claim run:1 2:may_have_run"},
              {"caller leaves while claiming",
               [](fixture& f)
               {
                   f.request(1);
                   f.leave(1);
                   f.receive(witness, granted);
               },
               "b<claim b<deny b<deny"},
              {"first of two callers leaves while claiming",
               [](fixture& f)
               {
                   f.request(1);
                   f.request(2);
                   f.leave(1);
                   f.receive(witness, granted);
               },
               "b<claim run:2"},
              {"outcome is sent again after the link was lost",
               [](fixture& f)
               {
                   f.request(1);
                   f.receive(witness, granted);
                   f.result(1, run_result::ran);
                   f.protocol.on_peer_unreachable(witness.instance, f.now, f.actions);
                   f.receive(witness, messages::heartbeat{});
                   f.receive(witness, messages::heartbeat{});
               },
               "b<claim run:1 b<done b<done"},
              {"resolve before the request",
               [](fixture& f)
               {
                   f.receive(other, messages::resolve{id});
                   f.request(1);
               },
               "c<tombstoned 1:claim_refused"},
              {"resolve while claiming",
               [](fixture& f)
               {
                   f.request(1);
                   f.receive(other, messages::resolve{id});
                   f.receive(witness, granted);
               },
               "b<claim c<running run:1"},
              {"generation that was not issued yet",
               [](fixture& f) { f.request(1, "v1.a.1.b.2.2.n"); }, "1:may_have_run"},
              {"generation that is not accepted any more",
               [](fixture& f)
               {
                   f.wait(120s);
                   f.request(1);
               },
               "1:claim_refused"},
              {"id of another version", [](fixture& f) { f.request(1, "v2.a.1.n"); },
               "1:may_have_run"},
              {"malformed id", [](fixture& f) { f.request(1, "v1.a.1"); }, "1:bad_request"},
              {"no witness", [](fixture& f) { f.request(1, "v1.a.1.-.0.1.n"); }, "run:1"},
          });
}

// Guards against a witness that grants what it refused, or refuses what it must answer.
TEST(claim_protocol, witness)
{
    messages::claim const claim{id};
    messages::resolve const resolve{id};
    check(
        witness,
        {
            {"claim, done, resolve",
             [&](fixture& f)
             {
                 f.receive(primary, claim);
                 f.receive(primary, messages::done{id, 201});
                 f.receive(other, resolve);
             },
             "a<grant c<done"},
            {"claim twice",
             [&](fixture& f)
             {
                 f.receive(primary, claim);
                 f.receive(primary, claim);
             },
             "a<grant a<grant"},
            {"withdrawn before the claim",
             [&](fixture& f)
             {
                 f.receive(primary, claim);
                 f.receive(primary, denied);
                 f.receive(primary, claim);
                 f.receive(other, resolve);
             },
             "a<grant a<deny c<tombstoned"},
            {"resolve of an unknown primary", [&](fixture& f) { f.receive(other, resolve); },
             "c<unknown"},
            {"claim by another entry", [&](fixture& f) { f.receive(other, claim); }, ""},
            {"claim for an earlier process",
             [&](fixture& f) { f.receive(primary, messages::claim{"v1.a.1.b.1.1.n"}); }, "a<deny"},
            {"resolve and then claim, also after retention",
             [&](fixture& f)
             {
                 f.receive(primary, messages::claim{"v1.a.1.b.2.1.m"});
                 f.receive(other, resolve);
                 f.receive(primary, claim);
                 f.wait(1h);
                 f.receive(primary, claim);
                 f.receive(other, resolve);
             },
             "a<grant c<tombstoned a<deny a<deny c<unknown"},
            {"request at the witness",
             [&](fixture& f)
             {
                 f.receive(primary, claim);
                 f.request(1);
                 f.receive(primary, messages::resolution{id, messages::request_state::done, 201});
             },
             "a<grant a<resolve 1:already_run:201"},
        });
}

// Guards against an entry that answers for another without that one's word, or waits needlessly.
TEST(claim_protocol, resolving_entry)
{
    using messages::request_state;
    auto const answer = [](request_state state) { return messages::resolution{id, state, 0}; };
    entry_incarnation const later_primary{primary.instance, base::incarnation{11}};
    check(other,
          {
              {"tombstoned at the primary",
               [&](fixture& f)
               {
                   f.request(1);
                   f.receive(primary, answer(request_state::tombstoned));
               },
               "a<resolve 1:claim_refused"},
              {"answer of the primary's next process, then of the witness",
               [&](fixture& f)
               {
                   f.request(1);
                   f.receive(later_primary, answer(request_state::tombstoned));
                   f.receive(witness, answer(request_state::running));
               },
               "a<resolve b<resolve 1:may_have_run"},
              {"silent primary",
               [&](fixture& f)
               {
                   f.request(1);
                   f.wait(100ms);
                   f.receive(witness, answer(request_state::tombstoned));
               },
               "a<resolve a<resolve b<resolve 1:claim_refused"},
              {"both replaced",
               [&](fixture& f)
               {
                   f.request(1);
                   f.receive(later_primary, answer(request_state::tombstoned));
                   f.receive(later_witness, answer(request_state::tombstoned));
               },
               "a<resolve b<resolve 1:may_have_run"},
              {"nobody answers",
               [&](fixture& f)
               {
                   f.request(1, id, 50ms);
                   f.wait(50ms);
               },
               "a<resolve 1:may_have_run"},
              {"caller leaves",
               [&](fixture& f)
               {
                   f.request(1);
                   f.leave(1);
                   f.wait(1h);
               },
               "a<resolve"},
          });
}

// Guards against a request that is sent after its deadline, for example because the process was
// frozen between decision and send, and against a second attempt without proof.
TEST(claim_protocol, permission_to_send)
{
    fixture f{primary};
    f.request(1);
    CHECK_FALSE(f.may_send(1));
    f.receive(witness, granted);
    CHECK(f.may_send(1));
    CHECK_FALSE(f.may_send(1));
    f.protocol.on_attempt_not_run(base::local_request_id{1});
    CHECK(f.may_send(1));
    f.protocol.on_attempt_not_run(base::local_request_id{1});
    f.now += 5s;
    CHECK_FALSE(f.may_send(1));
    CHECK_EQUAL(1, f.protocol.counters().sends_after_deadline);
}

// Guards against a full ledger that forgets a promise or stops the service.
TEST(claim_protocol, full_ledger_closes_the_generation)
{
    claim_limits limits;
    limits.max_claims = 1;
    fixture f{primary, limits};
    f.request(1);
    f.request(2, "v1.a.1.b.2.1.m");
    f.request(3, "v1.a.1.b.2.1.o");
    f.receive(witness, granted);
    f.result(1, run_result::ran);
    CHECK_EQUAL(std::string{"v1.a.1.b.2.2"}, f.protocol.issue_ticket(f.now));
    f.request(4, "v1.a.1.b.2.2.m");
    CHECK_EQUAL(std::string{"b<claim 2:overloaded 3:claim_refused run:1 b<done b<claim"}, f.log());
    CHECK_EQUAL(1, f.protocol.claims());
}

// Guards against two requests without an id that share one.
TEST(claim_protocol, made_ids_are_unique_and_valid)
{
    fixture f{primary};
    f.request(1, "v1.a.1.b.2.1._1");
    auto const made =
        f.protocol.on_request(base::local_request_id{2}, {}, f.now + 1s, f.now, f.actions);
    CHECK_EQUAL(std::string{"v1.a.1.b.2.1._2"}, made);
    CHECK(parse_request_id(made).has_value());
}
