#ifndef FUCHSIAPROXY_PEERS_CBOR_STRUCTURE_HPP
#define FUCHSIAPROXY_PEERS_CBOR_STRUCTURE_HPP

#include <cstddef>
#include <string_view>

#include "fuchsiaproxy/base/error.hpp"

namespace fuchsiaproxy::peers
{

/// What the structure check found.
struct cbor_structure
{
    /// Pairs of all maps; a parsed document with fewer of them had a repeated key.
    std::size_t pairs = 0;
};

/// Checks that `bytes` are exactly one CBOR item without tags and indefinite lengths, with UTF-8
/// texts, maps with text keys and limited depth. It accepts types that no message uses now, because
/// a message of a later version is not broken.
///
/// It runs before nlohmann's reader, which recurses once per level and would overflow the stack on
/// a deep input. Thread safe.
base::result<cbor_structure> check_structure(std::string_view bytes);

} // namespace fuchsiaproxy::peers

#endif
