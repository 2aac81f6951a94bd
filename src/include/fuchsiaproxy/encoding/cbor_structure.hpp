#ifndef FUCHSIAPROXY_ENCODING_CBOR_STRUCTURE_HPP
#define FUCHSIAPROXY_ENCODING_CBOR_STRUCTURE_HPP

#include <cstddef>
#include <string_view>

#include "fuchsiaproxy/base/error.hpp"

namespace fuchsiaproxy::encoding
{

/// Result of the structure check.
struct cbor_structure
{
    /// Number of key-value pairs in all maps. If the parsed document has fewer, the input has a
    /// duplicate key.
    std::size_t pairs = 0;
};

/// Checks that `bytes` hold exactly one well-formed CBOR item. Tags and indefinite lengths are
/// rejected, text strings must be UTF-8, map keys must be text strings, and the nesting depth is
/// limited. Types that no current message uses are accepted, because a message of a later version
/// must not count as malformed.
///
/// This check must run before nlohmann's CBOR reader, which recurses once per level and overflows
/// the stack on deeply nested input. Thread safe.
base::result<cbor_structure> check_structure(std::string_view bytes);

} // namespace fuchsiaproxy::encoding

#endif
