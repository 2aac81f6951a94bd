#ifndef FUCHSIAPROXY_ENGINE_SRC_CLASSIFY_HPP
#define FUCHSIAPROXY_ENGINE_SRC_CLASSIFY_HPP

#include <cstddef>
#include <string_view>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::engine
{

/// Returns the index of the class of a request: among the classes whose method and path prefix
/// match, the one with the longest prefix, the first of several; the last class if none matches.
/// Precondition: `declared` has a class. Thread safe.
std::size_t class_of(model::service const& declared, std::string_view method,
                     std::string_view target);

/// Returns the longest deadline of the classes of `declared`. Thread safe.
base::duration longest_deadline(model::service const& declared);

} // namespace fuchsiaproxy::engine

#endif
