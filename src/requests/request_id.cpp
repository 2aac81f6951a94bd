#include "fuchsiaproxy/requests/request_id.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>
#include <utility>

namespace fuchsiaproxy::requests
{
namespace
{

constexpr std::string_view version_prefix = "v1";
constexpr std::string_view no_witness = "-";
constexpr std::size_t field_count = 7;

bool is_name_character(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' ||
           c == '-';
}

bool is_other_version(std::string_view text) noexcept
{
    auto const field = text.substr(0, text.find('.'));
    return field.size() >= 2 && field.size() < text.size() && field != version_prefix &&
           field.front() == 'v' &&
           std::all_of(field.begin() + 1, field.end(), [](char c) { return c >= '0' && c <= '9'; });
}

template <class Number>
bool parse_number(std::string_view text, Number& out) noexcept
{
    if (text.empty() || (text.size() > 1 && text.front() == '0'))
    {
        return false;
    }
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), out);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
}

bool parse_entry(std::string_view name, std::string_view number, entry_incarnation& out)
{
    std::uint64_t value = 0;
    if (!is_valid_name(name) || name == no_witness || !parse_number(number, value))
    {
        return false;
    }
    out.instance = base::instance_id{std::string{name}};
    out.number = base::incarnation{value};
    return true;
}

bool split(std::string_view text, std::array<std::string_view, field_count>& fields) noexcept
{
    for (std::size_t n = 0; n + 1 < field_count; ++n)
    {
        auto const dot = text.find('.');
        if (dot == std::string_view::npos)
        {
            return false;
        }
        fields[n] = text.substr(0, dot);
        text.remove_prefix(dot + 1);
    }
    fields.back() = text;
    return true;
}

bool parse_witness(std::string_view name, std::string_view number, ticket& out)
{
    if (name == no_witness)
    {
        return number == "0";
    }
    entry_incarnation witness;
    if (!parse_entry(name, number, witness) || witness.instance == out.primary.instance)
    {
        return false;
    }
    out.witness = std::move(witness);
    return true;
}

} // namespace

bool is_valid_name(std::string_view name) noexcept
{
    return !name.empty() && name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(), is_name_character);
}

std::string to_text(ticket const& it)
{
    std::string text;
    text.reserve(max_request_id_length);
    text.append(version_prefix);
    text.append(".").append(it.primary.instance.value());
    text.append(".").append(std::to_string(it.primary.number.value()));
    text.append(".").append(it.witness ? it.witness->instance.value() : std::string{no_witness});
    text.append(".").append(std::to_string(it.witness ? it.witness->number.value() : 0));
    text.append(".").append(std::to_string(it.generation));
    return text;
}

std::string to_text(request_id const& it)
{
    auto text = to_text(it.issued);
    text.append(".").append(it.nonce);
    return text;
}

base::result<request_id> parse_request_id(std::string_view text)
{
    auto const malformed = [](char const* what)
    { return base::make_error(base::error_kind::bad_request, what); };
    if (text.size() > max_request_id_length)
    {
        return malformed("request id is too long");
    }
    if (is_other_version(text))
    {
        return base::make_error(base::error_kind::unsupported_version,
                                "request id has an unknown version");
    }
    std::array<std::string_view, field_count> fields;
    if (!split(text, fields) || fields[0] != version_prefix)
    {
        return malformed("request id does not have the form of a ticket with a nonce");
    }
    request_id id;
    if (!parse_entry(fields[1], fields[2], id.issued.primary))
    {
        return malformed("request id names no valid primary");
    }
    if (!parse_witness(fields[3], fields[4], id.issued))
    {
        return malformed("request id names no valid witness");
    }
    if (!parse_number(fields[5], id.issued.generation))
    {
        return malformed("request id has no valid generation");
    }
    if (!is_valid_name(fields[6]))
    {
        return malformed("request id has no valid nonce");
    }
    id.nonce = std::string{fields[6]};
    return id;
}

} // namespace fuchsiaproxy::requests
