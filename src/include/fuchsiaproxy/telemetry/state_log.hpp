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

/// Levels of a line, from least to most severe.
enum class log_level
{
    debug,
    info,
    warn,
    error
};

/// Name and value of one field of a line.
using log_field = std::pair<std::string, std::string>;

/// Form and place of the lines.
enum class log_form
{
    /// `event=NAME field=value ...` on the standard error stream.
    text_on_stderr,
    /// One JSON object each on the standard output stream.
    json_on_stdout
};

/// Log of changes of state and decisions, one line each, written by a thread of its own, so that a
/// slow reader never stops the caller.
///
/// Thread safety: `write` and `dropped` on any thread.
class state_log
{
public:
    /// Starts the thread. Preconditions: at most one object in a process; `level` is one of
    /// "debug", "info", "warn", "error".
    explicit state_log(std::string const& level, log_form form = log_form::text_on_stderr);

    /// Writes what is queued and ends the thread.
    ~state_log();

    state_log(state_log const&) = delete;
    state_log& operator=(state_log const&) = delete;

    /// Queues a line. Lines beyond the ring's capacity, and more than 20 lines of one event within
    /// a second, are dropped and counted; a line of the event `lines_left_out` says how many lines
    /// of an event were. Preconditions: `event` is a constant name, not made of data.
    void write(log_level level, std::string event, std::vector<log_field> fields = {});

    /// Returns how many lines were dropped.
    std::uint64_t dropped() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::telemetry

#endif
