#ifndef FUCHSIAPROXY_OPERATORS_BURN_TEXT_HPP
#define FUCHSIAPROXY_OPERATORS_BURN_TEXT_HPP

#include <string>

#include "fuchsiaproxy/operators/burn.hpp"

namespace fuchsiaproxy::operators
{

/// Returns the report as a table, followed by the entries that are missing from it. Thread safe.
std::string to_text(burn_report const& it);

/// Returns the report as one HTML file with inline SVG plots; it refers to nothing outside itself.
/// Thread safe.
std::string to_html(burn_report const& it);

} // namespace fuchsiaproxy::operators

#endif
