#include "fuchsiaproxy/operators/api_router.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "api_json.hpp"
#include "fuchsiaproxy/model/json.hpp"

namespace fuchsiaproxy::operators
{
namespace
{

using base::error_kind;
using base::make_error;
using nlohmann::json;

constexpr std::size_t max_credentials = 1024;

struct credentials
{
    base::operator_id id;
    std::string key;
};

/// Decodes `Basic <base64 of id:key>`.
base::result<credentials> parse_authorization(std::string const& header)
{
    auto const refused = make_error(error_kind::unauthenticated,
                                    "Authorization: expected HTTP basic authentication with the "
                                    "id and the key of an operator");
    std::string const scheme = "Basic ";
    if (header.compare(0, scheme.size(), scheme) != 0 || header.size() > max_credentials)
    {
        return refused;
    }
    auto const text = header.substr(scheme.size());
    std::vector<unsigned char> buf(text.size() + 1);
    auto const n = EVP_DecodeBlock(buf.data(), reinterpret_cast<unsigned char const*>(text.data()),
                                   static_cast<int>(text.size()));
    if (n < 0)
    {
        return refused;
    }
    std::string decoded(buf.begin(), buf.begin() + n);
    // The decoder returns padding as zero bytes.
    decoded.resize(decoded.find_last_not_of('\0') + 1);
    auto const colon = decoded.find(':');
    if (colon == std::string::npos)
    {
        return refused;
    }
    return credentials{base::operator_id(decoded.substr(0, colon)), decoded.substr(colon + 1)};
}

std::string decode_percent(std::string const& text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        auto const digits = text.substr(n + 1, 2);
        if (text[n] == '%' && digits.size() == 2 &&
            digits.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos)
        {
            out += static_cast<char>(std::stoi(digits, nullptr, 16));
            n += 2;
            continue;
        }
        out += text[n] == '+' ? ' ' : text[n];
    }
    return out;
}

std::map<std::string, std::string> parse_query(std::string const& text)
{
    std::map<std::string, std::string> out;
    std::size_t begin = 0;
    while (begin < text.size())
    {
        auto const end = std::min(text.find('&', begin), text.size());
        auto const field = text.substr(begin, end - begin);
        auto const equals = std::min(field.find('='), field.size());
        auto const value = equals < field.size() ? field.substr(equals + 1) : std::string();
        out[decode_percent(field.substr(0, equals))] = decode_percent(value);
        begin = end + 1;
    }
    return out;
}

std::string value_of(std::map<std::string, std::string> const& query, std::string const& name)
{
    auto const it = query.find(name);
    return it == query.end() ? std::string() : it->second;
}

/// Overwrites the salts and key hashes of other organisations with zeros. Only an organisation's
/// own operators may read them.
model::configuration mask_foreign_keys(model::configuration value, base::organisation_id const& own)
{
    auto const mask_keys = [&own](auto& organisations)
    {
        for (auto& it : organisations)
        {
            for (auto& key : it.operators)
            {
                if (it.id != own)
                {
                    key.salt.assign(key.salt.size(), '0');
                    key.hash.assign(key.hash.size(), '0');
                }
            }
        }
    };
    mask_keys(value.members);
    mask_keys(value.joins);
    return value;
}

json configuration_body(model::configuration const& value, identity const& who,
                        std::string const& source)
{
    return {
        {"version", value.version.value()},
        {"source", source},
        {"configuration", json::parse(model::to_json(mask_foreign_keys(value, who.organisation)))}};
}

} // namespace

api_router::api_router(api_dependencies dependencies) : dependencies_(std::move(dependencies)) {}

void api_router::handle(api_request const& request, handler done)
{
    auto const query_start = std::min(request.target.find('?'), request.target.size());
    auto const path = request.target.substr(0, query_start);
    if (path == "/healthz" || path == "/readyz" || path == "/metrics")
    {
        route_without_key(path, done);
        return;
    }
    static std::set<std::string> const reads{"/v1/configuration", "/v1/history", "/v1/entries",
                                             "/v1/explain", "/v1/burn"};
    static std::set<std::string> const writes{"/v1/changes", "/v1/bootstrap"};
    bool const known = reads.count(path) != 0 || writes.count(path) != 0;
    if (!known)
    {
        done(error_answer(make_error(error_kind::not_found, "path " + path + " does not exist")));
        return;
    }
    std::string const method = reads.count(path) != 0 ? "GET" : "POST";
    if (request.method != method)
    {
        done(error_answer(make_error(error_kind::bad_request, path + ": expected method " + method +
                                                                  ", found " + request.method)));
        return;
    }
    if (path == "/v1/bootstrap")
    {
        bootstrap(request, std::move(done));
        return;
    }
    auto const given = parse_authorization(request.authorization);
    if (!given)
    {
        done(error_answer(given.error()));
        return;
    }
    auto const adopted = dependencies_.daemon.adopted();
    if (!adopted)
    {
        done(error_answer(
            make_error(error_kind::not_ready, "this entry has no accepted configuration yet")));
        return;
    }
    auto const who = authenticator_.authenticate(*adopted, given.value().id, given.value().key);
    if (!who)
    {
        done(error_answer(who.error()));
        return;
    }
    if (path == "/v1/changes")
    {
        change(request.body, who.value(), std::move(done));
        return;
    }
    auto const query = request.target.substr(std::min(query_start + 1, request.target.size()));
    route_read(path, parse_query(query), who.value(), std::move(done));
}

void api_router::route_without_key(std::string const& path, handler const& done)
{
    if (path == "/metrics")
    {
        done({200, "text/plain; version=0.0.4", dependencies_.metrics()});
        return;
    }
    bool const good = path == "/healthz" || dependencies_.daemon.ready();
    done({good ? 200U : 503U, "text/plain", good ? "ok\n" : "not ready\n"});
}

void api_router::route_read(std::string const& path, query_fields const& query, identity const& who,
                            handler done)
{
    if (path == "/v1/configuration")
    {
        read_configuration(query, who, std::move(done));
    }
    else if (path == "/v1/history")
    {
        read_history(std::move(done));
    }
    else if (path == "/v1/entries")
    {
        read_entries(std::move(done));
    }
    else if (path == "/v1/explain")
    {
        read_explanation(query, std::move(done));
    }
    else
    {
        read_burn(std::move(done));
    }
}

void api_router::change(std::string const& body, identity const& who, handler done)
{
    auto parsed = parse_change_body(body);
    if (!parsed)
    {
        done(error_answer(parsed.error()));
        return;
    }
    model::change_command command{parsed.value().command, who.id,
                                  who.organisation,       parsed.value().base_version,
                                  dependencies_.now(),    parsed.value().changes};
    dependencies_.configurations.apply(
        std::move(command), dependencies_.daemon.loads(),
        [done = std::move(done)](base::result<change_receipt> it)
        { done(it ? json_answer(to_json(it.value())) : error_answer(it.error())); });
}

void api_router::bootstrap(api_request const& request, handler done)
{
    auto const given = parse_authorization(request.authorization);
    if (!given)
    {
        done(error_answer(given.error()));
        return;
    }
    auto parsed = parse_bootstrap_body(request.body);
    if (!parsed)
    {
        done(error_answer(parsed.error()));
        return;
    }
    auto const& first = parsed.value().first;
    auto const who = authenticator_.authenticate(first, given.value().id, given.value().key);
    if (!who)
    {
        done(error_answer(who.error()));
        return;
    }
    model::change_command command{parsed.value().command,   who.value().id,
                                  who.value().organisation, base::config_version(0),
                                  dependencies_.now(),      {}};
    dependencies_.configurations.bootstrap(
        first, std::move(command),
        [done = std::move(done)](base::result<change_receipt> it)
        { done(it ? json_answer(to_json(it.value())) : error_answer(it.error())); });
}

void api_router::read_configuration(query_fields const& query, identity const& who, handler done)
{
    auto const source = value_of(query, "source");
    if (!source.empty() && source != "entry" && source != "store")
    {
        done(error_answer(
            make_error(error_kind::bad_request, "source: expected \"store\" or \"entry\"")));
        return;
    }
    if (source == "entry")
    {
        done(json_answer(configuration_body(*dependencies_.daemon.adopted(), who, source)));
        return;
    }
    dependencies_.configurations.read(
        [who, done = std::move(done)](base::result<current_configuration> it)
        {
            done(it ? json_answer(configuration_body(*it.value().value, who, "store"))
                    : error_answer(it.error()));
        });
}

void api_router::read_history(handler done)
{
    dependencies_.configurations.read(
        [done = std::move(done)](base::result<current_configuration> it)
        {
            if (!it)
            {
                done(error_answer(it.error()));
                return;
            }
            auto out = json::array();
            for (auto const& record : it.value().head.commands.records())
            {
                out.push_back(to_json(record));
            }
            done(json_answer({{"commands", std::move(out)}}));
        });
}

void api_router::read_entries(handler done)
{
    dependencies_.daemon.entries(
        [this, done = std::move(done)](base::result<std::vector<entry_status>> it)
        {
            dependencies_.post(
                [it = std::move(it), done]
                {
                    if (!it)
                    {
                        done(error_answer(it.error()));
                        return;
                    }
                    auto out = json::array();
                    for (auto const& entry : it.value())
                    {
                        out.push_back(to_json(entry));
                    }
                    done(json_answer({{"entries", std::move(out)}}));
                });
        });
}

void api_router::read_explanation(query_fields const& query, handler done)
{
    explain_query what{base::service_id(value_of(query, "service")), value_of(query, "method"),
                       value_of(query, "path"),
                       base::availability_zone_id(value_of(query, "zone"))};
    if (what.service.value().empty() || what.method.empty() || what.path.empty())
    {
        done(error_answer(make_error(error_kind::bad_request,
                                     "expected the query fields service, method and path")));
        return;
    }
    dependencies_.daemon.explain(
        std::move(what),
        [this, done = std::move(done)](base::result<explanation> it)
        {
            dependencies_.post(
                [it = std::move(it), done]
                { done(it ? json_answer(to_json(it.value())) : error_answer(it.error())); });
        });
}

void api_router::read_burn(handler done)
{
    dependencies_.daemon.entries(
        [this, done = std::move(done)](base::result<std::vector<entry_status>> entries)
        {
            if (!entries)
            {
                dependencies_.post([error = entries.error(), done] { done(error_answer(error)); });
                return;
            }
            std::vector<messages::entry_info> known;
            for (auto const& it : entries.value())
            {
                known.push_back(it.info);
            }
            auto finish = [this, known = std::move(known),
                           done](base::result<std::vector<messages::counters>> const& it)
            {
                auto const adopted = dependencies_.daemon.adopted();
                if (!it || !adopted)
                {
                    done(error_answer(it ? make_error(error_kind::not_ready,
                                                      "this entry has no configuration yet")
                                         : it.error()));
                    return;
                }
                record(it.value());
                done(json_answer(to_json(calculate_burn(*adopted, burn_.samples(),
                                                        missing_entries(known, it.value())))));
            };
            dependencies_.post(
                [this, finish = std::move(finish)]
                {
                    dependencies_.daemon.counters(
                        [this, finish](base::result<std::vector<messages::counters>> it)
                        { dependencies_.post([finish, it = std::move(it)] { finish(it); }); });
                });
        });
}

void api_router::sample_burn()
{
    dependencies_.daemon.counters(
        [this](base::result<std::vector<messages::counters>> it)
        {
            if (it)
            {
                dependencies_.post([this, it = std::move(it)] { record(it.value()); });
            }
        });
}

void api_router::record(std::vector<messages::counters> const& counts)
{
    auto const at =
        std::chrono::duration_cast<std::chrono::seconds>(dependencies_.now().time_since_epoch());
    // The wall clock may be set back, but the times of samples must not decrease.
    auto const last = burn_.samples().empty() ? at : burn_.samples().back().at;
    burn_.record(std::max(at, last), counts);
}

} // namespace fuchsiaproxy::operators
