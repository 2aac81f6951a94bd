#ifndef FUCHSIAPROXY_CAPACITY_BENCH_SECTIONS_HPP
#define FUCHSIAPROXY_CAPACITY_BENCH_SECTIONS_HPP

#include <cstddef>

#include "report.hpp"

namespace fuchsiaproxy::capacity_bench
{

/// Bytes of the messages of the fleet, and memory and look-ups of one entry, up to the target
/// size.
void measure_view(report& out);

/// Traffic of each role while a fleet in which nobody knows anybody starts. Limited to 300 entries.
void measure_start(std::size_t max_entries, report& out);

/// Messages, bytes and processor time of each role in a simulated fleet of up to `max_entries`.
void measure_fleet(std::size_t max_entries, report& out);

/// Size and handling of the configuration against places, services and sites.
void measure_configuration(report& out);

/// Time, bytes and memory of claims at primary and witness.
void measure_claims(report& out);

/// Gates, and reservations of one availability zone.
void measure_shares(report& out);

} // namespace fuchsiaproxy::capacity_bench

#endif
