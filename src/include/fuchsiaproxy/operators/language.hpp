#ifndef FUCHSIAPROXY_OPERATORS_LANGUAGE_HPP
#define FUCHSIAPROXY_OPERATORS_LANGUAGE_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/base/ids.hpp"

namespace fuchsiaproxy::operators
{

/// Comparison in a condition.
enum class comparison
{
    equal,
    not_equal,
    less,
    less_or_equal,
    greater,
    greater_or_equal
};

/// Condition on a column of a table, such as `version < 7`.
struct condition
{
    std::string column;
    comparison op = comparison::equal;
    std::string value;
};

/// Kind of objects that `show` lists.
enum class show_subject
{
    entries,
    zones,
    members,
    joins,
    services,
    classes,
    places,
    upstreams,
    caps,
    shifts,
    drains
};

/// Output format of a burn report.
enum class report_form
{
    table,
    json,
    html
};

struct help_command
{
};
struct check_command
{
    std::string folder;
};
struct diff_command
{
    std::string folder;
};
struct apply_command
{
    std::string folder;
};
struct bootstrap_command
{
    std::string folder;
};
struct export_command
{
};
struct history_command
{
    /// Number of latest commands to list; all when empty.
    std::optional<std::uint64_t> count;
};
struct wait_command
{
    base::config_version version;
    std::chrono::seconds timeout{10};
};
struct show_command
{
    show_subject subject = show_subject::entries;
    /// A row is listed if it meets all of them.
    std::vector<condition> conditions;
    /// Column to order by; the order of the declaration when empty.
    std::string order_by;
    bool descending = false;
    std::optional<std::uint64_t> limit;
};
struct explain_command
{
    std::string service;
    std::string method;
    std::string path;
    /// Empty for the zone of the entry.
    std::string zone;
};
struct drain_command
{
    std::string place;
};
struct undrain_command
{
    std::string place;
};
struct shift_command
{
    std::string from;
    std::string to;
    std::uint32_t percent = 0;
};
struct stop_shift_command
{
    std::string shift;
};
struct reverse_shift_command
{
    std::string shift;
};
struct join_command
{
    /// File with one join request.
    std::string file;
};
struct approve_command
{
    std::string member;
};
struct withdraw_command
{
    std::string member;
};
struct key_hash_command
{
    std::string id;
};
struct key_change_command
{
};
struct report_burn_command
{
    report_form form = report_form::table;
    /// File to write; standard output when empty.
    std::string file;
};

/// A command of the query and command language; docs/language.md has its grammar.
using command =
    std::variant<help_command, check_command, diff_command, apply_command, bootstrap_command,
                 export_command, history_command, wait_command, show_command, explain_command,
                 drain_command, undrain_command, shift_command, stop_shift_command,
                 reverse_shift_command, join_command, approve_command, withdraw_command,
                 key_hash_command, key_change_command, report_burn_command>;

/// Parses commands that are separated by `;` or line ends. Fails with `invalid_command`; the
/// message has the line, the column and what was expected there. Thread safe.
base::result<std::vector<command>> parse_commands(std::string_view text);

/// Returns whether the words of a command line are the command `explain SERVICE METHOD PATH`, which
/// entries answer, and not `explain ID [LOG...]`, which reads logs. Thread safe.
bool is_routing_explanation(std::vector<std::string> const& words);

/// Returns the keywords that can complete the last word of `line` or follow it. Empty where a name,
/// a number or a path is expected. Thread safe.
std::vector<std::string> completions(std::string_view line);

/// Returns one line of help for each command. Thread safe.
std::string command_help();

/// Returns the name of a subject, as written after `show`. Thread safe.
std::string name_of(show_subject subject);

} // namespace fuchsiaproxy::operators

#endif
