// Measures how the cost of the control plane grows with the size of the deployment. The results are
// printed but not checked against limits; docs/CAPACITY.md compares them with the target size.
#include <cstdio>
#include <string>

#include <cxxopts.hpp>

#include "report.hpp"
#include "sections.hpp"

int main(int argc, char** argv)
{
    using namespace fuchsiaproxy::capacity_bench;
    cxxopts::Options options("capacity_bench",
                             "Measures the cost of the control plane against size");
    auto add = options.add_options();
    add("json", "also write the tables to this file", cxxopts::value<std::string>());
    add("max-entries", "largest simulated fleet",
        cxxopts::value<std::size_t>()->default_value("60"));
    add("section", "view, start, fleet, configuration, claims, shares or all",
        cxxopts::value<std::string>()->default_value("all"));
    add("help", "print this text");
    try
    {
        auto const given = options.parse(argc, argv);
        if (given.count("help") != 0)
        {
            std::printf("%s", options.help().c_str());
            return 0;
        }
        auto const max_entries = given["max-entries"].as<std::size_t>();
        auto const section = given["section"].as<std::string>();
        auto const wanted = [&](char const* name) { return section == "all" || section == name; };
        report out;
        if (wanted("view"))
        {
            measure_view(out);
        }
        if (wanted("configuration"))
        {
            measure_configuration(out);
        }
        if (wanted("claims"))
        {
            measure_claims(out);
        }
        if (wanted("shares"))
        {
            measure_shares(out);
        }
        if (wanted("start"))
        {
            measure_start(max_entries, out);
        }
        if (wanted("fleet"))
        {
            measure_fleet(max_entries, out);
        }
        if (given.count("json") != 0 && !out.write_json(given["json"].as<std::string>()))
        {
            std::fprintf(stderr, "cannot write the JSON file\n");
            return 1;
        }
    }
    catch (std::exception const& e)
    {
        std::fprintf(stderr, "%s\n", e.what());
        return 2;
    }
    return 0;
}
