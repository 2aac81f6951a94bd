#ifndef FUCHSIAPROXY_TELEMETRY_REQUEST_HISTORY_HPP
#define FUCHSIAPROXY_TELEMETRY_REQUEST_HISTORY_HPP

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace fuchsiaproxy::telemetry
{

/// One line of an entry's log.
struct log_record
{
    std::int64_t time_ms = 0;
    std::string event;
    std::map<std::string, std::string> fields;
    /// Name of the log that the line was read from.
    std::string source;

    /// Returns a field's value, or an empty string.
    std::string const& at(std::string const& field) const;
};

/// Reads the lines of one log. Log collectors put a prefix before a line's JSON object: its last
/// word, if any, replaces `source`. Lines without a JSON object are skipped. Thread safe.
std::vector<log_record> read_log(std::istream& in, std::string const& source);

/// Log lines about one request, and the causes of its result that they show.
struct request_history
{
    /// Lines that contain the request's id, ordered by time.
    std::vector<log_record> request_lines;
    /// State changes at about the time of the request that may have affected it: those of the
    /// entries that handled it, and those of its upstreams as logged by any entry.
    std::vector<log_record> context;
    /// One sentence for each line in `request_lines`: how an attempt or the request ended, and why.
    std::vector<std::string> causes;
};

/// Collects the lines about the request `id` and derives the causes of its result. Thread safe.
request_history explain_request(std::vector<log_record> const& logs, std::string const& id);

/// Returns the history as human-readable text. Thread safe.
std::string to_text(request_history const& it, std::string const& id);

} // namespace fuchsiaproxy::telemetry

#endif
