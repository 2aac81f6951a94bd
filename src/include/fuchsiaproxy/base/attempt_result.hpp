#ifndef FUCHSIAPROXY_BASE_ATTEMPT_RESULT_HPP
#define FUCHSIAPROXY_BASE_ATTEMPT_RESULT_HPP

#include <string_view>

namespace fuchsiaproxy::base
{

/// How an attempt to run a request at an upstream ended.
enum class attempt_result
{
    completed,
    /// The upstream rejected the request before running it (shed status).
    shed,
    connect_failed,
    /// The attempt ended before any byte was sent.
    not_sent,
    /// The upstream confirmed that it cancelled the request before it started.
    cancelled_before_start,
    /// The connection failed or stalled after bytes were sent.
    broken,
    timed_out,
    /// Cancelled by this entry; whether the upstream had started the request is not known.
    cancelled,
    /// Cancelled by this entry, and the upstream confirmed that it stopped the request after it had
    /// started.
    stopped
};

/// Returns the stable name of `it`, as used in logs. Thread safe.
constexpr std::string_view name_of(attempt_result it) noexcept
{
    switch (it)
    {
    case attempt_result::completed:
        return "completed";
    case attempt_result::shed:
        return "refused";
    case attempt_result::connect_failed:
        return "connect_failed";
    case attempt_result::not_sent:
        return "not_sent";
    case attempt_result::cancelled_before_start:
        return "cancelled_before_start";
    case attempt_result::broken:
        return "broken";
    case attempt_result::timed_out:
        return "timed_out";
    case attempt_result::cancelled:
        return "cancelled";
    case attempt_result::stopped:
        break;
    }
    return "stopped";
}

/// Returns whether an attempt with this result has not run and never will. Thread safe.
constexpr bool proves_not_run(attempt_result it) noexcept
{
    return it == attempt_result::shed || it == attempt_result::connect_failed ||
           it == attempt_result::not_sent || it == attempt_result::cancelled_before_start;
}

} // namespace fuchsiaproxy::base

#endif
