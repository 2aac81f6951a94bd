#ifndef FUCHSIAPROXY_FUCHSIASTANDIN_COMMANDS_HPP
#define FUCHSIAPROXY_FUCHSIASTANDIN_COMMANDS_HPP

#include <string>

namespace fuchsiaproxy::standin
{

constexpr int usage_exit_code = 2;

/// Entry point of a command. `argv[0]` is the name of the command. Returns the exit code.
using command = int (*)(int argc, char** argv);

/// Returns the command with the given name, or null if there is none.
command find_command(std::string const& name);

int run_store(int argc, char** argv);
int run_upstream(int argc, char** argv);
int run_caller(int argc, char** argv);
int run_relay(int argc, char** argv);

} // namespace fuchsiaproxy::standin

#endif
