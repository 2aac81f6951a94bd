#ifndef FUCHSIAPROXY_PEERS_CODEC_HPP
#define FUCHSIAPROXY_PEERS_CODEC_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/messages/messages.hpp"

namespace fuchsiaproxy::peers
{

/// Version of the message format that this build sends and accepts.
constexpr unsigned message_version = 1;
/// Maximum size of an encoded message. Leaves room for a configuration document of 1 MB.
constexpr std::size_t max_message_bytes = 2'000'000;
/// Number of message types.
constexpr std::size_t message_type_count = std::variant_size_v<messages::message>;

/// Returns the name of the message type with index `type` of the variant. Precondition:
/// `type < message_type_count`. Thread safe.
std::string_view type_name(std::size_t type) noexcept;

/// Encodes a message as a CBOR map with `v`, `type`, `from`, `incarnation`, `seq` and `body`.
/// Fails with `value_too_large` if the result exceeds `max_message_bytes`, and with `bad_message`
/// if a string is not valid UTF-8 or a duration is negative. Thread safe.
base::result<std::string> encode(messages::envelope const& envelope);

/// Decodes a message from untrusted bytes. Fails with `unsupported_version` for another version or
/// an unknown type, and with `bad_message` for any other input that `encode` cannot produce. Thread
/// safe.
base::result<messages::envelope> decode(std::string_view bytes);

} // namespace fuchsiaproxy::peers

#endif
