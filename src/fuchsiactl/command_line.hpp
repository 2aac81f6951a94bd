#ifndef FUCHSIAPROXY_FUCHSIACTL_COMMAND_LINE_HPP
#define FUCHSIAPROXY_FUCHSIACTL_COMMAND_LINE_HPP

#include <chrono>
#include <string>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"

namespace fuchsiaproxy::fuchsiactl
{

/// Options of the program, from the command line or else from the environment.
struct options
{
    std::string entry;
    std::string id;
    std::string key_file;
    std::string new_key_file;
    std::string command_id;
    std::chrono::milliseconds timeout{};
    bool json = false;
    bool help = false;
    /// Id of the request for the command `explain`; empty for any other command. `logs` are the log
    /// files to read; standard input if empty.
    std::string explained_id;
    std::vector<std::string> logs;
    /// Commands to execute; empty to read them from standard input.
    std::string commands;
    std::string help_text;
};

/// Reads the options. Fails with `invalid_command`.
base::result<options> parse_command_line(int argc, char const* const* argv);

/// Reads a key: the first line of `file` if a file is named, else the environment variable
/// `variable` if it is set, else a line from the terminal, after `prompt` and without echo. Fails
/// with `invalid_command` if the file cannot be read or is empty, or if there is no terminal.
base::result<std::string> read_key(std::string const& file, char const* variable,
                                   std::string const& prompt);

} // namespace fuchsiaproxy::fuchsiactl

#endif
