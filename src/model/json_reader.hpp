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

/// Exception for a document that does not have the expected form. `catch_exceptions` converts it to
/// an error at the public interface.
struct document_error
{
    std::string message;
};

/// Reads typed values from a JSON value and tracks its path in the document. All functions throw
/// `document_error` with the path and what was expected. The JSON value must outlive the reader.
class json_reader
{
public:
    json_reader(nlohmann::json const& value, std::string path)
        : value_(&value), path_(std::move(path))
    {
    }

    /// Requires an object that has no fields other than `names`.
    void require_object(std::initializer_list<std::string_view> names) const;

    json_reader field(std::string const& name) const;
    std::optional<json_reader> optional_field(std::string const& name) const;

    /// Returns the elements of an array.
    std::vector<json_reader> elements() const;
    /// Returns the names and values of an object's fields.
    std::vector<std::pair<std::string, json_reader>> fields() const;

    std::string text(std::size_t max_length) const;
    /// Reads an id: 1 to `max_id_length` letters, digits, dots, hyphens and underscores.
    std::string id() const;
    /// Reads an even number of lower-case hexadecimal digits.
    std::string hexadecimal(std::size_t min_digits, std::size_t max_digits) const;
    std::uint64_t integer(std::uint64_t min, std::uint64_t max) const;
    bool boolean() const;
    /// Reads a number strictly between 0 and 1.
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

/// Maximum length of an identifier, which also bounds the keys derived from identifiers.
constexpr std::size_t max_id_length = 128;

/// Returns whether `text` is a valid identifier.
bool is_id(std::string_view text);

/// Parses `text`. Throws `document_error` for malformed JSON, duplicate fields and nesting that is
/// too deep.
nlohmann::json parse_strictly(std::string_view text);

/// Returns the result of `read`, or an `invalid_configuration` error if it throws.
template <class F>
auto catch_exceptions(F&& read) -> base::result<decltype(read())>
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
