#ifndef FUCHSIAPROXY_TESTING_ASIO_RUNNER_HPP
#define FUCHSIAPROXY_TESTING_ASIO_RUNNER_HPP

#include <chrono>

#include <boost/asio/io_context.hpp>

namespace fuchsiaproxy::testing
{

// Only bounds the time of a test that fails; no verdict depends on it when the code is right.
constexpr std::chrono::seconds condition_timeout{20};

/// Runs `io` on this thread until `condition()` holds. Returns whether it holds.
template <class Condition>
bool run_until(boost::asio::io_context& io, Condition condition)
{
    auto const end = std::chrono::steady_clock::now() + condition_timeout;
    while (!condition() && std::chrono::steady_clock::now() < end)
    {
        io.restart();
        io.run_one_for(std::chrono::milliseconds(50));
    }
    return condition();
}

} // namespace fuchsiaproxy::testing

#endif
