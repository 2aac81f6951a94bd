#include "bearer.hpp"

namespace fuchsiaproxy::gateway
{

std::optional<std::string_view> bearer_key(http::fields const& all, std::string_view name)
{
    auto const value = all.find(name);
    if (!value || all.count(name) != 1)
    {
        return std::nullopt;
    }
    auto const scheme_end = value->find(' ');
    if (scheme_end == std::string_view::npos ||
        !http::same_token(value->substr(0, scheme_end), "Bearer"))
    {
        return std::nullopt;
    }
    auto const begin = value->find_first_not_of(" \t", scheme_end);
    if (begin == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const end = value->find_last_not_of(" \t") + 1;
    return value->substr(begin, end - begin);
}

} // namespace fuchsiaproxy::gateway
