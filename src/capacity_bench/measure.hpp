#ifndef FUCHSIAPROXY_CAPACITY_BENCH_MEASURE_HPP
#define FUCHSIAPROXY_CAPACITY_BENCH_MEASURE_HPP

#include <cstddef>

namespace fuchsiaproxy::capacity_bench
{

/// Returns the processor time of the calling thread in nanoseconds. Thread safe.
double processor_ns();

/// Returns the allocated heap bytes of the program, with the rounding of the allocator. Not thread
/// safe, since the benchmark has one thread.
std::size_t live_bytes();

/// Keeps the compiler from removing a computation of `value`.
template <class T>
void do_not_optimize(T const& value)
{
    asm volatile("" : : "g"(&value) : "memory");
}

/// Returns the processor time of one call of `call(n)` in nanoseconds, over `count` calls.
template <class Call>
double ns_per_call(std::size_t count, Call&& call)
{
    double const start = processor_ns();
    for (std::size_t n = 0; n < count; ++n)
    {
        call(n);
    }
    return (processor_ns() - start) / static_cast<double>(count);
}

} // namespace fuchsiaproxy::capacity_bench

#endif
