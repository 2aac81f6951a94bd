#ifndef FUCHSIAPROXY_CAPACITY_BENCH_LAYOUT_HPP
#define FUCHSIAPROXY_CAPACITY_BENCH_LAYOUT_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "fuchsiaproxy/messages/messages.hpp"

namespace fuchsiaproxy::capacity_bench
{

/// Returns the fleet sizes to measure, up to `max_entries`: today, three steps, and the target.
std::vector<std::size_t> fleet_sizes(std::size_t max_entries);

/// Returns the number of availability zones of a fleet of `entries`: at least two, with 62 entries
/// each as at the target size.
std::size_t zones_of(std::size_t entries);

/// Describes entry `n` of a fleet in `zones` availability zones. Names are as long as those of a
/// fleet of the target size. The incarnation is a clock value in nanoseconds plus `incarnation`.
messages::entry_info make_entry(std::size_t n, std::size_t zones, std::uint64_t incarnation);

/// Returns a full view of `entries` entries in `zones` zones, with versions and witnesses.
messages::digest make_view(std::size_t entries, std::size_t zones);

/// Returns the size of an envelope with `body`, as encoded by the codec of the entries.
std::size_t encoded_size(messages::message body);

} // namespace fuchsiaproxy::capacity_bench

#endif
