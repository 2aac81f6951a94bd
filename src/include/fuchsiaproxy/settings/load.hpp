#ifndef FUCHSIAPROXY_SETTINGS_LOAD_HPP
#define FUCHSIAPROXY_SETTINGS_LOAD_HPP

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/settings/daemon_settings.hpp"

namespace fuchsiaproxy::settings
{

/// Reads a whole file. Fails with `invalid_settings` if it cannot be read. Thread safe.
base::result<std::string> read_file(std::string const& path);

/// Value of one setting that the environment or the command line overrides. `path` is in dotted
/// form, such as "listen.callers.port"; `value` is JSON or, failing that, a string.
struct override_value
{
    std::string path;
    std::string value;
};

/// Prefix of environment variables that override a setting: FUCHSIAPROXY_LISTEN__CALLERS__PORT
/// overrides listen.callers.port.
constexpr std::string_view environment_prefix = "FUCHSIAPROXY_";

/// Builds the settings from the text of a settings file and the overrides, which are applied in
/// order: later ones take precedence over earlier ones, and all of them over the file. The error
/// message has one line per invalid setting, with its path in the file and the expected value.
/// Thread safe.
base::result<daemon_settings> load(std::string_view file_text,
                                   std::vector<override_value> const& overrides);

/// Returns the overrides among the environment `variables`, each in the form "NAME=value", sorted
/// by name. Thread safe.
std::vector<override_value> overrides_from_environment(std::vector<std::string> const& variables);

/// Splits "path=value" as given to `--set`. Thread safe.
base::result<override_value> parse_override(std::string_view text);

/// Returns the JSON schema of the settings file. Thread safe.
std::string_view schema_text() noexcept;

/// Returns the reference page of the settings in Markdown, generated from the schema. Thread safe.
std::string reference_page();

} // namespace fuchsiaproxy::settings

#endif
