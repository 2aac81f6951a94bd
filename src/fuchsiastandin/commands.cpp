#include "commands.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <vector>

#include "fuchsiaproxy/standin/caller.hpp"
#include "fuchsiaproxy/standin/store.hpp"
#include "fuchsiaproxy/standin/tcp_relay.hpp"
#include "fuchsiaproxy/standin/upstream.hpp"
#include "fuchsiaproxy/standin/upstream_json.hpp"
#include "process.hpp"

namespace fuchsiaproxy::standin
{
namespace
{

using cxxopts::value;
using nlohmann::json;

/// One upstream, read from the `--spec` file or generated for `--count`.
struct upstream_spec
{
    std::string id;
    metadata::http_endpoint at;
    std::string settings;
};

std::vector<upstream_spec> read_specs(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
    {
        throw std::invalid_argument("cannot open \"" + path + "\"");
    }
    std::vector<upstream_spec> out;
    for (auto const& it : json::parse(file))
    {
        out.push_back({it.at("id").get<std::string>(),
                       metadata::parse_endpoint(it.at("listen").get<std::string>()),
                       it.value("settings", json::object()).dump()});
    }
    return out;
}

std::vector<upstream_spec> make_specs(cxxopts::ParseResult const& args)
{
    std::vector<upstream_spec> out;
    auto at = endpoint_option(args, "listen");
    for (std::size_t n = 0; n < args["count"].as<std::size_t>(); ++n)
    {
        out.push_back({args["id-prefix"].as<std::string>() + std::to_string(n + 1), at, "{}"});
        at.port = static_cast<std::uint16_t>(at.port == 0 ? 0 : at.port + 1);
    }
    return out;
}

void apply_settings(upstream_settings& settings, std::string const& text)
{
    auto const changed = change_settings(settings, text);
    if (!changed)
    {
        throw std::invalid_argument(changed.error().message);
    }
}

caller_settings read_caller_settings(cxxopts::ParseResult const& args)
{
    caller_settings out;
    for (auto const& it : args["entry"].as<std::vector<std::string>>())
    {
        out.entries.push_back(metadata::parse_endpoint(it));
        if (out.entries.back().port == 0)
        {
            throw std::invalid_argument("--entry is not of the form ip:port: \"" + it + "\"");
        }
    }
    out.service = args["service"].as<std::string>();
    out.zone = args["zone"].as<std::string>();
    out.lookup_target = args["lookup-target"].as<std::string>();
    out.order_target = args["order-target"].as<std::string>();
    out.rate = args["rate"].as<double>();
    out.count = args["count"].as<std::size_t>();
    out.order_share = args["order-share"].as<double>();
    out.min_body_bytes = args["min-body-bytes"].as<std::size_t>();
    out.max_body_bytes = args["max-body-bytes"].as<std::size_t>();
    out.deadline = milliseconds_option(args, "deadline-ms");
    out.seed = args["seed"].as<std::uint64_t>();
    if (out.rate <= 0 || out.min_body_bytes > out.max_body_bytes)
    {
        throw std::invalid_argument(
            "--rate must be positive and --min-body-bytes must not exceed --max-body-bytes");
    }
    return out;
}

} // namespace

command find_command(std::string const& name)
{
    struct row
    {
        char const* name;
        command run;
    };
    constexpr row rows[] = {{"store", run_store},
                            {"upstream", run_upstream},
                            {"caller", run_caller},
                            {"relay", run_relay}};
    for (auto const& it : rows)
    {
        if (name == it.name)
        {
            return it.run;
        }
    }
    return nullptr;
}

int run_store(int argc, char** argv)
{
    cxxopts::Options options("fuchsiastandin store",
                             "Simulates the platform store and the instance list");
    auto add = options.add_options();
    add("listen", "Address", value<std::string>()->default_value("127.0.0.1:0"));
    add("writes-per-second", "Rate limit of writes, 0 for none",
        value<double>()->default_value("500"));
    add("reads-per-second", "Rate limit of reads, 0 for none",
        value<double>()->default_value("2000"));
    add("list-lag-ms", "Age of the served instance list",
        value<std::int64_t>()->default_value("2000"));
    auto const args = parse(options, argc, argv);
    if (!args)
    {
        return EXIT_SUCCESS;
    }
    store_settings settings;
    settings.writes_per_second = (*args)["writes-per-second"].as<double>();
    settings.reads_per_second = (*args)["reads-per-second"].as<double>();
    settings.list_lag = milliseconds_option(*args, "list-lag-ms");
    boost::asio::io_context io;
    store_server const server(io, endpoint_option(*args, "listen"), settings);
    return serve(io, {{"store", to_string(server.endpoint())}});
}

int run_upstream(int argc, char** argv)
{
    cxxopts::Options options("fuchsiastandin upstream",
                             "Simulates upstreams, each on its own port");
    auto add = options.add_options();
    add("listen", "Address of the first upstream; each further one takes the next port",
        value<std::string>()->default_value("127.0.0.1:0"));
    add("count", "Number of upstreams", value<std::size_t>()->default_value("1"));
    add("id-prefix", "Prefix of the upstream ids", value<std::string>()->default_value("u"));
    add("spec", "JSON file with [{\"id\",\"listen\",\"settings\"}], replaces --count",
        value<std::string>());
    add("settings", "Settings of all upstreams, as a JSON object",
        value<std::string>()->default_value("{}"));
    add("seed", "Random seed of the service times", value<std::uint64_t>()->default_value("1"));
    auto const args = parse(options, argc, argv);
    if (!args)
    {
        return EXIT_SUCCESS;
    }
    upstream_settings common;
    apply_settings(common, (*args)["settings"].as<std::string>());
    auto const specs = args->count("spec") != 0 ? read_specs((*args)["spec"].as<std::string>())
                                                : make_specs(*args);
    boost::asio::io_context io;
    auto const journal = std::make_shared<run_journal>();
    auto seed = (*args)["seed"].as<std::uint64_t>();
    std::vector<std::unique_ptr<upstream_server>> servers;
    auto started = json::object();
    for (auto const& it : specs)
    {
        auto settings = common;
        apply_settings(settings, it.settings);
        servers.push_back(
            std::make_unique<upstream_server>(io, it.at, it.id, settings, seed++, journal));
        started[it.id] = to_string(servers.back()->endpoint());
    }
    return serve(io, started);
}

int run_caller(int argc, char** argv)
{
    cxxopts::Options options("fuchsiastandin caller", "Load generator that verifies every answer");
    auto add = options.add_options();
    add("entry", "Address of an entry to query, may be repeated",
        value<std::vector<std::string>>());
    add("service", "Service", value<std::string>()->default_value("catalog"));
    add("zone", "Zone of the caller", value<std::string>()->default_value("harju-a"));
    add("lookup-target", "Path", value<std::string>()->default_value("/catalog/items"));
    add("order-target", "Path", value<std::string>()->default_value("/catalog/orders"));
    add("rate", "Requests per second", value<double>()->default_value("100"));
    add("count", "Number of requests", value<std::size_t>()->default_value("1000"));
    add("order-share", "Share of orders", value<double>()->default_value("0.2"));
    add("min-body-bytes", "Minimum body size of an order",
        value<std::size_t>()->default_value("0"));
    add("max-body-bytes", "Maximum body size of an order",
        value<std::size_t>()->default_value("1024"));
    add("deadline-ms", "Deadline", value<std::int64_t>()->default_value("1000"));
    add("seed", "Random seed of the load", value<std::uint64_t>()->default_value("1"));
    add("json", "File to write the report to, as JSON", value<std::string>());
    auto const args = parse(options, argc, argv);
    if (!args)
    {
        return EXIT_SUCCESS;
    }
    boost::asio::io_context io;
    load_generator load(io, read_caller_settings(*args));
    caller_report report;
    load.start(
        [&](caller_report it)
        {
            report = std::move(it);
            io.stop();
        });
    io.run();
    std::cout << to_table(report);
    if (args->count("json") != 0)
    {
        std::ofstream((*args)["json"].as<std::string>()) << to_json(report) << '\n';
    }
    return report.lookups.wrong + report.orders.wrong == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int run_relay(int argc, char** argv)
{
    cxxopts::Options options("fuchsiastandin relay", "TCP relay that can discard bytes");
    auto add = options.add_options();
    add("listen", "Address", value<std::string>()->default_value("127.0.0.1:0"));
    add("server", "Address to forward to", value<std::string>());
    add("control", "Address of the control server",
        value<std::string>()->default_value("127.0.0.1:0"));
    auto const args = parse(options, argc, argv);
    if (!args)
    {
        return EXIT_SUCCESS;
    }
    boost::asio::io_context io;
    relay_server const server(io, endpoint_option(*args, "listen"),
                              endpoint_option(*args, "server"), endpoint_option(*args, "control"));
    return serve(io, {{"relay", to_string(server.endpoint())},
                      {"control", to_string(server.control_endpoint())}});
}

} // namespace fuchsiaproxy::standin
