#ifndef FUCHSIAPROXY_MODEL_JSON_READER_HPP
#define FUCHSIAPROXY_MODEL_JSON_READER_HPP

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "fuchsiaproxy/base/error.hpp"

namespace fuchsiaproxy::model::detail
{

/// Thrown inside the package only, where a document differs from what is expected.
struct document_error
{
    std::string message;
};

/// Reads typed values from a JSON value and knows the path to it. All functions throw
/// `document_error` with the path and the expectation. The JSON value must outlive the reader.
class json_reader
{
public:
    json_reader(nlohmann::json const& value, std::string path)
        : value_(&value), path_(std::move(path))
    {
    }

    /// Requires an object without fields other than `names`.
    void require_object(std::initializer_list<std::string_view> names) const;

    json_reader field(std::string const& name) const;
    std::optional<json_reader> optional_field(std::string const& name) const;

    /// Elements of an array.
    std::vector<json_reader> elements() const;
    /// Members of an object.
    std::vector<std::pair<std::string, json_reader>> members() const;

    std::string text(std::size_t max_length) const;
    /// 1 to `max_id_length` letters, digits, dots, hyphens and underscores.
    std::string id() const;
    /// An even number of hexadecimal digits.
    std::string hexadecimal(std::size_t min_digits, std::size_t max_digits) const;
    std::uint64_t integer(std::uint64_t min, std::uint64_t max) const;
    bool boolean() const;
    /// A number strictly between 0 and 1.
    double open_fraction() const;

    [[noreturn]] void fail(std::string const& expected) const;

    std::string const& path() const noexcept
    {
        return path_;
    }

private:
    nlohmann::json const* value_;
    std::string path_;
};

/// Longest identifier; also bounds the keys derived from identifiers.
constexpr std::size_t max_id_length = 128;

/// Returns whether `text` has the form of an identifier.
bool is_id(std::string_view text);

/// Parses `text` and refuses repeated fields and deep nesting. Throws `document_error`.
nlohmann::json parse_strictly(std::string_view text);

/// Calls `read` and turns `document_error` and any other exception into an error.
template <class F>
auto guarded(F&& read) -> base::result<decltype(read())>
{
    try
    {
        return read();
    }
    catch (document_error const& e)
    {
        return base::make_error(base::error_kind::invalid_configuration, e.message);
    }
    catch (std::exception const& e)
    {
        return base::make_error(base::error_kind::invalid_configuration, e.what());
    }
}

} // namespace fuchsiaproxy::model::detail

#endif
