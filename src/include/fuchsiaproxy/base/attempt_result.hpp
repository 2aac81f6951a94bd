#ifndef FUCHSIAPROXY_BASE_ATTEMPT_RESULT_HPP
#define FUCHSIAPROXY_BASE_ATTEMPT_RESULT_HPP

namespace fuchsiaproxy::base
{

/// How an attempt to run a request at an upstream ended.
enum class attempt_result
{
    completed,
    /// The upstream refused it before it ran (shed status).
    shed,
    connect_failed,
    /// The attempt ended before any byte was sent.
    not_sent,
    /// The upstream confirmed that it cancelled the request before it started.
    cancelled_before_start,
    /// The connection broke or went silent after bytes were sent.
    broken,
    timed_out,
    /// Cancelled by this entry, without knowledge of the upstream's progress.
    cancelled,
    /// Cancelled by this entry, and the upstream confirmed that it stopped the request after it had
    /// started.
    stopped
};

} // namespace fuchsiaproxy::base

#endif
