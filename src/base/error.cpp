#include "fuchsiaproxy/base/error.hpp"

#include <array>
#include <cstddef>
#include <utility>

namespace fuchsiaproxy::base
{
namespace
{

using k = error_kind;
using o = request_outcome;

// Exit codes: 2 usage, 3 rejected, 4 conflict, 5 unavailable, 6 unauthorised, 1 anything else.
constexpr std::array answers{
    error_answer{k::bad_request, "bad_request", 400, o::not_run, 2},
    error_answer{k::request_too_large, "request_too_large", 413, o::not_run, 2},
    error_answer{k::header_too_large, "header_too_large", 431, o::not_run, 2},
    error_answer{k::request_timeout, "request_timeout", 408, o::not_run, 5},
    error_answer{k::unknown_service, "unknown_service", 404, o::not_run, 3},
    error_answer{k::not_ready, "not_ready", 503, o::not_run, 5},
    error_answer{k::draining, "draining", 503, o::not_run, 5},
    error_answer{k::overloaded, "overloaded", 503, o::not_run, 5},
    error_answer{k::queue_full, "queue_full", 503, o::not_run, 5},
    error_answer{k::deadline_unreachable, "deadline_unreachable", 503, o::not_run, 5},
    error_answer{k::cap_reached, "cap_reached", 503, o::not_run, 5},
    error_answer{k::over_allowance, "over_allowance", 429, o::not_run, 5},
    error_answer{k::no_upstream, "no_upstream", 503, o::not_run, 5},
    error_answer{k::upstream_failed, "upstream_failed", 502, o::may_have_run, 5},
    error_answer{k::upstream_timeout, "upstream_timeout", 504, o::may_have_run, 5},
    error_answer{k::claim_refused, "claim_refused", 409, o::not_run, 4},
    error_answer{k::claim_unavailable, "claim_unavailable", 503, o::not_run, 5},
    error_answer{k::may_have_run, "may_have_run", 504, o::may_have_run, 5},
    error_answer{k::already_run, "already_run", 409, o::already_run, 4},
    error_answer{k::bad_message, "bad_message", 400, o::not_run, 2},
    error_answer{k::unsupported_version, "unsupported_version", 400, o::not_run, 2},
    error_answer{k::peer_unreachable, "peer_unreachable", 502, o::may_have_run, 5},
    error_answer{k::store_unavailable, "store_unavailable", 503, o::not_run, 5},
    error_answer{k::store_conflict, "store_conflict", 409, o::not_run, 4},
    error_answer{k::store_answer_unknown, "store_answer_unknown", 504, o::may_have_run, 5},
    error_answer{k::value_too_large, "value_too_large", 413, o::not_run, 3},
    error_answer{k::lease_lost, "lease_lost", 409, o::not_run, 4},
    error_answer{k::history_lost, "history_lost", 410, o::not_run, 4},
    error_answer{k::stale_version, "stale_version", 409, o::not_run, 4},
    error_answer{k::invalid_configuration, "invalid_configuration", 422, o::not_run, 3},
    error_answer{k::invalid_settings, "invalid_settings", 422, o::not_run, 3},
    error_answer{k::invalid_command, "invalid_command", 400, o::not_run, 2},
    error_answer{k::unauthenticated, "unauthenticated", 401, o::not_run, 6},
    error_answer{k::forbidden, "forbidden", 403, o::not_run, 6},
    error_answer{k::not_found, "not_found", 404, o::not_run, 3},
    error_answer{k::conflict, "conflict", 409, o::not_run, 4},
    error_answer{k::internal, "internal", 500, o::may_have_run, 1},
};

static_assert(answers.size() == static_cast<std::size_t>(error_kind::internal) + 1,
              "every error kind has a row");

constexpr bool promises_are_true()
{
    for (auto const& it : answers)
    {
        if (promises_not_run(it.http_status) && it.outcome != o::not_run)
        {
            return false;
        }
    }
    return true;
}

static_assert(promises_are_true(), "a status promises what the outcome does not say");

} // namespace

error_answer const& answer_for(error_kind kind) noexcept
{
    return answers[static_cast<std::size_t>(kind)];
}

std::string_view name_of(error_kind kind) noexcept
{
    return answer_for(kind).name;
}

std::string_view name_of(request_outcome outcome) noexcept
{
    switch (outcome)
    {
    case request_outcome::run:
        return "run";
    case request_outcome::not_run:
        return "not-run";
    case request_outcome::already_run:
        return "already-run";
    case request_outcome::may_have_run:
        break;
    }
    return "may-have-run";
}

error make_error(error_kind kind, std::string message)
{
    return error{kind, std::move(message)};
}

} // namespace fuchsiaproxy::base
