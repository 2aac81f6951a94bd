#ifndef FUCHSIAPROXY_CALLERS_PIPELINING_FIXTURE_HPP
#define FUCHSIAPROXY_CALLERS_PIPELINING_FIXTURE_HPP

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

#include "server_fixture.hpp"

namespace fuchsiaproxy::callers
{

/// A server whose handler lets GET requests run beside others, except those of service `/alone`.
struct pipelining_fixture : server_fixture
{
    explicit pipelining_fixture(server_settings limits = {}) : server_fixture(std::move(limits))
    {
        handler.beside_others = [](request_head const& head)
        { return head.method == "GET" && head.service != base::service_id("alone"); };
    }

    /// Waits until `count` requests have been passed on and nothing more happens.
    bool arrived(std::size_t count)
    {
        auto const reached = until([&]() { return handler.exchanges.size() >= count; });
        testing::run_ready(io);
        return reached && handler.exchanges.size() == count;
    }

    /// Answers request `number`, counted from 1, with its target as the body.
    void answer(std::size_t number)
    {
        auto& it = *handler.exchanges.at(number - 1);
        it.answer(200, {}, it.head().target);
    }

    /// Returns the ids of the requests from number `first` to `last`.
    std::vector<base::local_request_id> ids(std::size_t first, std::size_t last) const
    {
        std::vector<base::local_request_id> out;
        for (auto n = first; n <= last; ++n)
        {
            out.push_back(handler.exchanges.at(n - 1)->head().id);
        }
        return out;
    }
};

/// Returns the text of GET requests for `/s/FIRST` to `/s/LAST`.
inline std::string gets(std::size_t first, std::size_t last)
{
    std::string out;
    for (auto n = first; n <= last; ++n)
    {
        out += request_text("", "GET /s/" + std::to_string(n));
    }
    return out;
}

/// Returns the status and the body of each answer in `text`, followed by `close` if the answer
/// closes the connection. Bytes that are no complete answer are returned as they are.
inline std::vector<std::string> answers_in(std::string text)
{
    std::vector<std::string> out;
    while (!text.empty())
    {
        auto const head_end = text.find("\r\n\r\n");
        auto const head = text.substr(0, head_end);
        auto const length = head.find("Content-Length: ");
        auto const size = length == std::string::npos
                              ? std::size_t(0)
                              : std::strtoul(head.c_str() + length + 16, nullptr, 10);
        if (head_end == std::string::npos || !starts_with(head, "HTTP/1.1 ") ||
            text.size() < head_end + 4 + size)
        {
            out.push_back(text);
            break;
        }
        auto const closes = head.find("\r\nConnection: close") != std::string::npos;
        out.push_back(head.substr(9, 3) + " " + text.substr(head_end + 4, size) +
                      (closes ? " close" : ""));
        text.erase(0, head_end + 4 + size);
    }
    return out;
}

/// Joins `parts` with commas, for comparisons that show both sides.
inline std::string joined(std::vector<std::string> const& parts)
{
    std::string out;
    for (auto const& it : parts)
    {
        out += (out.empty() ? "" : ", ") + it;
    }
    return out;
}

} // namespace fuchsiaproxy::callers

#endif
