#ifndef FUCHSIAPROXY_CAPACITY_BENCH_SECTIONS_HPP
#define FUCHSIAPROXY_CAPACITY_BENCH_SECTIONS_HPP

#include <cstddef>

#include "report.hpp"

namespace fuchsiaproxy::capacity_bench
{

/// Sizes of the fleet messages, and memory and look-up time of one entry, up to the target size.
void measure_view(report& out);

/// Traffic of each role during a cold start, in which no entry knows another. Limited to 300
/// entries.
void measure_start(std::size_t max_entries, report& out);

/// Messages, bytes and processor time of each role in a simulated fleet of up to `max_entries`.
void measure_fleet(std::size_t max_entries, report& out);

/// Size and processing time of the configuration against the number of places and services.
void measure_configuration(report& out);

/// Processor time, message sizes and memory of claims at primary and witness.
void measure_claims(report& out);

/// Processor time of cap checks per request, and reservations of one availability zone.
void measure_shares(report& out);

} // namespace fuchsiaproxy::capacity_bench

#endif
