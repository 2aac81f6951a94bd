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

/// Log of changes of state, one line each in the form `event=NAME field=value ...`, written to the
/// standard error stream by a thread of its own, so that a slow reader never stops the caller.
///
/// Thread safety: `write` and `dropped` on any thread.
class state_log
{
public:
    /// Starts the thread. Preconditions: at most one object in a process; `level` is one of
    /// "debug", "info", "warn", "error".
    explicit state_log(std::string const& level);

    /// Writes what is queued and ends the thread.
    ~state_log();

    state_log(state_log const&) = delete;
    state_log& operator=(state_log const&) = delete;

    /// Queues a line. Lines beyond the ring's capacity, and more than 20 lines of one event within
    /// a second, are dropped and counted. Preconditions: `event` is a constant name, not made of
    /// data.
    void write(log_level level, std::string event, std::vector<log_field> fields = {});

    /// Returns how many lines were dropped.
    std::uint64_t dropped() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::telemetry

#endif
