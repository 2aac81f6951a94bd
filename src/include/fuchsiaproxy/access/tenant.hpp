#ifndef FUCHSIAPROXY_ACCESS_TENANT_HPP
#define FUCHSIAPROXY_ACCESS_TENANT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"

namespace fuchsiaproxy::access
{

/// A tenant as operators declare it.
struct tenant
{
    base::tenant_id id;
    std::vector<std::string> api_keys;
    /// Replaces the priority of the route; zero is the highest.
    std::optional<std::uint32_t> priority;
    /// Sustained request rate over all entries; zero if it is not limited.
    double requests_per_s = 0;
    /// Requests allowed in addition to the sustained rate.
    double burst = 0;
    /// Empty when every region is allowed.
    std::vector<base::region_id> allowed_regions;
};

} // namespace fuchsiaproxy::access

#endif
