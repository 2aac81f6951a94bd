#include "tokenizer.hpp"

#include <utility>

namespace fuchsiaproxy::operators
{
namespace
{

bool is_word_character(char c)
{
    // The punctuation occurs in request paths and file names.
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view("._-/:~*?%+@,[]").find(c) != std::string_view::npos;
}

class scanner
{
public:
    explicit scanner(std::string_view text) : text_(text) {}

    base::result<std::vector<token>> run()
    {
        while (position_ < text_.size())
        {
            auto const c = text_[position_];
            if (c == ' ' || c == '\t' || c == '\r')
            {
                advance();
            }
            else if (c == '#')
            {
                skip_comment();
            }
            else if (c == ';' || c == '\n')
            {
                add_token(token_kind::separator, 1);
            }
            else if (c == '"')
            {
                if (!scan_quoted())
                {
                    return error_at(line_, column_, "expected a closing quote on the same line");
                }
            }
            else if (c == '=' || c == '!' || c == '<' || c == '>')
            {
                if (!scan_comparison())
                {
                    return error_at(line_, column_, "expected one of = != < <= > >=, found \"!\"");
                }
            }
            else if (is_word_character(c))
            {
                scan_word();
            }
            else
            {
                return error_at(line_, column_,
                                "expected a word, a number or a quoted text, found " +
                                    describe_character(c));
            }
        }
        add_token(token_kind::end, 0);
        return std::move(tokens_);
    }

private:
    static std::string describe_character(char c)
    {
        bool const printable = c > ' ' && c < '\x7f';
        return printable ? std::string("\"") + c + "\""
                         : "byte " + std::to_string(static_cast<unsigned char>(c));
    }

    void advance()
    {
        bool const newline = text_[position_++] == '\n';
        line_ += newline ? 1 : 0;
        column_ = newline ? 1 : column_ + 1;
    }

    void add_token(token_kind kind, std::size_t length)
    {
        tokens_.push_back({kind, std::string(text_.substr(position_, length)), line_, column_});
        for (std::size_t n = 0; n < length; ++n)
        {
            advance();
        }
    }

    void skip_comment()
    {
        while (position_ < text_.size() && text_[position_] != '\n')
        {
            advance();
        }
    }

    void scan_word()
    {
        // A request path may have a query, which allows more characters.
        bool const is_path = text_[position_] == '/';
        auto end = position_;
        while (end < text_.size() && (is_word_character(text_[end]) ||
                                      (is_path && std::string_view("=&!$'()").find(text_[end]) !=
                                                      std::string_view::npos)))
        {
            ++end;
        }
        add_token(token_kind::word, end - position_);
    }

    bool scan_comparison()
    {
        bool const two =
            position_ + 1 < text_.size() && text_[position_ + 1] == '=' && text_[position_] != '=';
        if (text_[position_] == '!' && !two)
        {
            return false;
        }
        add_token(token_kind::comparison, two ? 2 : 1);
        return true;
    }

    bool scan_quoted()
    {
        token it{token_kind::quoted, "", line_, column_};
        auto end = position_ + 1;
        while (end < text_.size() && text_[end] != '"' && text_[end] != '\n')
        {
            bool const escaped = text_[end] == '\\' && end + 1 < text_.size() &&
                                 (text_[end + 1] == '"' || text_[end + 1] == '\\');
            end += escaped ? 1 : 0;
            it.text += text_[end++];
        }
        if (end >= text_.size() || text_[end] != '"')
        {
            return false;
        }
        while (position_ <= end)
        {
            advance();
        }
        tokens_.push_back(std::move(it));
        return true;
    }

    std::string_view text_;
    std::size_t position_ = 0;
    std::size_t line_ = 1;
    std::size_t column_ = 1;
    std::vector<token> tokens_;
};

} // namespace

base::result<std::vector<token>> tokenize(std::string_view text)
{
    return scanner(text).run();
}

base::error error_at(std::size_t line, std::size_t column, std::string const& message)
{
    return base::make_error(base::error_kind::invalid_command,
                            "line " + std::to_string(line) + ", column " + std::to_string(column) +
                                ": " + message);
}

} // namespace fuchsiaproxy::operators
