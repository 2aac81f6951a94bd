// Measures the cost of building the key table and of looking keys up, at several sizes.
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "fuchsiaproxy/access/key_table.hpp"

using namespace fuchsiaproxy;

namespace
{

using clock_type = std::chrono::steady_clock;

double ns_since(clock_type::time_point start)
{
    return std::chrono::duration<double, std::nano>(clock_type::now() - start).count();
}

std::string random_key(std::mt19937_64& random)
{
    std::string made;
    for (int n = 0; n < 32; ++n)
    {
        made.push_back("0123456789abcdef"[random() % 16]);
    }
    return made;
}

void measure(std::size_t keys)
{
    constexpr std::size_t keys_per_tenant = 10;
    constexpr std::size_t look_ups = 1'000'000;
    std::mt19937_64 random(1);
    std::vector<std::string> known;
    std::vector<std::string> unknown;
    std::vector<access::tenant> tenants(keys / keys_per_tenant);
    for (std::size_t n = 0; n < keys; ++n)
    {
        known.push_back(random_key(random));
        unknown.push_back(random_key(random));
        auto& it = tenants[n % tenants.size()];
        it.id = base::tenant_id("tenant-" + std::to_string(n % tenants.size()));
        it.api_keys.push_back(known.back());
    }
    auto const start = clock_type::now();
    auto const table = access::key_table::make(tenants).value();
    auto const built = ns_since(start);
    std::size_t found = 0;
    std::vector<double> took;
    for (auto const* const from : {&known, &unknown})
    {
        auto const begin = clock_type::now();
        for (std::size_t n = 0; n < look_ups; ++n)
        {
            found += table.find(access::digest_of((*from)[(n * 7919) % keys])) ? 1 : 0;
        }
        took.push_back(ns_since(begin) / look_ups);
    }
    std::printf("%zu keys: built in %.2f ms; known key %.0f ns, unknown key %.0f ns, with the "
                "digest; %zu found\n",
                keys, built / 1e6, took[0], took[1], found);
}

} // namespace

int main()
{
    for (std::size_t const keys : {100U, 10'000U, 100'000U})
    {
        measure(keys);
    }
}
