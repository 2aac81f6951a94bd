#ifndef FUCHSIAPROXY_OPERATORS_API_SESSION_HPP
#define FUCHSIAPROXY_OPERATORS_API_SESSION_HPP

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fuchsiaproxy/operators/console.hpp"

namespace fuchsiaproxy::operators
{

/// Client of the operators' API for one operator. Connects and reads the key at the first call.
class api_session
{
public:
    explicit api_session(console_environment const& environment) : env_(environment) {}

    /// Reads `target` and returns the body of the answer.
    base::result<nlohmann::json> get(std::string const& target);

    /// Reads the configuration with its version; `source` is "store" or "entry".
    base::result<model::configuration> configuration(std::string const& source);

    /// Sends changes against `base_version` and returns the receipt.
    base::result<nlohmann::json> change(base::config_version base_version,
                                        std::vector<model::change> const& changes);

    /// Sends the first version and returns the receipt.
    base::result<nlohmann::json> bootstrap(model::configuration const& first);

private:
    base::result<void> ensure_open();
    base::result<nlohmann::json> send(std::string const& method, std::string const& target,
                                      std::string const& body);
    base::result<nlohmann::json> command(std::string const& target, nlohmann::json body);

    console_environment const& env_;
    std::unique_ptr<api_transport> transport_;
    std::string authorization_;
};

/// Percent-encodes `text` for use in a query field of a URL.
std::string encode_percent(std::string const& text);

} // namespace fuchsiaproxy::operators

#endif
