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

/// One header field. The views end with the `fields` that they came from, or with its next change.
struct field
{
    std::string_view name;
    std::string_view value;
};

/// Header fields in the order of their arrival, kept in one block of text so that a message costs
/// two allocations whatever the number of its fields.
///
/// Thread safety: distinct objects are independent.
class fields
{
public:
    /// Appends a field. Preconditions: `name` is a token and `value` has no control characters.
    void add(std::string_view name, std::string_view value);

    /// Makes room for `count` fields with `bytes` of text, so that adding them allocates nothing.
    void reserve(std::size_t count, std::size_t bytes);

    /// Returns the bytes of all names and values.
    std::size_t text_size() const noexcept;

    /// Removes every field.
    void clear();

    /// Returns the number of fields.
    std::size_t size() const noexcept;

    /// Returns the field at `position`. Precondition: `position < size()`.
    field operator[](std::size_t position) const;

    /// Returns the value of the first field called `name`, which is compared without case.
    std::optional<std::string_view> find(std::string_view name) const;

    /// Returns how many fields are called `name`, which is compared without case.
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

/// Compares two field names or tokens without case. Thread safe.
bool same_token(std::string_view a, std::string_view b) noexcept;

/// Returns whether the comma-separated `list` has `token`, compared without case. Thread safe.
bool has_token(std::string_view list, std::string_view token) noexcept;

/// Returns whether `text` can be a field value: no control characters but tab. Thread safe.
bool is_field_value(std::string_view text) noexcept;

/// Returns the fields that are meant for the far end: without those that RFC 9110 limits to one
/// connection, those that `Connection` names, and those that describe the framing of the body,
/// which each connection states anew. `except` is left out too. Thread safe.
fields end_to_end(fields const& all, std::string_view except = {});

/// Appends `name: value` and a line end to `out`. Thread safe.
void append_field(std::string& out, std::string_view name, std::string_view value);

/// Appends every field of `all` to `out`. Thread safe.
void append_fields(std::string& out, fields const& all);

/// Appends the status line with the usual reason phrase to `out`. Thread safe.
void append_status_line(std::string& out, unsigned status);

/// Appends the header line of a chunk of `size` bytes to `out`. Thread safe.
void append_chunk_header(std::string& out, std::size_t size);

/// Parses a decimal number. Returns nothing for signs, spaces, other characters and overflow.
/// Thread safe.
std::optional<std::uint64_t> parse_decimal(std::string_view text) noexcept;

} // namespace fuchsiaproxy::http

#endif
