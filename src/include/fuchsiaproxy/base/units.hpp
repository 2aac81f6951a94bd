#ifndef FUCHSIAPROXY_BASE_UNITS_HPP
#define FUCHSIAPROXY_BASE_UNITS_HPP

#include <cstdint>

#include "fuchsiaproxy/base/strong_type.hpp"

namespace fuchsiaproxy::base
{

/// Number of requests that an upstream can run concurrently.
using slot_count = strong_type<struct slot_count_tag, std::uint32_t>;
/// Requests per second.
using requests_per_second = strong_type<struct requests_per_second_tag, std::uint32_t>;
/// Kilobits (1,000 bits) per second.
using kilobits_per_second = strong_type<struct kilobits_per_second_tag, std::uint64_t>;
/// Bytes.
using byte_count = strong_type<struct byte_count_tag, std::uint64_t>;
/// Value of one request served on time, in credit units.
using request_weight = strong_type<struct request_weight_tag, std::uint32_t>;

} // namespace fuchsiaproxy::base

#endif
