#include "interactive.hpp"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <readline/history.h>
#include <readline/readline.h>

namespace fuchsiaproxy::fuchsiactl
{
namespace
{

constexpr int max_history = 1'000;

char* next_completion(char const* text, int state)
{
    static std::vector<std::string> words;
    static std::size_t at = 0;
    if (state == 0)
    {
        words = operators::completions(std::string(rl_line_buffer, rl_point));
        at = 0;
    }
    // readline frees the copy.
    return at < words.size() ? strdup(words[at++].c_str()) : nullptr;
}

char** complete(char const* text, int begin, int end)
{
    // If there are no completions, readline completes file names, such as folders of declarations.
    return rl_completion_matches(text, next_completion);
}

std::string history_file()
{
    auto const* home = std::getenv("HOME");
    return home == nullptr ? std::string() : std::string(home) + "/.fuchsiactl_history";
}

} // namespace

int run_interactively(operators::console& console)
{
    rl_attempted_completion_function = complete;
    rl_completer_word_break_characters = " \t\n;=<>!";
    using_history();
    stifle_history(max_history);
    auto const file = history_file();
    read_history(file.c_str());
    int code = 0;
    while (true)
    {
        std::unique_ptr<char, decltype(&std::free)> const line(readline("fuchsiactl> "),
                                                               &std::free);
        if (!line)
        {
            break;
        }
        if (*line != '\0')
        {
            add_history(line.get());
            code = console.run(line.get());
        }
    }
    std::cout << "\n";
    write_history(file.c_str());
    return code;
}

} // namespace fuchsiaproxy::fuchsiactl
