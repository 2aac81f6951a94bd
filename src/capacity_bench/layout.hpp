#ifndef FUCHSIAPROXY_CAPACITY_BENCH_LAYOUT_HPP
#define FUCHSIAPROXY_CAPACITY_BENCH_LAYOUT_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "fuchsiaproxy/messages/messages.hpp"

namespace fuchsiaproxy::capacity_bench
{

/// Sizes of the fleet: today, three steps, and the target.
std::vector<std::size_t> fleet_sizes(std::size_t max_entries);

/// Availability zones of a fleet of `entries`: 62 entries each as at the target, at least two.
std::size_t zones_of(std::size_t entries);

/// Describes entry `n` of a fleet in `zones` availability zones. Names have the length that the
/// target needs. `incarnation` is that of a clock in nanoseconds plus the argument.
messages::entry_info make_entry(std::size_t n, std::size_t zones, std::uint64_t incarnation);

/// Returns a full view of `entries` entries in `zones` zones, with versions and witnesses.
messages::digest make_view(std::size_t entries, std::size_t zones);

/// Returns the size of `body` in an envelope, by the real codec.
std::size_t encoded_size(messages::message body);

} // namespace fuchsiaproxy::capacity_bench

#endif
