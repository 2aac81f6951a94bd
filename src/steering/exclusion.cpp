#include "fuchsiaproxy/steering/exclusion.hpp"

namespace fuchsiaproxy::steering
{

std::string_view name_of(exclusion_reason reason)
{
    switch (reason)
    {
    case exclusion_reason::removed:
        return "removed";
    case exclusion_reason::draining:
        return "draining";
    case exclusion_reason::leaving:
        return "leaving";
    case exclusion_reason::evacuated:
        return "evacuated";
    case exclusion_reason::paused:
        return "paused";
    case exclusion_reason::unreachable:
        break;
    }
    return "unreachable";
}

} // namespace fuchsiaproxy::steering
