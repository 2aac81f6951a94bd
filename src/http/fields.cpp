#include "fuchsiaproxy/http/fields.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <ostream> // Boost.Beast 1.74 does not include it

#include <boost/beast/http/status.hpp>

namespace fuchsiaproxy::http
{
namespace
{

constexpr std::array<std::string_view, 11> connection_fields{
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate",  "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Proxy-Authorization", "Content-Length",
    "Expect"};

char lower(char c) noexcept
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim(std::string_view text) noexcept
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    {
        text.remove_suffix(1);
    }
    return text;
}

bool is_connection_field(std::string_view name) noexcept
{
    return std::any_of(connection_fields.begin(), connection_fields.end(),
                       [&](std::string_view it) { return same_token(it, name); });
}

} // namespace

void fields::add(std::string_view name, std::string_view value)
{
    spans_.push_back(span{static_cast<std::uint32_t>(text_.size()),
                          static_cast<std::uint32_t>(name.size()),
                          static_cast<std::uint32_t>(value.size())});
    text_.append(name).append(value);
}

void fields::reserve(std::size_t count, std::size_t bytes)
{
    text_.reserve(bytes);
    spans_.reserve(count);
}

std::size_t fields::text_size() const noexcept
{
    return text_.size();
}

void fields::clear()
{
    text_.clear();
    spans_.clear();
}

std::size_t fields::size() const noexcept
{
    return spans_.size();
}

field fields::operator[](std::size_t position) const
{
    auto const& at = spans_[position];
    auto const text = std::string_view(text_).substr(at.begin);
    return field{text.substr(0, at.name_size), text.substr(at.name_size, at.value_size)};
}

std::optional<std::string_view> fields::find(std::string_view name) const
{
    for (std::size_t n = 0; n < size(); ++n)
    {
        auto const it = (*this)[n];
        if (same_token(it.name, name))
        {
            return it.value;
        }
    }
    return std::nullopt;
}

std::size_t fields::count(std::string_view name) const
{
    std::size_t found = 0;
    for (std::size_t n = 0; n < size(); ++n)
    {
        found += same_token((*this)[n].name, name) ? 1 : 0;
    }
    return found;
}

bool same_token(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                              [](char x, char y) { return lower(x) == lower(y); });
}

bool same_field_name(std::string_view a, std::string_view b) noexcept
{
    auto const folded = [](char c) { return c == '_' ? '-' : lower(c); };
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(),
                      [folded](char x, char y) { return folded(x) == folded(y); });
}

bool is_any_field_name(std::string_view name, std::vector<std::string> const& names) noexcept
{
    return std::any_of(names.begin(), names.end(),
                       [&](std::string const& it) { return same_field_name(it, name); });
}

fields without_fields(fields const& all, std::vector<std::string> const& names)
{
    if (names.empty())
    {
        return all;
    }
    // Reserves space for one or two fields that the entry adds.
    fields kept;
    kept.reserve(all.size() + 2, all.text_size() + 64);
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        auto const it = all[n];
        if (!is_any_field_name(it.name, names))
        {
            kept.add(it.name, it.value);
        }
    }
    return kept;
}

bool has_token(std::string_view list, std::string_view token) noexcept
{
    while (!list.empty())
    {
        auto const comma = std::min(list.find(','), list.size());
        if (same_token(trim(list.substr(0, comma)), token))
        {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

bool is_field_value(std::string_view text) noexcept
{
    return std::none_of(text.begin(), text.end(),
                        [](char c)
                        {
                            auto const byte = static_cast<unsigned char>(c);
                            return (byte < 0x20 && c != '\t') || byte == 0x7f;
                        });
}

fields end_to_end_fields(fields const& all, std::string_view except)
{
    std::string named;
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        auto const it = all[n];
        if (same_token(it.name, "Connection"))
        {
            named.append(it.value).append(",");
        }
    }
    // Reserves space for one or two fields that the entry adds.
    fields kept;
    kept.reserve(all.size() + 2, all.text_size() + 64);
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        auto const it = all[n];
        if (!is_connection_field(it.name) && !same_token(it.name, except) &&
            (named.empty() || !has_token(named, it.name)))
        {
            kept.add(it.name, it.value);
        }
    }
    return kept;
}

void append_field(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void append_fields(std::string& out, fields const& all)
{
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        auto const it = all[n];
        append_field(out, it.name, it.value);
    }
}

void append_status_line(std::string& out, unsigned status)
{
    auto const reason =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    out.append(reason.data(), reason.size()).append("\r\n");
}

void append_chunk_header(std::string& out, std::size_t size)
{
    std::array<char, 16> digits{};
    auto const end = std::to_chars(digits.begin(), digits.end(), size, 16).ptr;
    out.append(digits.begin(), end).append("\r\n");
}

std::optional<std::uint64_t> parse_decimal(std::string_view text) noexcept
{
    std::uint64_t value = 0;
    auto const end = text.data() + text.size();
    if (text.empty() || text.front() == '-')
    {
        return std::nullopt;
    }
    auto const parsed = std::from_chars(text.data(), end, value, 10);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace fuchsiaproxy::http
