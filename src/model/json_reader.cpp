#include "json_reader.hpp"

#include <algorithm>
#include <set>

namespace fuchsiaproxy::model::detail
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_described_length = 40;
// Valid documents have at most 6 levels.
constexpr int max_depth = 32;

bool is_alphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

std::string describe_value(json const& value)
{
    if (value.is_object())
    {
        return "an object";
    }
    if (value.is_array())
    {
        return "an array";
    }
    auto text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > max_described_length)
    {
        text.resize(max_described_length);
        text += "...";
    }
    return text;
}

std::string line_and_column(std::string_view text, std::size_t byte)
{
    auto const before = text.substr(0, std::min(byte == 0 ? 0 : byte - 1, text.size()));
    auto const line = std::count(before.begin(), before.end(), '\n') + 1;
    auto const last_newline = before.rfind('\n');
    auto const column =
        last_newline == std::string_view::npos ? before.size() + 1 : before.size() - last_newline;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

/// Parser callback that rejects what the JSON library accepts: duplicate fields and deep nesting.
class strict_parse_callback
{
public:
    bool operator()(int depth, json::parse_event_t event, json& parsed)
    {
        if (depth > max_depth)
        {
            throw document_error{"expected at most " + std::to_string(max_depth) +
                                 " levels of nesting"};
        }
        if (event == json::parse_event_t::object_start)
        {
            fields_.emplace_back();
        }
        else if (event == json::parse_event_t::object_end)
        {
            fields_.pop_back();
        }
        else if (event == json::parse_event_t::key &&
                 !fields_.back().insert(parsed.get<std::string>()).second)
        {
            throw document_error{"expected each field once, found " + describe_value(parsed) +
                                 " twice"};
        }
        return true;
    }

private:
    std::vector<std::set<std::string>> fields_;
};

} // namespace

void json_reader::fail(std::string const& expected) const
{
    throw document_error{(path_.empty() ? "/" : path_) + ": expected " + expected + ", found " +
                         describe_value(*value_)};
}

void json_reader::require_object(std::initializer_list<std::string_view> names) const
{
    if (!value_->is_object())
    {
        fail("an object");
    }
    for (auto const& [name, ignored] : value_->items())
    {
        if (std::find(names.begin(), names.end(), name) == names.end())
        {
            auto message = path_ + "/" + name + ": unknown field, expected one of:";
            for (auto const it : names)
            {
                message.append(" ").append(it);
            }
            throw document_error{std::move(message)};
        }
    }
}

json_reader json_reader::field(std::string const& name) const
{
    auto const it = value_->find(name);
    if (it == value_->end())
    {
        throw document_error{path_ + "/" + name + ": expected this field, found none"};
    }
    return {*it, path_ + "/" + name};
}

std::optional<json_reader> json_reader::optional_field(std::string const& name) const
{
    auto const it = value_->find(name);
    if (it == value_->end())
    {
        return std::nullopt;
    }
    return json_reader(*it, path_ + "/" + name);
}

std::vector<json_reader> json_reader::elements() const
{
    if (!value_->is_array())
    {
        fail("an array");
    }
    std::vector<json_reader> result;
    result.reserve(value_->size());
    for (auto const& it : *value_)
    {
        result.emplace_back(it, path_ + "/" + std::to_string(result.size()));
    }
    return result;
}

std::vector<std::pair<std::string, json_reader>> json_reader::fields() const
{
    if (!value_->is_object())
    {
        fail("an object");
    }
    std::vector<std::pair<std::string, json_reader>> result;
    for (auto const& [name, it] : value_->items())
    {
        result.emplace_back(name, json_reader(it, path_ + "/" + name));
    }
    return result;
}

std::string json_reader::text(std::size_t max_length) const
{
    if (!value_->is_string() || value_->get_ref<std::string const&>().size() > max_length)
    {
        fail("a string of at most " + std::to_string(max_length) + " bytes");
    }
    return value_->get<std::string>();
}

std::string json_reader::id() const
{
    if (!value_->is_string() || !is_id(value_->get_ref<std::string const&>()))
    {
        fail("an id of 1 to " + std::to_string(max_id_length) +
             " letters, digits, dots, hyphens or underscores");
    }
    return value_->get<std::string>();
}

std::string json_reader::hexadecimal(std::size_t min_digits, std::size_t max_digits) const
{
    auto const is_digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    auto const expected = std::to_string(min_digits) + " to " + std::to_string(max_digits) +
                          " lower-case hexadecimal digits, an even number";
    if (!value_->is_string())
    {
        fail(expected);
    }
    auto const& digits = value_->get_ref<std::string const&>();
    if (digits.size() < min_digits || digits.size() > max_digits || digits.size() % 2 != 0 ||
        !std::all_of(digits.begin(), digits.end(), is_digit))
    {
        fail(expected);
    }
    return digits;
}

std::uint64_t json_reader::integer(std::uint64_t min, std::uint64_t max) const
{
    if (!value_->is_number_unsigned() || value_->get<std::uint64_t>() < min ||
        value_->get<std::uint64_t>() > max)
    {
        fail("an integer from " + std::to_string(min) + " to " + std::to_string(max));
    }
    return value_->get<std::uint64_t>();
}

bool json_reader::boolean() const
{
    if (!value_->is_boolean())
    {
        fail("true or false");
    }
    return value_->get<bool>();
}

double json_reader::open_fraction() const
{
    if (!value_->is_number() || !(value_->get<double>() > 0) || !(value_->get<double>() < 1))
    {
        fail("a number above 0 and below 1");
    }
    return value_->get<double>();
}

bool is_id(std::string_view text)
{
    return !text.empty() && text.size() <= max_id_length &&
           std::all_of(text.begin(), text.end(),
                       [](char c)
                       { return is_alphanumeric(c) || c == '.' || c == '-' || c == '_'; });
}

json parse_strictly(std::string_view text)
{
    strict_parse_callback check;
    try
    {
        return json::parse(text.begin(), text.end(),
                           [&check](int depth, json::parse_event_t event, json& parsed)
                           { return check(depth, event, parsed); });
    }
    catch (json::parse_error const& e)
    {
        throw document_error{line_and_column(text, e.byte) + ": expected valid JSON"};
    }
}

} // namespace fuchsiaproxy::model::detail
