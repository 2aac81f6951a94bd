#ifndef FUCHSIAPROXY_BASE_ERROR_HPP
#define FUCHSIAPROXY_BASE_ERROR_HPP

#include <string>
#include <string_view>

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>

namespace fuchsiaproxy::base
{

/// Every kind of error that the project reports. The list is closed: `answer_for` has a row for
/// each kind.
enum class error_kind
{
    bad_request,
    request_too_large,
    header_too_large,
    request_timeout,
    unknown_service,
    not_ready,
    draining,
    overloaded,
    queue_full,
    deadline_unreachable,
    cap_reached,
    over_allowance,
    no_upstream,
    upstream_failed,
    upstream_timeout,
    claim_refused,
    claim_unavailable,
    may_have_run,
    already_run,
    bad_message,
    unsupported_version,
    peer_unreachable,
    store_unavailable,
    store_conflict,
    store_answer_unknown,
    value_too_large,
    lease_lost,
    history_lost,
    stale_version,
    invalid_configuration,
    invalid_settings,
    invalid_command,
    unauthenticated,
    forbidden,
    not_found,
    conflict,
    internal
};

/// What is known about the execution of a request; value of the `Request-Outcome` header.
enum class request_outcome
{
    run,
    not_run,
    may_have_run,
    already_run
};

/// How one kind of error is reported: its name, its HTTP status, the `Request-Outcome` header and
/// the exit code of command-line programs.
struct error_answer
{
    error_kind kind;
    std::string_view name;
    unsigned http_status;
    request_outcome outcome;
    int exit_code;
};

/// An error with a human-readable message.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;
};

/// A value or an `error`.
template <class T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::all_narrow>;

/// Returns whether a caller that gets `status` may conclude that its request has not run and never
/// will. Thread safe.
constexpr bool promises_not_run(unsigned status) noexcept
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Returns how `kind` is reported to callers and operators. Preconditions: none. Thread safe.
error_answer const& answer_for(error_kind kind) noexcept;

/// Returns the stable name of `kind`, as used in metrics and JSON. Thread safe.
std::string_view name_of(error_kind kind) noexcept;

/// Returns the value of the `Request-Outcome` header for `outcome`. Thread safe.
std::string_view name_of(request_outcome outcome) noexcept;

/// Builds the failure value of a `result`. Thread safe.
error make_error(error_kind kind, std::string message);

} // namespace fuchsiaproxy::base

#endif
