#include "fuchsiaproxy/operators/language.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy;
using namespace fuchsiaproxy::operators;

TEST_GROUP(language){};

// Guards against a command line that is taken for the explanation of a request from logs.
TEST(language, a_routing_explanation_is_told_from_that_of_a_request)
{
    CHECK(is_routing_explanation({"explain", "orders", "GET", "/orders/a", "from", "tartu-a"}));
    CHECK_FALSE(is_routing_explanation({"explain", "9c41d0", "a.log", "/var/log/b.log"}));
    CHECK_FALSE(is_routing_explanation({"explain", "9c41d0", "/var/log/a.log", "/b.log"}));
    CHECK_FALSE(is_routing_explanation({"explain", "orders", "GET"}));
    CHECK_FALSE(is_routing_explanation({"explain", "orders", "GET", ""}));
    CHECK_FALSE(is_routing_explanation({"drain", "orders", "GET", "/orders"}));
}

// Guards against commands that are parsed as another command or with wrong arguments.
TEST(language, commands_are_parsed_with_their_arguments)
{
    auto const parsed = parse_commands("check a/b # a comment\n\n"
                                       "shift p-1 to \"p 2\" percent 30; stop shift s\n"
                                       "show places where slots >= 8 and service = \"a \\\"b\\\"\" "
                                       "order by slots descending limit 2\n"
                                       "wait 7 timeout 3; history 5; explain s GET /a?b=%20 from "
                                       "z;report burn as html to r.html;");
    CHECK(parsed.has_value());
    auto const& all = parsed.value();
    CHECK_EQUAL(std::size_t{8}, all.size());
    CHECK_EQUAL(std::string("a/b"), std::get<check_command>(all[0]).folder);
    auto const& shift = std::get<shift_command>(all[1]);
    CHECK_EQUAL(std::string("p 2"), shift.to);
    CHECK_EQUAL(30U, shift.percent);
    CHECK_EQUAL(std::string("s"), std::get<stop_shift_command>(all[2]).shift);
    auto const& show = std::get<show_command>(all[3]);
    CHECK(show.subject == show_subject::places);
    CHECK_EQUAL(std::size_t{2}, show.conditions.size());
    CHECK(show.conditions[0].op == comparison::greater_or_equal);
    CHECK_EQUAL(std::string("a \"b\""), show.conditions[1].value);
    CHECK(show.descending);
    CHECK(show.limit == std::uint64_t{2});
    CHECK(std::get<wait_command>(all[4]).timeout == std::chrono::seconds(3));
    CHECK(std::get<history_command>(all[5]).count == std::uint64_t{5});
    CHECK_EQUAL(std::string("z"), std::get<explain_command>(all[6]).zone);
    CHECK(std::get<report_burn_command>(all[7]).form == report_form::html);
    CHECK(parse_commands(" ;\n# only a comment").value().empty());
}

// Guards against syntax errors without a position or without what was expected, and invalid input
// that is accepted in part.
TEST(language, errors_contain_the_position_and_what_was_expected)
{
    struct row
    {
        char const* text;
        char const* message;
    };
    for (auto const& it : {
             row{"drop", "line 1, column 1: expected one of \"apply\""},
             row{"export\n drain",
                 "line 2, column 7: expected a place, found the end of the input"},
             row{"drain ;", "line 1, column 7: expected a place, found \";\""},
             row{"drain\np", "line 1, column 6: expected a place, found the end of the line"},
             row{"drain p q", "line 1, column 9: expected the end of the command, found \"q\""},
             row{"wait 1 q", "expected the end of the command or \"timeout\", found \"q\""},
             row{"wait 0", "line 1, column 6: expected a version from 1 to"},
             row{"wait -1", "expected a version from 1 to"},
             row{"wait 99999999999999999999", "expected a version from 1 to"},
             row{"shift a b", "line 1, column 9: expected \"to\", found \"b\""},
             row{"shift a to b percent 101", "column 22: expected a percentage from 0 to 100"},
             row{"\"export\"", "line 1, column 1: expected one of"},
             row{"show nodes", "column 6: expected one of \"entries\""},
             row{"show caps where limit ! 3", "column 23: expected one of = != < <= > >=, found"},
             row{"show caps where limit 3",
                 "column 23: expected one of = != < <= > >=, found \"3\""},
             row{"show caps order limit", "column 17: expected \"by\", found \"limit\""},
             row{"drain \"p", "line 1, column 7: expected a closing quote on the same line"},
             row{"drain p\x01",
                 "column 8: expected a word, a number or a quoted text, found byte 1"},
         })
    {
        auto const parsed = parse_commands(it.text);
        CHECK_FALSE_TEXT(parsed.has_value(), it.text);
        CHECK(parsed.error().kind == base::error_kind::invalid_command);
        STRCMP_CONTAINS(it.message, parsed.error().message.c_str());
    }
}

// Guards against completions that the grammar does not allow.
TEST(language, completions_follow_the_grammar)
{
    struct row
    {
        char const* line;
        char const* words;
    };
    for (auto const& it : {
             row{"sh", "shift show "},
             row{"show ca", "caps "},
             row{"show caps ", "where order limit "},
             row{"show caps where limit > 3 a", "and "},
             row{"stop ", "shift "},
             row{"report burn as ", "html json table "},
             row{"export; ke", "key "},
             row{"drain ", ""},
             row{"drain \"", ""},
         })
    {
        std::string words;
        for (auto const& word : completions(it.line))
        {
            words += word + " ";
        }
        STRCMP_EQUAL(it.words, words.c_str());
    }
}
