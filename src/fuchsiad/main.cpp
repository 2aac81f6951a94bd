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

int fail(base::error const& it)
{
    std::cerr << "fuchsiad: " << it.message << '\n';
    return base::answer_for(it.kind).exit_code;
}

std::vector<std::string> environment()
{
    std::vector<std::string> all;
    for (char** it = environ; *it != nullptr; ++it)
    {
        all.emplace_back(*it);
    }
    return all;
}

base::result<settings::daemon_settings> load(cxxopts::ParseResult const& args)
{
    auto const text = settings::read_file(args["settings"].as<std::string>());
    if (!text)
    {
        return text.error();
    }
    auto overrides = settings::overrides_from_environment(environment());
    auto const given = args.count("set") == 0 ? std::vector<std::string>()
                                              : args["set"].as<std::vector<std::string>>();
    for (auto const& it : given)
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
    cxxopts::Options made("fuchsiad", "Entry instance of fuchsiaproxy.");
    made.add_options()("settings", "Settings file in JSON",
                       cxxopts::value<std::string>()->default_value("fuchsiad.json"),
                       "FILE")("set", "Override one setting: path=value, repeatable",
                               cxxopts::value<std::vector<std::string>>(),
                               "SETTING")("check", "Check the settings and exit")(
        "settings-reference", "Print the reference of all settings and exit")(
        "version", "Print the version and exit")("help", "Print this help and exit");
    return made;
}

int run(int argc, char** argv)
{
    auto described = options();
    auto const args = described.parse(argc, argv);
    if (args.count("help") != 0)
    {
        std::cout << described.help();
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
        return fail(loaded.error());
    }
    if (args.count("check") != 0)
    {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    runtime::daemon daemon(std::move(loaded).value());
    auto const end = daemon.run();
    return end ? EXIT_SUCCESS : fail(end.error());
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
        return fail(base::make_error(base::error_kind::invalid_command, ex.what()));
    }
    catch (std::exception const& ex)
    {
        return fail(base::make_error(base::error_kind::internal, ex.what()));
    }
}
