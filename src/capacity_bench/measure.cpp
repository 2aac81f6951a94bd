#include "measure.hpp"

#include <cstdlib>
#include <ctime>
#include <new>

#include <malloc.h>

namespace
{

std::size_t live = 0;

} // namespace

// Counts the heap bytes of the whole program.
// Not inlined: otherwise g++ 12 warns about mismatched malloc and delete.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    if (auto* const out = std::malloc(size))
    {
        live += malloc_usable_size(out);
        return out;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* it) noexcept
{
    live -= malloc_usable_size(it);
    std::free(it);
}

[[gnu::noinline]] void operator delete(void* it, std::size_t) noexcept
{
    live -= malloc_usable_size(it);
    std::free(it);
}

namespace fuchsiaproxy::capacity_bench
{

double processor_ns()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    constexpr double ns_per_s = 1e9;
    return static_cast<double>(now.tv_sec) * ns_per_s + static_cast<double>(now.tv_nsec);
}

std::size_t live_bytes()
{
    return live;
}

} // namespace fuchsiaproxy::capacity_bench
