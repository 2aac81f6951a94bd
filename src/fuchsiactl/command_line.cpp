#include "command_line.hpp"

#include <termios.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <utility>

#include <cxxopts.hpp>

#include "fuchsiaproxy/operators/language.hpp"

namespace fuchsiaproxy::fuchsiactl
{
namespace
{

using base::error_kind;
using base::make_error;

constexpr unsigned default_timeout_ms = 10'000;

std::string environment_or(char const* name, std::string fallback)
{
    auto const* value = std::getenv(name);
    return value == nullptr ? std::move(fallback) : value;
}

cxxopts::Options declare_options()
{
    cxxopts::Options out("fuchsiactl", "Control of fuchsiaproxy\n");
    out.positional_help("[COMMAND...]\n  fuchsiactl explain ID [LOG...]");
    auto add = out.add_options();
    add("entry", "address of an entry's operators' API [FUCHSIACTL_ENTRY]",
        cxxopts::value<std::string>()->default_value(
            environment_or("FUCHSIACTL_ENTRY", "127.0.0.1:7080")));
    add("operator", "your operator id [FUCHSIACTL_OPERATOR]",
        cxxopts::value<std::string>()->default_value(environment_or("FUCHSIACTL_OPERATOR", "")));
    add("key-file", "file with your key, else FUCHSIACTL_KEY, else the terminal",
        cxxopts::value<std::string>()->default_value(""));
    add("new-key-file",
        "file with the key for \"key hash\" and \"key change\", else "
        "FUCHSIACTL_NEW_KEY, else the terminal",
        cxxopts::value<std::string>()->default_value(""));
    add("command-id", "id of the change, to repeat one whose outcome is unknown",
        cxxopts::value<std::string>()->default_value(""));
    add("output", "text or json", cxxopts::value<std::string>()->default_value("text"));
    add("timeout", "milliseconds to wait for an answer",
        cxxopts::value<unsigned>()->default_value(std::to_string(default_timeout_ms)));
    add("help", "print this text");
    add("words", "", cxxopts::value<std::vector<std::string>>());
    out.parse_positional("words");
    return out;
}

/// Joins the arguments to the text of a command. A single argument is not changed, so that a whole
/// command can be passed in shell quotes. Of several arguments, those with blanks or special
/// characters are quoted.
std::string join_arguments(std::vector<std::string> const& words)
{
    if (words.size() == 1)
    {
        return words.front();
    }
    std::string out;
    for (auto const& it : words)
    {
        bool const plain = !it.empty() && it.find_first_of(" \t\n\";#\\") == std::string::npos;
        std::string quoted = "\"";
        for (char const c : it)
        {
            quoted += c == '"' || c == '\\' ? std::string{'\\', c} : std::string(1, c);
        }
        out += (out.empty() ? "" : " ") + (plain ? it : quoted + "\"");
    }
    return out;
}

base::result<std::string> read_from_terminal(std::string const& prompt)
{
    termios before{};
    if (isatty(STDIN_FILENO) == 0 || tcgetattr(STDIN_FILENO, &before) != 0)
    {
        return make_error(error_kind::invalid_command,
                          prompt + ": expected a key in a file, in the environment or from a "
                                   "terminal");
    }
    auto without_echo = before;
    without_echo.c_lflag &= ~static_cast<tcflag_t>(ECHO);
    std::cerr << prompt << ": " << std::flush;
    tcsetattr(STDIN_FILENO, TCSAFLUSH, &without_echo);
    std::string key;
    std::getline(std::cin, key);
    tcsetattr(STDIN_FILENO, TCSAFLUSH, &before);
    std::cerr << "\n";
    return key;
}

} // namespace

base::result<options> parse_command_line(int argc, char const* const* argv)
{
    try
    {
        auto declaration = declare_options();
        auto const parsed = declaration.parse(argc, argv);
        options out;
        out.entry = parsed["entry"].as<std::string>();
        out.id = parsed["operator"].as<std::string>();
        out.key_file = parsed["key-file"].as<std::string>();
        out.new_key_file = parsed["new-key-file"].as<std::string>();
        out.command_id = parsed["command-id"].as<std::string>();
        out.timeout = std::chrono::milliseconds(parsed["timeout"].as<unsigned>());
        out.help = parsed.count("help") != 0;
        out.help_text = declaration.help();
        auto const output = parsed["output"].as<std::string>();
        if (output != "text" && output != "json")
        {
            return make_error(error_kind::invalid_command,
                              "--output: expected text or json, found \"" + output + "\"");
        }
        out.json = output == "json";
        if (parsed.count("words") != 0)
        {
            auto const& words = parsed["words"].as<std::vector<std::string>>();
            if (words.front() != "explain" || operators::is_routing_explanation(words))
            {
                out.commands = join_arguments(words);
            }
            else if (words.size() == 1)
            {
                return make_error(error_kind::invalid_command,
                                  "explain: expected the id of a request, then log files");
            }
            else
            {
                out.explained_id = words[1];
                out.logs.assign(words.begin() + 2, words.end());
            }
        }
        return out;
    }
    catch (cxxopts::exceptions::exception const& e)
    {
        return make_error(error_kind::invalid_command, e.what());
    }
}

base::result<std::string> read_key(std::string const& file, char const* variable,
                                   std::string const& prompt)
{
    if (!file.empty())
    {
        std::ifstream in(file);
        std::string key;
        if (!std::getline(in, key))
        {
            return make_error(error_kind::invalid_command,
                              file + ": expected a readable file with a key in its first line");
        }
        return key;
    }
    auto const* value = std::getenv(variable);
    if (value != nullptr)
    {
        return std::string(value);
    }
    return read_from_terminal(prompt);
}

} // namespace fuchsiaproxy::fuchsiactl
