#include "fuchsiaproxy/model/manifest.hpp"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <limits>
#include <set>
#include <utility>

#include <boost/outcome/try.hpp>

#include "fuchsiaproxy/model/json.hpp"
#include "json_codec.hpp"

namespace fuchsiaproxy::model
{
namespace
{

using detail::json_reader;
using nlohmann::json;

constexpr std::size_t hash_digits = std::size_t{2} * SHA256_DIGEST_LENGTH;
// 9999-12-31, the last day with a four-digit year.
constexpr std::uint64_t max_time_ms = 253'402'300'799'999;

void add_segment(std::vector<segment>& out, std::string name, configuration const& part)
{
    auto document = to_json(part);
    auto hash = content_hash(document);
    out.push_back(segment{std::move(name), std::move(hash), std::move(document)});
}

configuration part_of_service(configuration const& value, base::service_id const& id)
{
    configuration part;
    std::set<base::place_id> place_ids;
    for (auto const& it : value.services)
    {
        if (it.id == id)
        {
            part.services.push_back(it);
        }
    }
    for (auto const& it : value.places)
    {
        if (it.service == id)
        {
            place_ids.insert(it.id);
            part.places.push_back(it);
        }
    }
    for (auto const& it : value.shifts)
    {
        if (it.service == id)
        {
            part.shifts.push_back(it);
        }
    }
    for (auto const& it : value.drains)
    {
        if (place_ids.count(it.place) != 0)
        {
            part.drains.push_back(it);
        }
    }
    return part;
}

json encode(command_record const& it)
{
    return {{"command", it.command.value()},
            {"operator", it.by.value()},
            {"organisation", it.organisation.value()},
            {"version", it.version.value()},
            {"time_ms", it.at.time_since_epoch().count()},
            {"content_hash", it.content_hash}};
}

base::config_version read_version(json_reader const& in)
{
    return base::config_version(in.integer(0, std::numeric_limits<std::int64_t>::max()));
}

command_record decode_record(json_reader const& in)
{
    in.require_object(
        {"command", "operator", "organisation", "version", "time_ms", "content_hash"});
    command_record it;
    it.command = base::command_id(in.field("command").id());
    it.by = base::operator_id(in.field("operator").id());
    it.organisation = base::organisation_id(in.field("organisation").id());
    it.version = read_version(in.field("version"));
    it.at = wall_time(std::chrono::milliseconds(
        static_cast<std::int64_t>(in.field("time_ms").integer(0, max_time_ms))));
    it.content_hash = in.field("content_hash").hexadecimal(hash_digits, hash_digits);
    return it;
}

manifest decode_manifest(json_reader const& in)
{
    in.require_object({"version", "segments", "commands"});
    manifest it;
    it.version = read_version(in.field("version"));
    for (auto const& s : in.field("segments").elements())
    {
        s.require_object({"name", "hash"});
        it.segments.push_back(segment_reference{
            s.field("name").id(), s.field("hash").hexadecimal(hash_digits, hash_digits)});
    }
    for (auto const& c : in.field("commands").elements())
    {
        it.commands.append(decode_record(c));
    }
    return it;
}

} // namespace

void command_log::append(command_record it)
{
    records_.push_back(std::move(it));
    if (records_.size() > max_logged_commands)
    {
        records_.erase(records_.begin());
    }
}

command_record const* command_log::find(base::command_id const& command) const
{
    auto const it = std::find_if(records_.begin(), records_.end(),
                                 [&command](auto const& r) { return r.command == command; });
    return it == records_.end() ? nullptr : &*it;
}

command_record const* command_log::find(base::config_version version) const
{
    auto const it = std::find_if(records_.begin(), records_.end(),
                                 [version](auto const& r) { return r.version == version; });
    return it == records_.end() ? nullptr : &*it;
}

std::string content_hash(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(), digest.data());
    constexpr auto digits = "0123456789abcdef";
    std::string out;
    out.reserve(hash_digits);
    for (auto const byte : digest)
    {
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
    }
    return out;
}

std::vector<segment> split_into_segments(configuration const& value)
{
    auto const whole = canonical(value);
    std::vector<segment> out;
    configuration setup;
    setup.zones = whole.zones;
    setup.delays = whole.delays;
    add_segment(out, "setup", setup);
    configuration members;
    members.members = whole.members;
    members.joins = whole.joins;
    add_segment(out, "members", members);
    for (auto const& it : whole.services)
    {
        add_segment(out, "service-" + it.id.value(), part_of_service(whole, it.id));
    }
    configuration caps;
    caps.caps = whole.caps;
    add_segment(out, "caps", caps);
    return out;
}

base::result<configuration> assemble(manifest const& head, segment_documents const& documents)
{
    std::vector<named_document> parts;
    for (auto const& it : head.segments)
    {
        auto const found = documents.find(it.hash);
        if (found == documents.end())
        {
            return base::make_error(base::error_kind::not_found,
                                    "segment " + it.name + " with hash " + it.hash + " is missing");
        }
        if (content_hash(found->second) != it.hash)
        {
            return base::make_error(base::error_kind::invalid_configuration,
                                    "segment " + it.name + " does not have the hash " + it.hash);
        }
        parts.push_back(named_document{it.name, found->second});
    }
    BOOST_OUTCOME_TRY(whole, parse_declarations(parts));
    whole.version = head.version;
    return canonical(std::move(whole));
}

std::string to_json(manifest const& value)
{
    auto segments = json::array();
    for (auto const& it : value.segments)
    {
        segments.push_back({{"name", it.name}, {"hash", it.hash}});
    }
    auto commands = json::array();
    for (auto const& it : value.commands.records())
    {
        commands.push_back(encode(it));
    }
    return json{{"version", value.version.value()},
                {"segments", std::move(segments)},
                {"commands", std::move(commands)}}
        .dump();
}

base::result<manifest> parse_manifest(std::string_view text)
{
    return detail::catch_exceptions(
        [text]
        {
            auto const document = detail::parse_strictly(text);
            return decode_manifest(json_reader(document, ""));
        });
}

std::string to_text(wall_time at)
{
    auto const ms = at.time_since_epoch().count();
    auto const seconds = static_cast<std::time_t>(ms / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 64> buf{};
    std::snprintf(buf.data(), buf.size(), "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                  parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday, parts.tm_hour,
                  parts.tm_min, parts.tm_sec, static_cast<int>(ms % 1000));
    return buf.data();
}

std::string describe(command_record const& it)
{
    return "version " + std::to_string(it.version.value()) + " by " + it.by.value() + " of " +
           it.organisation.value() + " at " + to_text(it.at);
}

} // namespace fuchsiaproxy::model
