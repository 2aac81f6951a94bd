#include "fuchsiaproxy/steering/sentinels.hpp"

namespace fuchsiaproxy::steering
{

bool is_sentinel(base::instance_id const& self, base::availability_zone_id const& zone,
                 entry_zones const& live)
{
    int before = 0;
    bool first_of_zone = true;
    for (auto it = live.begin(); it != live.end() && it->first < self; ++it)
    {
        ++before;
        first_of_zone = first_of_zone && it->second != zone;
    }
    return first_of_zone || before < min_sentinels;
}

} // namespace fuchsiaproxy::steering
