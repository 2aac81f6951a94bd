#include "cookie.hpp"

#include <algorithm>

namespace fuchsiaproxy::gateway
{
namespace
{

std::string_view trimmed(std::string_view text)
{
    auto const begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
    {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

} // namespace

std::string_view cookie_value(http::fields const& all, std::string_view name)
{
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        if (!http::same_token(all[n].name, "Cookie"))
        {
            continue;
        }
        auto rest = all[n].value;
        while (!rest.empty())
        {
            auto const end = std::min(rest.find(';'), rest.size());
            auto const pair = trimmed(rest.substr(0, end));
            auto const equals = pair.find('=');
            if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            {
                return pair.substr(equals + 1);
            }
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }
    return {};
}

} // namespace fuchsiaproxy::gateway
