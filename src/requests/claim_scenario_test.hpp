#ifndef FUCHSIAPROXY_REQUESTS_CLAIM_SCENARIO_TEST_HPP
#define FUCHSIAPROXY_REQUESTS_CLAIM_SCENARIO_TEST_HPP

#include <string>
#include <variant>
#include <vector>

#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/requests/claim_limits.hpp"

namespace fuchsiaproxy::requests::testing
{

/// A request id issued before the first step; the members are numbers of entries.
struct issued_id
{
    int primary = 0;
    /// -1 for none.
    int witness = 1;
};

/// A caller that sends an id to an entry once.
struct submission
{
    int entry = 0;
    int id = 0;
};

/// Entries, callers and the maximum number of faults of each kind.
struct scenario
{
    std::string name;
    int entries = 3;
    std::vector<issued_id> ids{issued_id{}};
    std::vector<submission> submissions;
    int losses = 0;
    int duplicates = 0;
    int crashes = 0;
    int unreachable = 0;
    int short_waits = 0;
    int long_waits = 0;
    int heartbeats = 0;
    int caller_losses = 0;
    bool upstream_faults = false;
    claim_limits limits{};
};

enum class step_kind
{
    submit,
    deliver,
    deliver_and_keep,
    lose,
    crash,
    restart,
    unreachable,
    short_wait,
    long_wait,
    tick,
    heartbeat,
    caller_gone,
    send,
    give_up,
    run_and_answer,
    shed,
    shed_and_retry,
    break_connection,
    run_unobserved
};

/// One event; the meaning of `a` and `b` (such as an entry or message number) depends on the kind.
struct step
{
    step_kind kind;
    int a = 0;
    int b = 0;
};

/// Returns a key that is equal for equivalent messages, so that their order needn't be explored.
inline std::string key_of(base::incarnation from, int to, messages::message const& body)
{
    auto key = std::to_string(from.value()) + '>' + std::to_string(to) + '#' +
               std::to_string(body.index());
    auto const add = [&key](auto const* it) { key += it == nullptr ? "" : it->request_id; };
    add(std::get_if<messages::claim>(&body));
    add(std::get_if<messages::grant>(&body));
    add(std::get_if<messages::deny>(&body));
    add(std::get_if<messages::done>(&body));
    add(std::get_if<messages::resolve>(&body));
    if (auto const* const it = std::get_if<messages::resolution>(&body))
    {
        key += it->request_id + char('0' + int(it->state));
    }
    return key + ';';
}

} // namespace fuchsiaproxy::requests::testing

#endif
