#ifndef FUCHSIAPROXY_TELEMETRY_STATE_LOG_HPP
#define FUCHSIAPROXY_TELEMETRY_STATE_LOG_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::telemetry
{

/// Severity of a line, in ascending order.
enum class log_level
{
    debug,
    info,
    warn,
    error
};

/// Name and value of one field of a line.
using log_field = std::pair<std::string, std::string>;

/// Format and destination of the lines.
enum class log_format
{
    /// `event=NAME field=value ...` on the standard error stream.
    text_on_stderr,
    /// One JSON object each on the standard output stream.
    json_on_stdout
};

/// Log of state changes and decisions, one line each. A dedicated thread writes the lines, so that
/// a slow reader of the log never blocks the caller.
///
/// Thread safety: `write` and `dropped` may be called on any thread.
class state_log
{
public:
    /// Starts the thread. Preconditions: at most one object in a process; `level` is one of
    /// "debug", "info", "warn", "error".
    explicit state_log(std::string const& level, log_format format = log_format::text_on_stderr);

    /// Writes the queued lines and stops the thread.
    ~state_log();

    state_log(state_log const&) = delete;
    state_log& operator=(state_log const&) = delete;

    /// Queues a line. It is dropped and counted if the ring is full, or if 20 lines of the same
    /// event were queued within the same second. A line with the event `lines_left_out` reports how
    /// many lines of an event exceeded that rate. Precondition: `event` is a constant name that
    /// does not contain data.
    void write(log_level level, std::string event, std::vector<log_field> fields = {});

    /// Returns how many lines were dropped.
    std::uint64_t dropped() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::telemetry

#endif
