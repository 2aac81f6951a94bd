#ifndef FUCHSIAPROXY_FLEET_RENDEZVOUS_HPP
#define FUCHSIAPROXY_FLEET_RENDEZVOUS_HPP

#include <cstdint>
#include <string_view>

namespace fuchsiaproxy::fleet
{

/// Returns the weight of `candidate` for `key` by highest-random-weight hashing. The same on every
/// entry. Thread safe.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) noexcept;

} // namespace fuchsiaproxy::fleet

#endif
