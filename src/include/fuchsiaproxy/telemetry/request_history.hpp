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
    /// Name of the log that it stands in.
    std::string source;

    /// Returns a field's value, or an empty string.
    std::string const& at(std::string const& field) const;
};

/// Reads the lines of one log. The last word before a line's JSON object, which collectors of logs
/// put there, replaces `source`; lines without an object are passed over. Thread safe.
std::vector<log_record> read_log(std::istream& in, std::string const& source);

/// What the logs say of one request.
struct request_history
{
    /// Lines that name the request, in the order of their times.
    std::vector<log_record> own;
    /// Changes of state that bear on it: on the same entry shortly before, and those of its
    /// upstreams, on any entry.
    std::vector<log_record> context;
    /// Why it ended as it did, in one sentence each.
    std::vector<std::string> causes;
};

/// Finds what bears on the request with the given id. Thread safe.
request_history explain_request(std::vector<log_record> const& logs, std::string const& id);

/// Returns the history as text for people. Thread safe.
std::string to_text(request_history const& it, std::string const& id);

} // namespace fuchsiaproxy::telemetry

#endif
