#include "fuchsiaproxy/metadata/share_store.hpp"

#include <exception>
#include <utility>

#include <nlohmann/json.hpp>

namespace fuchsiaproxy::metadata
{
namespace
{

using nlohmann::json;

json encode(base::cap_id const& cap, limits::share_owner const& owner,
            limits::share_reservation const& it)
{
    return {{"cap", cap.value()},
            {"instance", owner.instance.value()},
            {"incarnation", owner.number.value()},
            {"amount", it.amount},
            {"target", it.target},
            {"revision", it.revision}};
}

void decode(json const& row, limits::share_document& to)
{
    limits::share_owner const owner{base::instance_id(row.at("instance").get<std::string>()),
                                    base::incarnation(row.at("incarnation").get<std::uint64_t>())};
    auto& it = to.caps[base::cap_id(row.at("cap").get<std::string>())][owner];
    it.amount = row.at("amount").get<std::uint64_t>();
    it.target = row.at("target").get<std::uint64_t>();
    it.revision = row.at("revision").get<std::uint64_t>();
}

} // namespace

std::string share_key(base::availability_zone_id const& zone)
{
    return "shares/" + zone.value();
}

std::string to_json(limits::share_document const& document)
{
    auto reservations = json::array();
    for (auto const& cap : document.caps)
    {
        for (auto const& it : cap.second)
        {
            reservations.push_back(encode(cap.first, it.first, it.second));
        }
    }
    return json{{"revision", document.revision},
                {"version", document.version.value()},
                {"reservations", std::move(reservations)}}
        .dump();
}

base::result<limits::share_document> parse_share_document(std::string_view text)
{
    try
    {
        auto const parsed = json::parse(text);
        limits::share_document document;
        document.revision = parsed.at("revision").get<std::uint64_t>();
        document.version = base::config_version(parsed.at("version").get<std::uint64_t>());
        for (auto const& row : parsed.at("reservations"))
        {
            decode(row, document);
        }
        return document;
    }
    catch (json::exception const& ex)
    {
        return base::make_error(base::error_kind::bad_message,
                                std::string("share reservations: ") + ex.what());
    }
}

void share_store::load(base::availability_zone_id const& zone, load_handler done)
{
    store_.get(share_key(zone),
               [this, done = std::move(done)](base::result<stored_value> const& answer)
               {
                   if (!answer)
                   {
                       done(answer.error());
                       return;
                   }
                   revision_ = answer.value().revision;
                   done(answer.value().value ? parse_share_document(*answer.value().value)
                                             : limits::share_document{});
               });
}

void share_store::save(base::availability_zone_id const& zone,
                       limits::share_document const& document, store_handler done)
{
    store_.compare_and_swap(share_key(zone), revision_, to_json(document),
                            [this, done = std::move(done)](base::result<key_revision> const& answer)
                            {
                                if (answer)
                                {
                                    revision_ = answer.value();
                                }
                                done(answer.has_value());
                            });
}

} // namespace fuchsiaproxy::metadata
