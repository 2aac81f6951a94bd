#include "fuchsiaproxy/steering/configuration.hpp"

#include <algorithm>

namespace fuchsiaproxy::steering
{

bool configuration::has_uneven_demand() const
{
    return !tenants.empty() || std::any_of(routes.begin(), routes.end(),
                                           [](route const& it) { return it.is_download; });
}

route_index::route_index(std::vector<route> const& routes)
{
    for (auto const& it : routes)
    {
        hosts_[it.host].emplace(it.prefix, &it);
    }
}

route const* route_index::find(std::string_view host, std::string_view path) const
{
    auto const routes = hosts_.find(host.substr(0, host.find(':')));
    if (routes == hosts_.end())
    {
        return nullptr;
    }
    path = path.substr(0, path.find_first_of("?#"));
    // Prefixes end with a slash, so only the path up to each slash can be one.
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1))
    {
        auto const it = routes->second.find(path.substr(0, end + 1));
        if (it != routes->second.end())
        {
            return it->second;
        }
    }
    return nullptr;
}

} // namespace fuchsiaproxy::steering
