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

/// Wall-clock time, shown to people. Decisions never compare it.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Commands that a manifest remembers. A writer whose answer was lost finds its command unless this
/// many others were accepted meanwhile.
constexpr std::size_t max_logged_commands = 64;

/// An accepted command.
struct command_record
{
    base::command_id command;
    base::operator_id by;
    base::organisation_id organisation;
    base::config_version version;
    wall_time at;
    /// Hash of the command's content, which tells a repeated command from a reused id.
    std::string content_hash;
};

/// The last commands, oldest first. A value; thread safe for distinct objects.
class command_log
{
public:
    /// Appends `it` and drops the oldest beyond `max_logged_commands`.
    void append(command_record it);

    /// Returns the record of `command`, or null. The pointer is valid until the next change.
    command_record const* find(base::command_id const& command) const;

    /// Returns the record that made `version`, or null. The pointer is valid until the next change.
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

/// Head of the configuration. Version 0 means that nothing was accepted yet.
struct manifest
{
    base::config_version version;
    std::vector<segment_reference> segments;
    command_log commands;
};

/// Documents of segments by hash.
using segment_documents = std::map<std::string, std::string>;

/// Returns the SHA-256 of `text` in hexadecimal. Thread safe.
std::string content_hash(std::string_view text);

/// Splits `value` into segments: `setup`, `members`, one `service-<id>` for each service with its
/// places, shifts and drains, and `caps`. Their order is fixed. Thread safe.
std::vector<segment> split_into_segments(configuration const& value);

/// Puts the configuration of `head` together. Fails with `not_found` if a document is missing and
/// with `invalid_configuration` if one does not have the hash of its reference. Thread safe.
base::result<configuration> assemble(manifest const& head, segment_documents const& documents);

/// Returns the canonical JSON text of a manifest. Thread safe.
std::string to_json(manifest const& value);

/// Reads a manifest, as strictly as `parse_configuration`. Never throws. Thread safe.
base::result<manifest> parse_manifest(std::string_view text);

/// Returns `at` as `2026-12-04T07:00:00.000Z`. Thread safe.
std::string to_text(wall_time at);

/// Returns who made a version and when, for messages: `version 7 by ilme of varjuvork at ...`.
/// Thread safe.
std::string describe(command_record const& it);

} // namespace fuchsiaproxy::model

#endif
