#ifndef FUCHSIAPROXY_TESTING_SMALL_STACK_HPP
#define FUCHSIAPROXY_TESTING_SMALL_STACK_HPP

#include <cstddef>
#include <functional>

#include <pthread.h>

namespace fuchsiaproxy::testing
{

/// Runs `work` on a thread with a stack of 256 KiB, so that recursion over the input overflows it
/// whatever the limits of the test's own process. `work` must not use the checks of a test.
inline void run_on_small_stack(std::function<void()> work)
{
    constexpr std::size_t stack_bytes = 256UL * 1024;
    pthread_attr_t attributes;
    ::pthread_attr_init(&attributes);
    ::pthread_attr_setstacksize(&attributes, stack_bytes);
    pthread_t thread{};
    auto const run = [](void* it) -> void*
    {
        (*static_cast<std::function<void()>*>(it))();
        return nullptr;
    };
    if (::pthread_create(&thread, &attributes, run, &work) == 0)
    {
        ::pthread_join(thread, nullptr);
    }
    ::pthread_attr_destroy(&attributes);
}

} // namespace fuchsiaproxy::testing

#endif
