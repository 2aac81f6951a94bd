#ifndef FUCHSIAPROXY_OPERATORS_DECLARATIONS_HPP
#define FUCHSIAPROXY_OPERATORS_DECLARATIONS_HPP

#include <string>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::operators
{

/// Reads the `*.json` files in `folder`, in order of their names, as parts of one configuration.
/// Subfolders are not read. Fails with `not_found` if the folder does not exist or has no such
/// file, and as `model::parse_declarations` does. Thread safe.
base::result<model::configuration> load_declarations(std::string const& folder);

/// Reads one file of declarations. Thread safe.
base::result<model::configuration> load_declaration_file(std::string const& file);

} // namespace fuchsiaproxy::operators

#endif
