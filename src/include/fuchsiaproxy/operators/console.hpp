#ifndef FUCHSIAPROXY_OPERATORS_CONSOLE_HPP
#define FUCHSIAPROXY_OPERATORS_CONSOLE_HPP

#include <chrono>
#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/operators/api_client.hpp"
#include "fuchsiaproxy/operators/language.hpp"

namespace fuchsiaproxy::operators
{

/// Streams, callbacks and options that the program provides to the console.
struct console_environment
{
    std::ostream& out;
    std::ostream& err;
    /// Connects to the entry's API; called when the first command needs the connection.
    std::function<base::result<std::unique_ptr<api_transport>>()> connect;
    base::operator_id id;
    /// Returns the operator's key.
    std::function<base::result<std::string>(std::string const& prompt)> read_key;
    /// Returns a new key for `key hash` and `key change`.
    std::function<base::result<std::string>(std::string const& prompt)> read_new_key;
    /// Returns an id that no other command has.
    std::function<base::command_id()> new_command_id;
    /// Id of an earlier change with an unknown outcome that is to be repeated; empty otherwise.
    base::command_id repeated_id;
    /// Blocks for the given time, between repeated attempts or polls.
    std::function<void(std::chrono::milliseconds)> pause;
    /// Prints results and errors as JSON.
    bool json = false;
};

/// Executes commands of the query and command language.
///
/// Thread safety: none; calls block until the command is done.
class console
{
public:
    explicit console(console_environment environment);
    ~console();

    console(console const&) = delete;
    console& operator=(console const&) = delete;

    /// Executes the commands in `text` up to the first that fails, and returns the exit code: 0, or
    /// that of `base::answer_for` for the error. Nothing is executed if `text` has a syntax error.
    int run(std::string_view text);

private:
    class executor;

    int report(base::error const& it);

    console_environment environment_;
    std::unique_ptr<executor> executor_;
};

} // namespace fuchsiaproxy::operators

#endif
