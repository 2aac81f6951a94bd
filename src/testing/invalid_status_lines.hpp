#ifndef FUCHSIAPROXY_TESTING_INVALID_STATUS_LINES_HPP
#define FUCHSIAPROXY_TESTING_INVALID_STATUS_LINES_HPP

#include <string>
#include <vector>

namespace fuchsiaproxy::testing
{

/// Status lines that an upstream in trouble may send and that no entry may take for an answer,
/// without their line ends.
inline std::vector<std::string> invalid_status_lines()
{
    std::vector<std::string> made{
        // Followed by no other answer, a 1xx other than 101 is interim and waited behind.
        "HTTP/1.1 101 Switching Protocols",
        // Two and four digits, none, and other bases.
        "HTTP/1.1 20 OK", "HTTP/1.1 2 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1  OK",
        "HTTP/1.1 OK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 0x1 OK", "HTTP/1.1 2e2 OK",
        "HTTP/1.1 2.0 OK",
        // Signs.
        "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 +200 OK",
        "HTTP/1.1 200- OK",
        // Spaces in wrong places. RFC 9112 requires the one behind the status, also before an empty
        // reason.
        "HTTP/1.1  200 OK", " HTTP/1.1 200 OK", "HTTP/1.1 20 0 OK", "HTTP/1.1 2 00 OK",
        "HTTP/1.1 200", "HTTP/1.1200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK",
        "HTTP /1.1 200 OK", "HTTP/ 1.1 200 OK",
        // Other protocols and versions.
        "HTTP/0.9 200 OK", "HTTP/1.0 200 OK", "HTTP/1.2 200 OK", "HTTP/2.0 200 OK", "HTTP/2 200 OK",
        "HTTP/3 200 OK", "HTTP/11 200 OK", "HTTP/1.10 200 OK", "HTTP/01.1 200 OK",
        "HTTP/-1.1 200 OK", "HTTP/x.y 200 OK", "http/1.1 200 OK", "HTTPS/1.1 200 OK", "ICY 200 OK",
        "200 OK", "GET / HTTP/1.1", "{\"status\": 200}", ""};
    for (std::string const status : {"000", "001", "020", "050", "099", "600", "601", "666", "700",
                                     "799", "800", "900", "998", "999"})
    {
        made.push_back("HTTP/1.1 " + status + " Reason");
        made.push_back("HTTP/1.1 " + status + " ");
    }
    return made;
}

} // namespace fuchsiaproxy::testing

#endif
