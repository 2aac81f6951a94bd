#include "fuchsiaproxy/http/message_reader.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiaproxy::http;

namespace
{

struct head_case
{
    char const* name;
    std::string text;
    bool malformed;
};

std::string request(std::string const& fields)
{
    return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

bool is_refused(message_reader& reader, std::string const& text)
{
    auto const scan = scan_head(text, 0);
    message_head head;
    return scan.malformed || scan.size != text.size() ||
           reader.read_head(text, false, head) != head_error::none;
}

/// Reads a whole body from `text`, passed to the reader in pieces of `step` bytes. Sets `bad` if
/// it is malformed.
std::string read_body(message_reader& reader, std::string const& text, std::size_t step, bool& bad)
{
    std::string out;
    std::string waiting;
    bad = false;
    for (std::size_t n = 0; n < text.size() && !reader.done() && !bad; n += step)
    {
        waiting += text.substr(n, step);
        while (!reader.done() && !waiting.empty())
        {
            auto const it = reader.next(waiting);
            out += it.data;
            bad = it.malformed;
            waiting.erase(0, it.consumed);
            if (it.consumed == 0 || bad)
            {
                break;
            }
        }
    }
    return out;
}

} // namespace

TEST_GROUP(request_heads)
{
    std::unique_ptr<message_reader> reader = message_reader::for_requests();
};

// Guards against request smuggling by a head that two servers could frame differently, for example
// because a control character ends a line for only one of them.
TEST(request_heads, ambiguous_framing_and_control_characters_are_refused)
{
    std::vector<head_case> const cases{
        {"plain", request("Content-Length: 5\r\n"), false},
        {"chunked", request("Transfer-Encoding: chunked\r\n"), false},
        {"chunked in capitals", request("Transfer-Encoding: CHUNKED\r\n"), false},
        {"spaces around a value", request("Content-Length: \t 5 \r\n"), false},
        {"length and encoding", request("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
         true},
        {"encoding and length", request("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
         true},
        {"two equal lengths", request("Content-Length: 5\r\nContent-Length: 5\r\n"), true},
        {"two lengths", request("Content-Length: 5\r\nContent-Length: 6\r\n"), true},
        {"list of lengths", request("Content-Length: 5, 5\r\n"), true},
        {"signed length", request("Content-Length: +5\r\n"), true},
        {"negative length", request("Content-Length: -5\r\n"), true},
        {"hexadecimal length", request("Content-Length: 0x5\r\n"), true},
        {"empty length", request("Content-Length:\r\n"), true},
        {"length too large", request("Content-Length: 99999999999999999999\r\n"), true},
        {"two encodings", request("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
         true},
        {"unknown encoding", request("Transfer-Encoding: xchunked\r\n"), true},
        {"encoding list", request("Transfer-Encoding: gzip, chunked\r\n"), true},
        {"encoding identity", request("Transfer-Encoding: identity\r\n"), true},
        {"encoding with vertical tab",
         request("Transfer-Encoding: \x0b"
                 "chunked\r\n"),
         true},
        {"space before colon", request("Content-Length : 5\r\n"), true},
        {"folded line", request("X: a\r\n b\r\n"), true},
        {"folded encoding", request("Transfer-Encoding:\r\n chunked\r\n"), true},
        {"line without colon", request("nonsense\r\n"), true},
        {"empty name", request(": a\r\n"), true},
        {"bare LF", request("X: a\nY: b\r\n"), true},
        {"bare CR", request("X: a\rY: b\r\n"), true},
        {"null", request(std::string("X: a\0b\r\n", 8)), true},
        {"delete", request("X: a\x7f\r\n"), true},
        {"tab in a value", request("X: a\tb\r\n"), false},
        {"no host", "GET / HTTP/1.1\r\n\r\n", true},
        {"two hosts", request("Host: i\r\n"), true},
        {"old version", "GET / HTTP/1.0\r\nHost: h\r\n\r\n", true},
        {"unknown version", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", true},
        {"no version", "GET /\r\nHost: h\r\n\r\n", true},
        {"two spaces", "GET  / HTTP/1.1\r\nHost: h\r\n\r\n", true},
        {"empty line first", "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", true},
    };
    for (auto const& it : cases)
    {
        CHECK_EQUAL_TEXT(it.malformed, is_refused(*reader, it.text), it.name);
    }
}

// Guards against detecting a bare line end only once the head is complete. The caller would then
// get no response before the time limit.
TEST(request_heads, bare_line_ends_are_found_before_the_end_of_the_head)
{
    CHECK(scan_head("GET / HTTP/1.1\n", 0).malformed);
    CHECK_FALSE(scan_head("GET / HTTP/1.1\r", 0).malformed);
    CHECK(scan_head("GET / HTTP/1.1\rX", 15).malformed);
}

// Guards against missing the end of a head that arrives in two pieces.
TEST(request_heads, the_end_is_found_wherever_the_input_is_split)
{
    auto const text = request("X: a\r\n");
    for (std::size_t cut = 1; cut < text.size(); ++cut)
    {
        LONGS_EQUAL(0, scan_head(text.substr(0, cut), 0).size);
        LONGS_EQUAL(text.size(), scan_head(text, cut).size);
    }
}

// Guards against an off-by-one error in the limit of header fields.
TEST(request_heads, more_than_the_allowed_fields_are_refused)
{
    for (auto const count : {max_fields, max_fields + 1})
    {
        std::string fields;
        for (std::size_t n = 1; n < count; ++n)
        {
            fields += "X: a\r\n";
        }
        message_head head;
        auto const expected = count > max_fields ? head_error::too_many_fields : head_error::none;
        CHECK(reader->read_head(request(fields), false, head) == expected);
    }
}

TEST_GROUP(chunked_bodies)
{
    std::unique_ptr<message_reader> reader = message_reader::for_requests();
    message_head head;

    std::string read(std::string const& text, std::size_t step, bool& bad)
    {
        CHECK(reader->read_head(request("Transfer-Encoding: chunked\r\n"), false, head) ==
              head_error::none);
        return read_body(*reader, text, step, bad);
    }
};

// Guards against a body that depends on how the input is split, and against trailers that are added
// to the header fields after those were processed.
TEST(chunked_bodies, are_the_same_wherever_the_input_is_split)
{
    std::string const text = "5;x=y\r\nhello\r\n06\r\n world\r\n0\r\nTrailer: t\r\n\r\n";
    for (std::size_t step = 1; step <= text.size(); ++step)
    {
        bool bad = false;
        CHECK_EQUAL(std::string("hello world"), read(text, step, bad));
        CHECK_FALSE(bad);
        CHECK(reader->done());
        CHECK_FALSE(head.fields.find("Trailer").has_value());
    }
}

// Guards against input that ends the process: a body without data whose last chunk arrives in
// pieces, or that is read again before more of it has arrived, failed an assertion of the parser.
TEST(chunked_bodies, without_data_may_be_split_and_read_again_at_any_byte)
{
    for (std::string const text :
         {"0\r\n\r\n", "00\r\n\r\n", "0;x=y\r\n\r\n", "0\r\nT: t\r\n\r\n", "1\r\n0\r\n0\r\n\r\n"})
    {
        auto const header = request("Transfer-Encoding: chunked\r\n");
        CHECK(reader->read_head(header, false, head) == head_error::none);
        std::string data;
        std::size_t consumed = 0;
        for (std::size_t end = 1; end <= text.size(); ++end)
        {
            for (int repeat = 0; repeat < 3 && !reader->done(); ++repeat)
            {
                auto const it =
                    reader->next(std::string_view(text).substr(consumed, end - consumed));
                CHECK_FALSE_TEXT(it.malformed, text.c_str());
                consumed += it.consumed;
                data += it.data;
            }
        }
        CHECK_TEXT(reader->done(), text.c_str());
        LONGS_EQUAL_TEXT(text.size(), consumed, text.c_str());
        CHECK_EQUAL_TEXT(std::string(text.front() == '1' ? "0" : ""), data, text.c_str());
    }
}

// Guards against accepting chunk framing that another server could interpret differently.
TEST(chunked_bodies, malformed_framing_is_refused)
{
    for (std::string const text :
         {"g\r\n", "-1\r\na", " 5\r\nhello\r\n", "5 \r\nhello\r\n", "5\nhello\n0\n\n",
          "0x5\r\nhello", "5\r\nhelloX\r\n", "5\r\nhello0\r\n\r\n", "11111111111111111\r\n", "\r\n",
          "0\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\nbad trailer\r\n\r\n"})
    {
        // The empty line ensures that the reader rejects the input instead of waiting for more.
        bool bad = false;
        read(text + "\r\n\r\n", text.size() + 4, bad);
        CHECK_TEXT(bad, text.c_str());
    }
}
