#include "fuchsiaproxy/operators/language.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "tokenizer.hpp"

namespace fuchsiaproxy::operators
{
namespace
{

constexpr std::uint64_t max_timeout_seconds = 86'400;

constexpr std::array<std::pair<show_subject, char const*>, 11> subjects{{
    {show_subject::entries, "entries"},
    {show_subject::zones, "zones"},
    {show_subject::members, "members"},
    {show_subject::joins, "joins"},
    {show_subject::services, "services"},
    {show_subject::classes, "classes"},
    {show_subject::places, "places"},
    {show_subject::upstreams, "upstreams"},
    {show_subject::caps, "caps"},
    {show_subject::shifts, "shifts"},
    {show_subject::drains, "drains"},
}};

constexpr std::array<std::pair<char const*, comparison>, 6> comparisons{{
    {"=", comparison::equal},
    {"!=", comparison::not_equal},
    {"<", comparison::less},
    {"<=", comparison::less_or_equal},
    {">", comparison::greater},
    {">=", comparison::greater_or_equal},
}};

/// Thrown at the first token that the grammar does not allow; always caught in this file.
struct syntax_error
{
    token at;
    std::string expected;
    /// Keywords that are allowed at this position, for completion.
    std::vector<std::string> keywords;
};

std::string quoted_list(std::vector<std::string> const& words)
{
    std::string out;
    for (auto const& it : words)
    {
        out += (out.empty() ? "\"" : ", \"") + it + "\"";
    }
    return words.size() > 1 ? "one of " + out : out;
}

class parser
{
public:
    explicit parser(std::vector<token> tokens) : tokens_(std::move(tokens)) {}

    std::vector<command> run()
    {
        std::vector<command> out;
        while (peek().kind != token_kind::end)
        {
            if (peek().kind == token_kind::separator)
            {
                ++position_;
                continue;
            }
            out.push_back(parse_command());
            if (!at_end_of_command())
            {
                fail("the end of the command", optional_keywords_);
            }
        }
        return out;
    }

private:
    token const& peek() const
    {
        return tokens_[position_];
    }

    bool at_end_of_command() const
    {
        return peek().kind == token_kind::end || peek().kind == token_kind::separator;
    }

    [[noreturn]] void fail(std::string expected, std::vector<std::string> keywords = {}) const
    {
        throw syntax_error{peek(), std::move(expected), std::move(keywords)};
    }

    /// Consumes `word` if it is the next token; otherwise records it as an optional keyword of this
    /// position, for error messages and completion.
    bool accept(std::string const& word)
    {
        if (peek().kind == token_kind::word && peek().text == word)
        {
            ++position_;
            optional_keywords_.clear();
            return true;
        }
        optional_keywords_.push_back(word);
        return false;
    }

    std::string keyword(std::vector<std::string> const& words)
    {
        bool const fits = peek().kind == token_kind::word &&
                          std::find(words.begin(), words.end(), peek().text) != words.end();
        if (!fits)
        {
            fail(quoted_list(words), words);
        }
        optional_keywords_.clear();
        return tokens_[position_++].text;
    }

    std::string text(std::string const& what)
    {
        if (peek().kind != token_kind::word && peek().kind != token_kind::quoted)
        {
            fail(what);
        }
        optional_keywords_.clear();
        return tokens_[position_++].text;
    }

    std::uint64_t number(std::string const& what, std::uint64_t min, std::uint64_t max)
    {
        auto const expected = what + " from " + std::to_string(min) + " to " + std::to_string(max);
        auto const& digits = peek().text;
        // 18 digits fit std::uint64_t, and no bound has more digits.
        bool const fits = peek().kind == token_kind::word && !digits.empty() &&
                          digits.size() <= 18 &&
                          digits.find_first_not_of("0123456789") == std::string::npos &&
                          std::stoull(digits) >= min && std::stoull(digits) <= max;
        if (!fits)
        {
            fail(expected);
        }
        optional_keywords_.clear();
        return std::stoull(tokens_[position_++].text);
    }

    command parse_command()
    {
        auto const verb =
            keyword({"apply",  "approve", "bootstrap", "check",   "diff", "drain",   "explain",
                     "export", "help",    "history",   "join",    "key",  "report",  "reverse",
                     "shift",  "show",    "stop",      "undrain", "wait", "withdraw"});
        if (verb == "help")
        {
            return help_command{};
        }
        if (verb == "export")
        {
            return export_command{};
        }
        if (verb == "history")
        {
            return parse_history();
        }
        if (verb == "wait")
        {
            return parse_wait();
        }
        if (verb == "show")
        {
            return parse_show();
        }
        if (verb == "explain")
        {
            return parse_explain();
        }
        if (verb == "report")
        {
            return parse_report();
        }
        if (verb == "key")
        {
            return parse_key();
        }
        return parse_configuration_command(verb);
    }

    command parse_configuration_command(std::string const& verb)
    {
        if (verb == "check")
        {
            return check_command{text("a folder")};
        }
        if (verb == "diff")
        {
            return diff_command{text("a folder")};
        }
        if (verb == "apply")
        {
            return apply_command{text("a folder")};
        }
        if (verb == "bootstrap")
        {
            return bootstrap_command{text("a folder")};
        }
        if (verb == "drain")
        {
            return drain_command{text("a place")};
        }
        if (verb == "undrain")
        {
            return undrain_command{text("a place")};
        }
        if (verb == "join")
        {
            return join_command{text("a file")};
        }
        if (verb == "approve")
        {
            return approve_command{text("an organisation")};
        }
        if (verb == "withdraw")
        {
            return withdraw_command{text("an organisation")};
        }
        if (verb == "shift")
        {
            return parse_shift();
        }
        keyword({"shift"});
        auto const id = text("a shift");
        return verb == "stop" ? command(stop_shift_command{id})
                              : command(reverse_shift_command{id});
    }

    command parse_history()
    {
        history_command it;
        if (!at_end_of_command())
        {
            it.count = number("a number of commands", 1, 1'000);
        }
        return it;
    }

    command parse_wait()
    {
        wait_command it;
        it.version = base::config_version(
            number("a version", 1, std::numeric_limits<std::int64_t>::max() / 100));
        if (accept("timeout"))
        {
            it.timeout = std::chrono::seconds(number("seconds", 1, max_timeout_seconds));
        }
        return it;
    }

    command parse_explain()
    {
        explain_command it;
        it.service = text("a service");
        it.method = text("a method");
        it.path = text("a path");
        if (accept("from"))
        {
            it.zone = text("a zone");
        }
        return it;
    }

    command parse_shift()
    {
        shift_command it;
        it.from = text("a place");
        keyword({"to"});
        it.to = text("a place");
        keyword({"percent"});
        it.percent = static_cast<std::uint32_t>(number("a percentage", 0, 100));
        return it;
    }

    command parse_key()
    {
        if (keyword({"change", "hash"}) == "change")
        {
            return key_change_command{};
        }
        return key_hash_command{text("the id of an operator")};
    }

    command parse_report()
    {
        keyword({"burn"});
        report_burn_command it;
        if (accept("as"))
        {
            auto const form = keyword({"html", "json", "table"});
            it.form = form == "html"   ? report_form::html
                      : form == "json" ? report_form::json
                                       : report_form::table;
        }
        if (accept("to"))
        {
            it.file = text("a file");
        }
        return it;
    }

    command parse_show()
    {
        std::vector<std::string> names;
        names.reserve(subjects.size());
        for (auto const& it : subjects)
        {
            names.emplace_back(it.second);
        }
        auto const name = keyword(names);
        show_command it;
        for (auto const& [subject, known] : subjects)
        {
            it.subject = name == known ? subject : it.subject;
        }
        if (accept("where"))
        {
            it.conditions.push_back(parse_condition());
            while (accept("and"))
            {
                it.conditions.push_back(parse_condition());
            }
        }
        if (accept("order"))
        {
            keyword({"by"});
            it.order_by = text("a column");
            it.descending = accept("descending");
        }
        if (accept("limit"))
        {
            it.limit = number("a number of rows", 1, 1'000'000);
        }
        return it;
    }

    condition parse_condition()
    {
        condition it;
        it.column = text("a column");
        if (peek().kind != token_kind::comparison)
        {
            fail("one of = != < <= > >=", {"=", "!=", "<", "<=", ">", ">="});
        }
        for (auto const& [sign, op] : comparisons)
        {
            it.op = peek().text == sign ? op : it.op;
        }
        ++position_;
        it.value = text("a value");
        return it;
    }

    std::vector<token> tokens_;
    std::size_t position_ = 0;
    std::vector<std::string> optional_keywords_;
};

std::string describe_token(token const& it)
{
    switch (it.kind)
    {
    case token_kind::end:
        return "the end of the input";
    case token_kind::separator:
        return it.text == ";" ? "\";\"" : "the end of the line";
    default:
        return "\"" + it.text + "\"";
    }
}

} // namespace

bool is_routing_explanation(std::vector<std::string> const& words)
{
    constexpr std::size_t method = 2;
    constexpr std::size_t path = 3;
    return words.size() > path && words.front() == "explain" &&
           words[method].find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") == std::string::npos &&
           words[path].compare(0, 1, "/") == 0;
}

base::result<std::vector<command>> parse_commands(std::string_view text)
{
    auto tokens = tokenize(text);
    if (!tokens)
    {
        return std::move(tokens).error();
    }
    try
    {
        return parser(std::move(tokens).value()).run();
    }
    catch (syntax_error const& e)
    {
        auto const also = e.keywords.empty() || e.expected.rfind("the end", 0) != 0
                              ? ""
                              : " or " + quoted_list(e.keywords);
        return error_at(e.at.line, e.at.column,
                        "expected " + e.expected + also + ", found " + describe_token(e.at));
    }
}

std::vector<std::string> completions(std::string_view line)
{
    auto const tokens = tokenize(line);
    if (!tokens)
    {
        return {};
    }
    // The word at the cursor is replaced by a token that is invalid everywhere, so that the syntax
    // error lists the keywords that are allowed there.
    auto all = tokens.value();
    bool const in_word = !line.empty() && line.back() != ' ' && all.size() >= 2 &&
                         all[all.size() - 2].kind == token_kind::word;
    auto const prefix = in_word ? all[all.size() - 2].text : std::string();
    all.resize(all.size() - (in_word ? 2 : 1));
    all.push_back({token_kind::comparison, "", 1, 1});
    all.push_back({token_kind::end, "", 1, 1});
    std::vector<std::string> out;
    try
    {
        parser(std::move(all)).run();
    }
    catch (syntax_error const& e)
    {
        std::copy_if(e.keywords.begin(), e.keywords.end(), std::back_inserter(out),
                     [&prefix](auto const& word) { return word.rfind(prefix, 0) == 0; });
    }
    return out;
}

std::string command_help()
{
    return "check FOLDER                            check declarations, without an entry\n"
           "diff FOLDER                             list what apply would change\n"
           "apply FOLDER                            apply the declarations of your organisation\n"
           "bootstrap FOLDER                        create the first version\n"
           "export                                  print the accepted configuration\n"
           "history [N]                             list the last commands\n"
           "wait VERSION [timeout SECONDS]          wait until all entries have a version\n"
           "show SUBJECT [where CONDITION [and CONDITION]...] [order by COLUMN [descending]]\n"
           "     [limit N]                          list entries, zones, members, joins, "
           "services,\n"
           "                                        classes, places, upstreams, caps, shifts or\n"
           "                                        drains; a condition is COLUMN = VALUE\n"
           "explain SERVICE METHOD PATH [from ZONE] explain how a request would be routed\n"
           "drain PLACE                             send no new requests to a place\n"
           "undrain PLACE                           end a drain\n"
           "shift PLACE to PLACE percent N          move a part of the traffic of a place\n"
           "stop shift SHIFT                        end a shift\n"
           "reverse shift SHIFT                     reverse the direction of a shift\n"
           "join FILE                               request to admit an organisation\n"
           "approve MEMBER                          approve a join\n"
           "withdraw MEMBER                         withdraw the approval of a join\n"
           "key hash OPERATOR                       print a salted hash for a declaration\n"
           "key change                              change your own key\n"
           "report burn [as table|json|html] [to FILE]\n"
           "help                                    print this text\n";
}

std::string name_of(show_subject subject)
{
    for (auto const& [known, name] : subjects)
    {
        if (known == subject)
        {
            return name;
        }
    }
    return "entries";
}

} // namespace fuchsiaproxy::operators
