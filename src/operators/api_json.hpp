#ifndef FUCHSIAPROXY_OPERATORS_API_JSON_HPP
#define FUCHSIAPROXY_OPERATORS_API_JSON_HPP

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "fuchsiaproxy/operators/api_router.hpp"

namespace fuchsiaproxy::operators
{

/// Body of `POST /v1/changes`.
struct change_body
{
    base::command_id command;
    base::config_version base_version;
    std::vector<model::change> changes;
};

/// Body of `POST /v1/bootstrap`.
struct bootstrap_body
{
    base::command_id command;
    model::configuration first;
};

base::result<change_body> parse_change_body(std::string_view text);
base::result<bootstrap_body> parse_bootstrap_body(std::string_view text);

nlohmann::json to_json(change_receipt const& it);
nlohmann::json to_json(model::command_record const& it);
nlohmann::json to_json(entry_status const& it);
nlohmann::json to_json(explanation const& it);
nlohmann::json to_json(burn_report const& it);

/// Parses a burn report as written by `to_json`. Fails with `bad_message`.
base::result<burn_report> parse_burn_report(nlohmann::json const& text);

api_answer json_answer(nlohmann::json const& body);
api_answer error_answer(base::error const& it);

/// Returns the error kind with this name, or `internal` if there is none.
base::error_kind error_kind_from_name(std::string_view name);

} // namespace fuchsiaproxy::operators

#endif
