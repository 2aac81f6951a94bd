#include <openssl/rand.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <thread>

#include "command_line.hpp"
#include "fuchsiaproxy/model/manifest.hpp"
#include "fuchsiaproxy/operators/console.hpp"
#include "fuchsiaproxy/telemetry/request_history.hpp"
#include "interactive.hpp"

namespace
{

using namespace fuchsiaproxy;

/// Returns a random id; with 128 bits, collisions are improbable.
base::command_id random_command_id()
{
    std::array<unsigned char, 16> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    constexpr auto digits = "0123456789abcdef";
    std::string out;
    for (auto const it : bytes)
    {
        out += digits[it >> 4U];
        out += digits[it & 15U];
    }
    return base::command_id(out);
}

operators::console_environment environment_for(fuchsiactl::options const& given)
{
    return {std::cout,
            std::cerr,
            [given] { return operators::make_http_transport(given.entry, given.timeout); },
            base::operator_id(given.id),
            [given](std::string const& prompt)
            { return fuchsiactl::read_key(given.key_file, "FUCHSIACTL_KEY", prompt); },
            [given](std::string const& prompt)
            { return fuchsiactl::read_key(given.new_key_file, "FUCHSIACTL_NEW_KEY", prompt); },
            random_command_id,
            base::command_id(given.command_id),
            [](std::chrono::milliseconds pause) { std::this_thread::sleep_for(pause); },
            given.json};
}

/// Prints the history of one request, as recorded in the logs.
int explain(fuchsiactl::options const& given)
{
    std::vector<telemetry::log_record> logs;
    auto const add = [&](std::istream& in, std::string const& source)
    {
        auto read = telemetry::read_log(in, source);
        std::move(read.begin(), read.end(), std::back_inserter(logs));
    };
    for (auto const& path : given.logs)
    {
        std::ifstream in(path);
        if (!in)
        {
            std::cerr << "fuchsiactl: cannot read \"" << path << "\"\n";
            return base::answer_for(base::error_kind::invalid_command).exit_code;
        }
        add(in, path);
    }
    if (given.logs.empty())
    {
        add(std::cin, "standard input");
    }
    auto const history = telemetry::explain_request(logs, given.explained_id);
    std::cout << telemetry::to_text(history, given.explained_id);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    auto const given = fuchsiactl::parse_command_line(argc, argv);
    if (!given)
    {
        std::cerr << "fuchsiactl: " << given.error().message << "\n";
        return base::answer_for(given.error().kind).exit_code;
    }
    auto const& options = given.value();
    if (options.help)
    {
        std::cout << options.help_text << "\n" << operators::command_help();
        return 0;
    }
    if (!options.explained_id.empty())
    {
        return explain(options);
    }
    operators::console console(environment_for(options));
    if (!options.commands.empty())
    {
        return console.run(options.commands);
    }
    if (isatty(STDIN_FILENO) != 0)
    {
        return fuchsiactl::run_interactively(console);
    }
    return console.run(
        std::string(std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()));
}
