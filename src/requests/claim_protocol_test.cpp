#include "fuchsiaproxy/requests/claim_protocol.hpp"

#include <chrono>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::requests;
using namespace std::chrono_literals;

namespace
{

std::string const id = "v1.a.1.b.2.1.n";

/// Returns the entry incarnation that a text such as "b2" names.
entry_incarnation entry(std::string const& text)
{
    return {base::instance_id{text.substr(0, 1)}, base::incarnation{std::stoull(text.substr(1))}};
}

entry_incarnation const primary = entry("a1");
entry_incarnation const witness = entry("b2");
entry_incarnation const other = entry("c3");

/// One entry that handles events in text form and records its actions as text.
class fixture
{
public:
    explicit fixture(entry_incarnation const& self, claim_limits const& limits = {})
        : protocol(self, limits, now)
    {
        protocol.set_witness(witness);
    }

    /// Handles events separated by spaces, each in the form `name:first:second`. A message is
    /// written as `b2>grant` if it concerns `id`, or else as `b2>grant:<request id>`; a resolution
    /// is named by its state.
    void perform(std::string const& events)
    {
        std::istringstream in{events};
        for (std::string it; in >> it;)
        {
            auto const arrow = it.find('>');
            std::istringstream parts{it.substr(arrow == std::string::npos ? 0 : arrow + 1)};
            std::string name;
            std::string first;
            std::string second;
            std::getline(parts, name, ':');
            std::getline(parts, first, ':');
            std::getline(parts, second, ':');
            if (arrow == std::string::npos)
            {
                handle_event(name, first, second);
                continue;
            }
            auto const body = message(name, first.empty() ? id : first);
            protocol.on_message(entry(it.substr(0, arrow)), body, now, actions);
        }
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
                out += send.to.value() + "<" + name_of(send.body);
            }
        }
        return out;
    }

    base::time_point now{1h};
    claim_protocol protocol;
    claim_actions actions;

private:
    void handle_event(std::string const& name, std::string const& first, std::string const& second)
    {
        if (name == "request")
        {
            // The second part is a deadline in milliseconds or an id.
            auto const is_id = second.find('.') != std::string::npos;
            auto const left = is_id || second.empty() ? 5'000 : std::stoi(second);
            protocol.on_request(local(first), is_id ? second : id,
                                now + std::chrono::milliseconds{left}, now, actions);
        }
        else if (name == "wait" || name == "freeze")
        {
            now += std::chrono::milliseconds{std::stoi(first)};
            if (name == "wait")
            {
                protocol.tick(now, actions);
            }
        }
        else if (name == "leave")
        {
            protocol.on_caller_gone(local(first), now, actions);
        }
        else if (name == "unreachable")
        {
            protocol.on_peer_unreachable(base::instance_id{first}, now, actions);
        }
        else
        {
            auto const result = name == "ran"       ? run_result::ran
                                : name == "not_run" ? run_result::not_run
                                                    : run_result::unknown;
            protocol.on_result(local(first), result, 201, now, actions);
        }
    }

    static base::local_request_id local(std::string const& text)
    {
        return base::local_request_id{std::stoull(text)};
    }

    static messages::message message(std::string const& name, std::string const& text)
    {
        for (std::size_t n = 0; n < std::size(states); ++n)
        {
            if (name == states[n])
            {
                return messages::resolution{text, static_cast<messages::request_state>(n), 201};
            }
        }
        return name == "claim"     ? messages::message{messages::claim{text}}
               : name == "grant"   ? messages::message{messages::grant{text}}
               : name == "deny"    ? messages::message{messages::deny{text}}
               : name == "ended"   ? messages::message{messages::done{text, 201}}
               : name == "resolve" ? messages::message{messages::resolve{text}}
                                   : messages::message{messages::heartbeat{}};
    }

    static std::string name_of(messages::message const& body)
    {
        if (auto const* const it = std::get_if<messages::resolution>(&body))
        {
            return states[static_cast<int>(it->state)];
        }
        return std::holds_alternative<messages::claim>(body)     ? "claim"
               : std::holds_alternative<messages::grant>(body)   ? "grant"
               : std::holds_alternative<messages::deny>(body)    ? "deny"
               : std::holds_alternative<messages::done>(body)    ? "ended"
               : std::holds_alternative<messages::resolve>(body) ? "resolve"
                                                                 : "other";
    }

    static constexpr char const* states[] = {"tombstoned", "running", "done", "unknown"};
};

/// Events and the actions that they must cause.
struct protocol_case
{
    char const* name;
    char const* events;
    char const* expected;
};

void check(entry_incarnation const& self, std::vector<protocol_case> const& all)
{
    for (auto const& it : all)
    {
        fixture f{self};
        f.perform(it.events);
        CHECK_EQUAL_TEXT(std::string{it.expected}, f.log(), it.name);
    }
}

} // namespace

TEST_GROUP(claim_protocol){};

// Guards against a primary that runs a request without a grant, after a timeout or twice, or that
// reports a wrong outcome.
TEST(claim_protocol, primary)
{
    check(
        primary,
        {
            {"ran", "request:1 b2>grant ran:1", "b<claim run:1 b<ended"},
            {"grant twice", "request:1 b2>grant b2>grant", "b<claim run:1"},
            {"denied", "request:1 b2>deny", "b<claim 1:claim_refused b<deny"},
            {"denied by the next process", "request:1 b9>deny", "b<claim 1:claim_refused b<deny"},
            {"granted by the next process", "request:1 b9>grant", "b<claim"},
            {"granted by another entry", "request:1 c3>grant", "b<claim"},
            {"no answer", "request:1 wait:249 wait:1", "b<claim 1:claim_unavailable b<deny"},
            {"grant after the claim timeout, before the timer", "request:1 freeze:250 b2>grant",
             "b<claim 1:claim_unavailable b<deny"},
            {"grant after the tombstone is reported again", "request:1 wait:250 b2>grant",
             "b<claim 1:claim_unavailable b<deny b<deny"},
            {"grant after the deadline", "request:1:100 freeze:100 b2>grant",
             "b<claim 1:deadline_unreachable b<deny"},
            {"late on arrival", "request:1:0 request:2", "1:deadline_unreachable 2:claim_refused"},
            {"witness unreachable", "request:1 unreachable:b",
             "b<claim 1:claim_unavailable b<deny"},
            {"same id while running", "request:1 b2>grant request:2 ran:1 request:3",
             "b<claim run:1 2:already_run:201 b<ended 3:already_run:201"},
            {"same id, outcome unknown", "request:1 request:2 b2>grant lost:1 request:3",
             "b<claim run:1 2:may_have_run 3:may_have_run"},
            {"same id, proven not run", "request:1 request:2 b2>grant not_run:1 request:3",
             "b<claim run:1 2:claim_refused b<deny 3:claim_refused"},
            {"same id, deadline while running", "request:1 request:2:1000 b2>grant wait:1000",
             "b<claim run:1 2:may_have_run"},
            {"caller leaves while claiming", "request:1 leave:1 b2>grant", "b<claim b<deny b<deny"},
            {"first of two callers leaves", "request:1 request:2 leave:1 b2>grant",
             "b<claim run:2"},
            {"outcome is sent again after the link was lost",
             "request:1 b2>grant ran:1 unreachable:b b2>heartbeat b2>heartbeat",
             "b<claim run:1 b<ended b<ended"},
            {"resolve before the request", "c3>resolve request:1", "c<tombstoned 1:claim_refused"},
            {"resolve while claiming", "request:1 c3>resolve b2>grant", "b<claim c<running run:1"},
            {"generation not issued yet", "request:1:v1.a.1.b.2.2.n", "1:may_have_run"},
            {"generation not accepted any more", "wait:120000 request:1", "1:claim_refused"},
            {"id of another version", "request:1:v2.a.1.n", "1:may_have_run"},
            {"malformed id", "request:1:v1.a.1", "1:bad_request"},
            {"no witness", "request:1:v1.a.1.-.0.1.n", "run:1"},
        });
}

// Guards against a witness that grants an id after it placed a tombstone on it, accepts claims from
// the wrong entry or incarnation, or loses an outcome.
TEST(claim_protocol, witness)
{
    check(witness,
          {
              {"ran", "a1>claim a1>ended c3>resolve", "a<grant c<done"},
              {"claim twice", "a1>claim a1>claim", "a<grant a<grant"},
              {"withdrawn", "a1>claim a1>deny a1>claim c3>resolve", "a<grant a<deny c<tombstoned"},
              {"resolve of an unknown primary", "c3>resolve", "c<unknown"},
              {"claim by another entry", "c3>claim", ""},
              {"claim for an earlier process", "a1>claim:v1.a.1.b.1.1.n", "a<deny"},
              {"resolve and then claim, also after retention",
               "a1>claim:v1.a.1.b.2.1.m c3>resolve a1>claim wait:3600000 a1>claim c3>resolve",
               "a<grant c<tombstoned a<deny a<deny c<unknown"},
              {"request at the witness", "a1>claim request:1 a1>done",
               "a<grant a<resolve 1:already_run:201"},
          });
}

// Guards against an entry that reports an outcome which neither the primary nor the witness
// confirmed, or that waits although neither can answer any more.
TEST(claim_protocol, resolving_entry)
{
    check(other,
          {
              {"tombstoned at the primary", "request:1 a1>tombstoned", "a<resolve 1:claim_refused"},
              {"answer of the primary's next process, then of the witness",
               "request:1 a11>tombstoned b2>running", "a<resolve b<resolve 1:may_have_run"},
              {"silent primary", "request:1 wait:100 b2>tombstoned",
               "a<resolve a<resolve b<resolve 1:claim_refused"},
              {"both replaced", "request:1 a11>tombstoned b9>tombstoned",
               "a<resolve b<resolve 1:may_have_run"},
              {"no answer", "request:1:50 wait:50", "a<resolve 1:may_have_run"},
              {"caller leaves", "request:1 leave:1 wait:3600000", "a<resolve"},
          });
}

// Guards against a request that is sent after its deadline, for example because the process was
// paused between decision and send, and against a second attempt while the first may have run.
TEST(claim_protocol, no_send_after_the_deadline_or_while_an_attempt_may_run)
{
    fixture f{primary};
    f.perform("request:1");
    CHECK_FALSE(f.may_send(1));
    f.perform("b2>grant");
    CHECK(f.may_send(1));
    CHECK_FALSE(f.may_send(1));
    f.protocol.on_attempt_not_run(base::local_request_id{1});
    CHECK(f.may_send(1));
    f.protocol.on_attempt_not_run(base::local_request_id{1});
    f.now += 5s;
    CHECK_FALSE(f.may_send(1));
    CHECK_EQUAL(1, f.protocol.counters().late_sends_prevented);
}

// Guards against a full ledger that runs an id it refused, or that blocks new requests until old
// records are discarded.
TEST(claim_protocol, full_ledger_closes_the_generation)
{
    claim_limits limits;
    limits.max_claims = 1;
    fixture f{primary, limits};
    f.perform("request:1 request:2:v1.a.1.b.2.1.m request:3:v1.a.1.b.2.1.o b2>grant ran:1");
    CHECK_EQUAL(std::string{"v1.a.1.b.2.2"}, f.protocol.issue_ticket(f.now));
    f.perform("request:4:v1.a.1.b.2.2.m");
    CHECK_EQUAL(std::string{"b<claim 2:overloaded 3:claim_refused run:1 b<ended b<claim"}, f.log());
    CHECK_EQUAL(1, f.protocol.claims());
}

// Guards against two requests without an id being given the same generated id.
TEST(claim_protocol, generated_ids_are_unique_and_valid)
{
    fixture f{primary};
    f.perform("request:1:v1.a.1.b.2.1._1");
    auto const made =
        f.protocol.on_request(base::local_request_id{2}, {}, f.now + 1s, f.now, f.actions);
    CHECK_EQUAL(std::string{"v1.a.1.b.2.1._2"}, made);
    CHECK(parse_request_id(made).has_value());
}
