#ifndef FUCHSIAPROXY_HTTP_FIELDS_HPP
#define FUCHSIAPROXY_HTTP_FIELDS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiaproxy::http
{

/// One header field. The views are valid until the `fields` object that they refer to is changed or
/// destroyed.
struct field
{
    std::string_view name;
    std::string_view value;
};

/// Header fields in the order in which they were added. All names and values are stored in one
/// string, so that a message needs two allocations regardless of its number of fields.
///
/// Thread safety: distinct objects are independent.
class fields
{
public:
    /// Appends a field. Preconditions: `name` is a token and `value` has no control characters.
    void add(std::string_view name, std::string_view value);

    /// Reserves memory for `count` fields with `bytes` of text in total, so that adding them does
    /// not allocate.
    void reserve(std::size_t count, std::size_t bytes);

    /// Returns the total size of all names and values in bytes.
    std::size_t text_size() const noexcept;

    /// Removes every field.
    void clear();

    /// Returns the number of fields.
    std::size_t size() const noexcept;

    /// Returns the field at `position`. Precondition: `position < size()`.
    field operator[](std::size_t position) const;

    /// Returns the value of the first field with this name, compared case-insensitively.
    std::optional<std::string_view> find(std::string_view name) const;

    /// Returns the number of fields with this name, compared case-insensitively.
    std::size_t count(std::string_view name) const;

private:
    struct span
    {
        std::uint32_t begin = 0;
        std::uint32_t name_size = 0;
        std::uint32_t value_size = 0;
    };

    std::string text_;
    std::vector<span> spans_;
};

/// Compares two field names or tokens case-insensitively. Thread safe.
bool same_token(std::string_view a, std::string_view b) noexcept;

/// Compares two field names case-insensitively and without distinguishing `_` from `-`. Servers
/// that pass fields in environment variables read both as the same name. Thread safe.
bool same_field_name(std::string_view a, std::string_view b) noexcept;

/// Returns whether `name` is one of `names`, compared by `same_field_name`. Thread safe.
bool is_any_field_name(std::string_view name, std::vector<std::string> const& names) noexcept;

/// Returns the fields of `all` whose names are not among `names`, compared by `same_field_name`.
/// Thread safe.
fields without_fields(fields const& all, std::vector<std::string> const& names);

/// Returns whether the comma-separated `list` contains `token`, compared case-insensitively. Thread
/// safe.
bool has_token(std::string_view list, std::string_view token) noexcept;

/// Returns whether `text` is valid as a field value: without control characters other than tab.
/// Thread safe.
bool is_field_value(std::string_view text) noexcept;

/// Returns the end-to-end fields, which a proxy forwards. Left out are the hop-by-hop fields of RFC
/// 9110, the fields listed in `Connection`, the fields that describe the framing of the body, which
/// is set for each connection, and the field named `except`. Thread safe.
fields end_to_end_fields(fields const& all, std::string_view except = {});

/// Appends `name: value` and CRLF to `out`. Thread safe.
void append_field(std::string& out, std::string_view name, std::string_view value);

/// Appends all fields to `out`, each followed by CRLF. Thread safe.
void append_fields(std::string& out, fields const& all);

/// Appends the status line with the standard reason phrase to `out`. Thread safe.
void append_status_line(std::string& out, unsigned status);

/// Appends the chunk-size line of a chunk of `size` bytes to `out`. Thread safe.
void append_chunk_header(std::string& out, std::size_t size);

/// Parses an unsigned decimal number. Returns nothing if `text` is empty, has any character other
/// than a digit, or overflows. Thread safe.
std::optional<std::uint64_t> parse_decimal(std::string_view text) noexcept;

} // namespace fuchsiaproxy::http

#endif
