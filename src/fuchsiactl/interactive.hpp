#ifndef FUCHSIAPROXY_FUCHSIACTL_INTERACTIVE_HPP
#define FUCHSIAPROXY_FUCHSIACTL_INTERACTIVE_HPP

#include "fuchsiaproxy/operators/console.hpp"

namespace fuchsiaproxy::fuchsiactl
{

/// Reads commands from the terminal, with history and completion, until the end of the input.
/// Returns the exit code of the last command.
int run_interactively(operators::console& console);

} // namespace fuchsiaproxy::fuchsiactl

#endif
