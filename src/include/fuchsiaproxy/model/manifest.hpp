#ifndef FUCHSIAPROXY_MODEL_MANIFEST_HPP
#define FUCHSIAPROXY_MODEL_MANIFEST_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::model
{

/// Wall-clock time, for display only; no decision depends on it.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Number of accepted commands that a manifest records. A writer that lost the answer to its
/// command still finds the record unless this many other commands were accepted since.
constexpr std::size_t max_logged_commands = 64;

/// An accepted command.
struct command_record
{
    base::command_id command;
    base::operator_id by;
    base::organisation_id organisation;
    base::config_version version;
    wall_time at;
    /// Hash of the command's content, to distinguish a repeated command from a reused id.
    std::string content_hash;
};

/// The most recently accepted commands, oldest first. Thread safe for distinct objects.
class command_log
{
public:
    /// Appends `it`, and removes the oldest record if there are more than `max_logged_commands`.
    void append(command_record it);

    /// Returns the record of `command`, or null. The pointer is valid until the next change.
    command_record const* find(base::command_id const& command) const;

    /// Returns the record of the command that created `version`, or null. The pointer is valid
    /// until the next change.
    command_record const* find(base::config_version version) const;

    /// Returns all records, oldest first.
    std::vector<command_record> const& records() const noexcept
    {
        return records_;
    }

private:
    std::vector<command_record> records_;
};

/// Part of a configuration, stored under the hash of its content.
struct segment
{
    std::string name;
    std::string hash;
    std::string document;
};

/// Name and hash of a segment.
struct segment_reference
{
    std::string name;
    std::string hash;
};

/// Head of the configuration: its version, the segments it consists of and the recent commands.
/// Version 0 means that no configuration has been accepted yet.
struct manifest
{
    base::config_version version;
    std::vector<segment_reference> segments;
    command_log commands;
};

/// Documents of segments, keyed by their hash.
using segment_documents = std::map<std::string, std::string>;

/// Returns the SHA-256 of `text` in hexadecimal. Thread safe.
std::string content_hash(std::string_view text);

/// Splits `value` into segments: `setup`, `members`, one `service-<id>` for each service with its
/// places, shifts and drains, and `caps`. Their order is fixed. Thread safe.
std::vector<segment> split_into_segments(configuration const& value);

/// Merges the segments of `head` into a configuration. Fails with `not_found` if a document is
/// missing and with `invalid_configuration` if a document does not match its hash. Thread safe.
base::result<configuration> assemble(manifest const& head, segment_documents const& documents);

/// Returns the canonical JSON text of a manifest. Thread safe.
std::string to_json(manifest const& value);

/// Parses a manifest with the same strictness as `parse_configuration`. Never throws. Thread safe.
base::result<manifest> parse_manifest(std::string_view text);

/// Returns `at` in ISO 8601 format, such as `2026-12-04T07:00:00.000Z`. Thread safe.
std::string to_text(wall_time at);

/// Returns the version, author and time of a command for messages, such as
/// `version 7 by ilme of varjuvork at ...`. Thread safe.
std::string describe(command_record const& it);

} // namespace fuchsiaproxy::model

#endif
