#include "classify.hpp"

#include <algorithm>

namespace fuchsiaproxy::engine
{

std::size_t class_of(model::service const& declared, std::string_view method,
                     std::string_view target)
{
    std::size_t best = declared.classes.size() - 1;
    bool found = false;
    for (std::size_t i = 0; i < declared.classes.size(); ++i)
    {
        auto const& it = declared.classes[i];
        bool const matches = (it.method.empty() || it.method == method) &&
                             target.substr(0, it.path_prefix.size()) == it.path_prefix;
        bool const longer =
            !found || it.path_prefix.size() > declared.classes[best].path_prefix.size();
        if (matches && longer)
        {
            best = i;
            found = true;
        }
    }
    return best;
}

base::duration longest_deadline(model::service const& declared)
{
    base::duration longest{};
    for (auto const& it : declared.classes)
    {
        longest = std::max(longest, it.deadline);
    }
    return longest;
}

} // namespace fuchsiaproxy::engine
