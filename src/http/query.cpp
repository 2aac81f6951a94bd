#include "fuchsiaproxy/http/query.hpp"

#include <algorithm>

namespace fuchsiaproxy::http
{
namespace
{

int hex_value(char c) noexcept
{
    if (c >= '0' && c <= '9')
    {
        return c - '0';
    }
    auto const lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Decodes percent escapes; malformed escapes are left unchanged.
std::string decode(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        auto const escaped = text[n] == '%' && n + 2 < text.size() && hex_value(text[n + 1]) >= 0 &&
                             hex_value(text[n + 2]) >= 0;
        if (escaped)
        {
            out += static_cast<char>(hex_value(text[n + 1]) * 16 + hex_value(text[n + 2]));
            n += 2;
            continue;
        }
        out += text[n];
    }
    return out;
}

} // namespace

std::string query_value(std::string_view query, std::string_view name)
{
    while (!query.empty())
    {
        auto const end = std::min(query.find('&'), query.size());
        auto const part = query.substr(0, end);
        auto const equals = part.find('=');
        if (equals != std::string_view::npos && part.substr(0, equals) == name)
        {
            return decode(part.substr(equals + 1));
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

std::string query_escaped(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view plain = "-._~/";
    std::string out;
    for (char const c : text)
    {
        auto const byte = static_cast<unsigned char>(c);
        auto const is_alnum = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') ||
                              (byte >= 'a' && byte <= 'z');
        if (is_alnum || plain.find(c) != std::string_view::npos)
        {
            out += c;
            continue;
        }
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
    }
    return out;
}

} // namespace fuchsiaproxy::http
