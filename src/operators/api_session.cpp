#include "api_session.hpp"

#include <utility>

#include <boost/outcome/try.hpp>

#include "api_json.hpp"
#include "fuchsiaproxy/model/json.hpp"

namespace fuchsiaproxy::operators
{
namespace
{

using base::error_kind;
using base::make_error;
using nlohmann::json;

// All attempts have the same command id, so repeating a command with an unknown outcome is safe.
constexpr int max_command_attempts = 3;
constexpr std::chrono::milliseconds retry_delay{500};

base::error error_of(api_answer const& answer)
{
    auto const body = json::parse(answer.body, nullptr, false);
    bool const known = body.is_object() && body.contains("error") && body["error"].is_string() &&
                       body.contains("message") && body["message"].is_string();
    if (!known)
    {
        return make_error(error_kind::bad_message,
                          "expected an answer of the operators' API, found status " +
                              std::to_string(answer.status));
    }
    return make_error(error_kind_from_name(body["error"].get<std::string>()),
                      body["message"].get<std::string>());
}

bool is_outcome_unknown(error_kind kind)
{
    return kind == error_kind::may_have_run || kind == error_kind::store_answer_unknown;
}

/// Returns whether an error of a repeated command proves that no attempt was accepted. Other
/// errors, such as a failed read of the head, leave the outcome of earlier attempts unknown.
bool proves_not_accepted(error_kind kind)
{
    return kind == error_kind::conflict || kind == error_kind::invalid_configuration ||
           kind == error_kind::forbidden || kind == error_kind::not_found ||
           kind == error_kind::invalid_command;
}

} // namespace

base::result<void> api_session::ensure_open()
{
    if (transport_)
    {
        return boost::outcome_v2::success();
    }
    if (env_.id.value().empty())
    {
        return make_error(error_kind::invalid_command,
                          "operator: expected the id of an operator, see --operator");
    }
    BOOST_OUTCOME_TRY(key, env_.read_key("key of " + env_.id.value()));
    BOOST_OUTCOME_TRY(transport, env_.connect());
    authorization_ = basic_authorization(env_.id.value(), key);
    transport_ = std::move(transport);
    return boost::outcome_v2::success();
}

base::result<json> api_session::send(std::string const& method, std::string const& target,
                                     std::string const& body)
{
    BOOST_OUTCOME_TRYV(ensure_open());
    BOOST_OUTCOME_TRY(answer, transport_->send({method, target, authorization_, body}));
    if (answer.status != 200)
    {
        return error_of(answer);
    }
    auto document = json::parse(answer.body, nullptr, false);
    if (!document.is_object())
    {
        return make_error(error_kind::bad_message,
                          target + ": expected a JSON object as the answer");
    }
    return document;
}

base::result<json> api_session::get(std::string const& target)
{
    return send("GET", target, "");
}

base::result<model::configuration> api_session::configuration(std::string const& source)
{
    BOOST_OUTCOME_TRY(answer, get("/v1/configuration?source=" + source));
    if (!answer.contains("configuration"))
    {
        return make_error(error_kind::bad_message, "expected a configuration as the answer");
    }
    return model::parse_configuration(answer["configuration"].dump());
}

base::result<json> api_session::command(std::string const& target, json body)
{
    auto const id = env_.repeated_id.value().empty() ? env_.new_command_id() : env_.repeated_id;
    body["command"] = id.value();
    auto const text = body.dump();
    auto first = send("POST", target, text);
    if (first || !is_outcome_unknown(first.error().kind))
    {
        return first;
    }
    for (int n = 1; n < max_command_attempts; ++n)
    {
        env_.pause(retry_delay);
        auto again = send("POST", target, text);
        if (again || proves_not_accepted(again.error().kind))
        {
            return again;
        }
    }
    return make_error(first.error().kind,
                      first.error().message + "; command \"" + id.value() +
                          "\" may have been accepted, repeat it with --command-id " + id.value() +
                          " or look for it in the history");
}

base::result<json> api_session::change(base::config_version base_version,
                                       std::vector<model::change> const& changes)
{
    return command("/v1/changes", {{"base_version", base_version.value()},
                                   {"changes", json::parse(model::to_json(changes))}});
}

base::result<json> api_session::bootstrap(model::configuration const& first)
{
    return command("/v1/bootstrap", {{"configuration", json::parse(model::to_json(first))}});
}

std::string encode_percent(std::string const& text)
{
    constexpr auto digits = "0123456789ABCDEF";
    std::string out;
    for (unsigned char const c : text)
    {
        bool const plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
        if (plain)
        {
            out += static_cast<char>(c);
            continue;
        }
        out += '%';
        out += digits[c >> 4U];
        out += digits[c & 15U];
    }
    return out;
}

} // namespace fuchsiaproxy::operators
