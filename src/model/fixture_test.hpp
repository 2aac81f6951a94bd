#ifndef FUCHSIAPROXY_MODEL_FIXTURE_TEST_HPP
#define FUCHSIAPROXY_MODEL_FIXTURE_TEST_HPP

#include <string>

#include "fuchsiaproxy/model/apply_change.hpp"
#include "fuchsiaproxy/model/json.hpp"

namespace fuchsiaproxy::model::test
{

inline member member_with_operator(std::string const& id)
{
    operator_key key{base::operator_id(id + "-op"), std::string(32, 'a'), std::string(64, 'b')};
    return member{base::organisation_id(id), {key}};
}

inline join_request join_of(std::string const& id)
{
    return join_request{base::organisation_id(id), member_with_operator(id).operators, {}};
}

inline place place_of(std::string const& service, std::string const& zone, std::uint16_t port)
{
    auto const id = service + "-" + zone;
    place it{base::place_id(id), base::service_id(service), base::availability_zone_id(zone), {}};
    it.upstreams.push_back(
        upstream{base::upstream_id(id), {"127.0.0.1", port}, base::slot_count(4), 400});
    return it;
}

inline service service_of(std::string const& id, std::string const& organisation)
{
    service it;
    it.id = base::service_id(id);
    it.organisation = base::organisation_id(organisation);
    request_class other;
    other.name = "other";
    other.deadline = std::chrono::milliseconds(500);
    it.classes = {other};
    return it;
}

/// Two zones, service `s` of organisation `one` and service `t` of organisation `two`; each service
/// has a place in both zones.
inline configuration two_members()
{
    configuration c;
    c.version = base::config_version(1);
    c.zones = {{base::availability_zone_id("a"), base::region_id("r")},
               {base::availability_zone_id("b"), base::region_id("r")}};
    c.members = {member_with_operator("one"), member_with_operator("two")};
    c.services = {service_of("s", "one"), service_of("t", "two")};
    c.places = {place_of("s", "a", 1), place_of("s", "b", 2), place_of("t", "a", 3),
                place_of("t", "b", 4)};
    cap limit;
    limit.id = base::cap_id("c");
    limit.organisation = base::organisation_id("one");
    limit.limit = 10;
    limit.split = {{base::availability_zone_id("a"), 4}, {base::availability_zone_id("b"), 6}};
    c.caps = {limit};
    return c;
}

inline shift shift_of(std::string const& from, std::string const& to, std::uint32_t percent)
{
    shift it;
    it.id = base::shift_id(from + "-to-" + to);
    it.organisation = base::organisation_id("one");
    it.service = base::service_id("s");
    it.from = base::place_id(from);
    it.to = base::place_id(to);
    it.percent = percent;
    return it;
}

inline drain drain_of(std::string const& place_name, std::string const& organisation)
{
    return drain{base::drain_id(place_name), base::organisation_id(organisation),
                 base::place_id(place_name)};
}

inline manifest head_of(configuration const& c)
{
    manifest head;
    head.version = c.version;
    return head;
}

inline change_command command_of(std::string const& id, std::string const& organisation,
                                 std::uint64_t base_version, std::vector<change> changes)
{
    return change_command{base::command_id(id),
                          base::operator_id(organisation + "-op"),
                          base::organisation_id(organisation),
                          base::config_version(base_version),
                          wall_time(std::chrono::milliseconds(0)),
                          std::move(changes)};
}

} // namespace fuchsiaproxy::model::test

#endif
