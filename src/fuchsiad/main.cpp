#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <unistd.h>

#include <cxxopts.hpp>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/runtime/daemon.hpp"
#include "fuchsiaproxy/settings/load.hpp"

namespace
{

using namespace fuchsiaproxy;

constexpr char const* program_version = FUCHSIAPROXY_VERSION;

int report_error(base::error const& it)
{
    std::cerr << "fuchsiad: " << it.message << '\n';
    return base::answer_for(it.kind).exit_code;
}

std::vector<std::string> environment()
{
    std::vector<std::string> variables;
    for (char** it = environ; *it != nullptr; ++it)
    {
        variables.emplace_back(*it);
    }
    return variables;
}

base::result<settings::daemon_settings> load(cxxopts::ParseResult const& args)
{
    auto const text = settings::read_file(args["settings"].as<std::string>());
    if (!text)
    {
        return text.error();
    }
    auto overrides = settings::overrides_from_environment(environment());
    auto const set_arguments = args.count("set") == 0 ? std::vector<std::string>()
                                                      : args["set"].as<std::vector<std::string>>();
    for (auto const& it : set_arguments)
    {
        auto parsed = settings::parse_override(it);
        if (!parsed)
        {
            return parsed.error();
        }
        overrides.push_back(std::move(parsed).value());
    }
    return settings::load(text.value(), overrides);
}

cxxopts::Options options()
{
    cxxopts::Options definitions("fuchsiad", "Entry instance of fuchsiaproxy.");
    definitions.add_options()("settings", "Settings file in JSON",
                              cxxopts::value<std::string>()->default_value("fuchsiad.json"),
                              "FILE")("set", "Override one setting: path=value, repeatable",
                                      cxxopts::value<std::vector<std::string>>(),
                                      "SETTING")("check", "Check the settings and exit")(
        "settings-reference", "Print the reference of all settings and exit")(
        "version", "Print the version and exit")("help", "Print this help and exit");
    return definitions;
}

int run(int argc, char** argv)
{
    auto parser = options();
    auto const args = parser.parse(argc, argv);
    if (args.count("help") != 0)
    {
        std::cout << parser.help();
        return EXIT_SUCCESS;
    }
    if (args.count("version") != 0)
    {
        std::cout << "fuchsiad " << program_version << '\n';
        return EXIT_SUCCESS;
    }
    if (args.count("settings-reference") != 0)
    {
        std::cout << settings::reference_page();
        return EXIT_SUCCESS;
    }
    auto loaded = load(args);
    if (!loaded)
    {
        return report_error(loaded.error());
    }
    if (args.count("check") != 0)
    {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    runtime::daemon daemon(std::move(loaded).value());
    auto const outcome = daemon.run();
    return outcome ? EXIT_SUCCESS : report_error(outcome.error());
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (cxxopts::exceptions::exception const& ex)
    {
        return report_error(base::make_error(base::error_kind::invalid_command, ex.what()));
    }
    catch (std::exception const& ex)
    {
        return report_error(base::make_error(base::error_kind::internal, ex.what()));
    }
}
