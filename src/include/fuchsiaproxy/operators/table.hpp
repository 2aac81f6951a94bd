#ifndef FUCHSIAPROXY_OPERATORS_TABLE_HPP
#define FUCHSIAPROXY_OPERATORS_TABLE_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "fuchsiaproxy/operators/language.hpp"

namespace fuchsiaproxy::operators
{

/// Cell of a table.
using cell = std::variant<std::string, std::int64_t, double, bool>;

/// Rows under named columns; each row has one cell for each column.
struct table
{
    std::vector<std::string> columns;
    std::vector<std::vector<cell>> rows;
};

/// Returns the rows of `subject` in `value`. Precondition: `subject` is not `entries`, which the
/// configuration does not have. Thread safe.
table table_of(show_subject subject, model::configuration const& value);

/// Returns the rows that meet the conditions of `query`, in its order and up to its limit. Values
/// are compared as numbers in columns of numbers. Fails with `invalid_command` for a column that
/// does not exist, or a value that is not a number in a column of numbers. Thread safe.
base::result<table> select(table from, show_command const& query);

/// Returns the table as text with aligned columns. Thread safe.
std::string to_text(table const& it);

/// Returns the table as a JSON list of objects. Thread safe.
std::string to_json(table const& it);

} // namespace fuchsiaproxy::operators

#endif
