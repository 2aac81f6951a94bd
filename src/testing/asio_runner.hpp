#ifndef FUCHSIAPROXY_TESTING_ASIO_RUNNER_HPP
#define FUCHSIAPROXY_TESTING_ASIO_RUNNER_HPP

#include <chrono>

#include <boost/asio/io_context.hpp>

namespace fuchsiaproxy::testing
{

// Limits how long a failing test runs; the result of a passing test does not depend on it.
constexpr std::chrono::seconds condition_timeout{20};

/// Runs `io` on this thread until `condition()` is true or the timeout expires. Returns the final
/// value of the condition.
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
