#include "process.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include <boost/asio/signal_set.hpp>

namespace fuchsiaproxy::standin
{

std::optional<cxxopts::ParseResult> parse(cxxopts::Options& options, int argc, char** argv)
{
    options.add_options()("h,help", "Print this help");
    auto args = options.parse(argc, argv);
    if (args.count("help") != 0)
    {
        std::cout << options.help();
        return std::nullopt;
    }
    return args;
}

metadata::http_endpoint endpoint_option(cxxopts::ParseResult const& args, std::string const& name)
{
    auto const text = args[name].as<std::string>();
    auto out = metadata::parse_endpoint(text);
    if (out.address.empty())
    {
        throw std::invalid_argument("--" + name + " is not of the form ip:port: \"" + text + "\"");
    }
    return out;
}

base::duration milliseconds_option(cxxopts::ParseResult const& args, std::string const& name)
{
    return std::chrono::milliseconds(args[name].as<std::int64_t>());
}

std::string to_string(metadata::http_endpoint const& it)
{
    return it.address + ":" + std::to_string(it.port);
}

int serve(boost::asio::io_context& io, nlohmann::json const& started)
{
    std::cout << started.dump() << std::endl;
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
    io.run();
    return EXIT_SUCCESS;
}

} // namespace fuchsiaproxy::standin
