#ifndef FUCHSIAPROXY_OPERATORS_TOKENIZER_HPP
#define FUCHSIAPROXY_OPERATORS_TOKENIZER_HPP

#include <string>
#include <string_view>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"

namespace fuchsiaproxy::operators
{

enum class token_kind
{
    word,
    /// A word in quotes, which is never a keyword.
    quoted,
    comparison,
    /// `;` or the end of a line.
    separator,
    end
};

struct token
{
    token_kind kind = token_kind::end;
    std::string text;
    std::size_t line = 1;
    std::size_t column = 1;
};

/// Splits `text` into tokens; the last one has the kind `end`. Fails with `invalid_command` at
/// characters that cannot start a token, and at quotes that are not closed on the same line.
base::result<std::vector<token>> tokenize(std::string_view text);

/// Returns an `invalid_command` error whose message starts with the position.
base::error error_at(std::size_t line, std::size_t column, std::string const& message);

} // namespace fuchsiaproxy::operators

#endif
