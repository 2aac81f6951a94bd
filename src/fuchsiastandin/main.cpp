#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "commands.hpp"

int main(int argc, char** argv)
{
    using namespace fuchsiaproxy::standin;
    try
    {
        auto const command = std::string(argc > 1 ? argv[1] : "");
        if (auto const run = find_command(command))
        {
            return run(argc - 1, argv + 1);
        }
        std::cerr << "usage: fuchsiastandin store|upstream|caller|relay [OPTION...]\n"
                     "       fuchsiastandin COMMAND --help\n";
        return command == "--help" ? EXIT_SUCCESS : usage_exit_code;
    }
    catch (std::exception const& e)
    {
        std::cerr << "fuchsiastandin: " << e.what() << '\n';
        return EXIT_FAILURE;
    }
}
