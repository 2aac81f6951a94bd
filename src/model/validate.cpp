#include "fuchsiaproxy/model/validate.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include <boost/outcome/try.hpp>

namespace fuchsiaproxy::model
{
namespace
{

using check_result = base::result<void>;

check_result passed()
{
    return boost::outcome_v2::success();
}

check_result failed(std::string const& path, std::string const& expected)
{
    return base::make_error(base::error_kind::invalid_configuration,
                            path + ": expected " + expected);
}

std::string quote(std::string const& text)
{
    return "\"" + text + "\"";
}

template <class T>
std::string path_of(char const* section, T const& it)
{
    return "/" + std::string(section) + "/" + it.id.value();
}

template <class Items, class Id>
auto const* find(Items const& items, Id const& id)
{
    auto const it =
        std::find_if(items.begin(), items.end(), [&id](auto const& item) { return item.id == id; });
    return it == items.end() ? nullptr : &*it;
}

std::uint64_t slots_of(place const& it)
{
    std::uint64_t sum = 0;
    for (auto const& u : it.upstreams)
    {
        sum += u.slots.value();
    }
    return sum;
}

bool is_drained(configuration const& c, base::place_id const& id)
{
    return std::any_of(c.drains.begin(), c.drains.end(),
                       [&id](drain const& it) { return it.place == id; });
}

template <class Items>
check_result check_unique(char const* section, Items const& items)
{
    std::set<std::string> seen;
    for (auto const& it : items)
    {
        if (!seen.insert(it.id.value()).second)
        {
            return failed(path_of(section, it), "an id that is declared once");
        }
    }
    return passed();
}

check_result check_unique_ids(configuration const& c)
{
    BOOST_OUTCOME_TRYV(check_unique("zones", c.zones));
    BOOST_OUTCOME_TRYV(check_unique("members", c.members));
    BOOST_OUTCOME_TRYV(check_unique("joins", c.joins));
    BOOST_OUTCOME_TRYV(check_unique("services", c.services));
    BOOST_OUTCOME_TRYV(check_unique("places", c.places));
    BOOST_OUTCOME_TRYV(check_unique("caps", c.caps));
    BOOST_OUTCOME_TRYV(check_unique("shifts", c.shifts));
    return check_unique("drains", c.drains);
}

/// Operator ids must be unique across organisations, because authentication looks operators up by
/// id alone.
check_result check_members(configuration const& c)
{
    if (c.members.empty())
    {
        return failed("/members", "at least one member");
    }
    std::set<base::operator_id> seen;
    auto const check_operators = [&seen](std::string const& path, auto const& organisation)
    {
        if (organisation.operators.empty())
        {
            return failed(path + "/operators", "at least one operator");
        }
        for (auto const& it : organisation.operators)
        {
            if (!seen.insert(it.id).second)
            {
                return failed(path + "/operators/" + it.id.value(),
                              "an operator id that no other operator has");
            }
        }
        return passed();
    };
    for (auto const& it : c.members)
    {
        BOOST_OUTCOME_TRYV(check_operators(path_of("members", it), it));
    }
    for (auto const& it : c.joins)
    {
        if (find(c.members, it.id) != nullptr)
        {
            return failed(path_of("joins", it), "an organisation that is not a member yet");
        }
        BOOST_OUTCOME_TRYV(check_operators(path_of("joins", it), it));
        for (auto const& by : it.approvals)
        {
            if (find(c.members, by) == nullptr)
            {
                return failed(path_of("joins", it) + "/approvals",
                              "approvals by members, found " + quote(by.value()));
            }
        }
    }
    return passed();
}

check_result check_organisation(configuration const& c, std::string const& path,
                                base::organisation_id const& id)
{
    if (find(c.members, id) == nullptr)
    {
        return failed(path + "/organisation", "a member, found " + quote(id.value()));
    }
    return passed();
}

check_result check_place(configuration const& c, place const& it)
{
    auto const path = path_of("places", it);
    if (find(c.services, it.service) == nullptr)
    {
        return failed(path + "/service", "a declared service, found " + quote(it.service.value()));
    }
    if (find(c.zones, it.zone) == nullptr)
    {
        return failed(path + "/zone", "a declared zone, found " + quote(it.zone.value()));
    }
    return passed();
}

check_result check_upstreams(configuration const& c)
{
    std::set<base::upstream_id> ids;
    std::set<std::pair<std::string, std::uint16_t>> endpoints;
    for (auto const& at : c.places)
    {
        for (auto const& it : at.upstreams)
        {
            auto const path = path_of("places", at) + "/upstreams/" + it.id.value();
            if (!ids.insert(it.id).second)
            {
                return failed(path, "an id that no other upstream has");
            }
            if (!endpoints.emplace(it.at.address, it.at.port).second)
            {
                return failed(path, "an address and port that no other upstream has, found " +
                                        it.at.address + ":" + std::to_string(it.at.port));
            }
        }
    }
    return passed();
}

check_result check_service(configuration const& c, service const& it, place_loads const& loads)
{
    auto const path = path_of("services", it);
    BOOST_OUTCOME_TRYV(check_organisation(c, path, it.organisation));
    if (it.classes.empty())
    {
        return failed(path + "/classes", "at least one class");
    }
    std::uint64_t declared_slots = 0;
    std::uint64_t undrained_slots = 0;
    double load = 0;
    for (auto const& at : c.places)
    {
        if (at.service != it.id)
        {
            continue;
        }
        auto const known = loads.find(at.id);
        load += known == loads.end() ? 0 : known->second;
        declared_slots += slots_of(at);
        undrained_slots += is_drained(c, at.id) ? 0 : slots_of(at);
    }
    if (declared_slots == 0)
    {
        return failed(path, "at least one place with an upstream");
    }
    if (undrained_slots == 0)
    {
        return failed(path, "at least one place with an upstream that is not drained");
    }
    if (load > static_cast<double>(undrained_slots))
    {
        return failed(path, "its load of " + std::to_string(load) + " busy slots to fit the " +
                                std::to_string(undrained_slots) + " slots of its undrained places");
    }
    return passed();
}

check_result check_cap_end(configuration const& c, cap const& it, std::string const& name,
                           cap_end const& end)
{
    auto const path = path_of("caps", it) + "/" + name;
    bool const has_region = !end.region.value().empty();
    bool const has_place = !end.place.value().empty();
    if (has_region && has_place)
    {
        return failed(path, "a region or a place, not both");
    }
    if (has_region && std::none_of(c.zones.begin(), c.zones.end(),
                                   [&end](auto const& z) { return z.region == end.region; }))
    {
        return failed(path + "/region", "a declared region, found " + quote(end.region.value()));
    }
    if (!has_place)
    {
        return passed();
    }
    auto const* at = find(c.places, end.place);
    if (at == nullptr)
    {
        return failed(path + "/place", "a declared place, found " + quote(end.place.value()));
    }
    auto const* owner = find(c.services, at->service);
    if (owner != nullptr && owner->organisation != it.organisation)
    {
        return failed(path + "/place", "a place of " + quote(it.organisation.value()) +
                                           ", found one of " + quote(owner->organisation.value()));
    }
    return passed();
}

check_result check_cap(configuration const& c, cap const& it)
{
    auto const path = path_of("caps", it);
    BOOST_OUTCOME_TRYV(check_organisation(c, path, it.organisation));
    BOOST_OUTCOME_TRYV(check_cap_end(c, it, "from", it.from));
    BOOST_OUTCOME_TRYV(check_cap_end(c, it, "to", it.to));
    std::uint64_t sum = 0;
    for (auto const& [zone, part] : it.split)
    {
        if (find(c.zones, zone) == nullptr)
        {
            return failed(path + "/split/" + zone.value(), "a declared zone");
        }
        // Compares before adding, so that the sum cannot overflow.
        if (part > it.limit - sum)
        {
            return failed(path + "/split",
                          "a sum of at most the limit, " + std::to_string(it.limit));
        }
        sum += part;
    }
    return passed();
}

check_result check_drain(configuration const& c, drain const& it)
{
    auto const path = path_of("drains", it);
    auto const* at = find(c.places, it.place);
    if (at == nullptr)
    {
        return failed(path + "/place", "a declared place, found " + quote(it.place.value()));
    }
    auto const* owner = find(c.services, at->service);
    if (owner != nullptr && owner->organisation != it.organisation)
    {
        return failed(path + "/organisation", "the place's organisation, " +
                                                  quote(owner->organisation.value()) + ", found " +
                                                  quote(it.organisation.value()));
    }
    return passed();
}

check_result check_shift_end(configuration const& c, shift const& it, std::string const& name,
                             base::place_id const& id)
{
    auto const path = path_of("shifts", it) + "/" + name;
    auto const* at = find(c.places, id);
    if (at == nullptr)
    {
        return failed(path, "a declared place, found " + quote(id.value()));
    }
    if (at->service != it.service)
    {
        return failed(path, "a place of service " + quote(it.service.value()) + ", found one of " +
                                quote(at->service.value()));
    }
    return passed();
}

check_result check_shift(configuration const& c, shift const& it)
{
    auto const path = path_of("shifts", it);
    auto const* owner = find(c.services, it.service);
    if (owner == nullptr)
    {
        return failed(path + "/service", "a declared service, found " + quote(it.service.value()));
    }
    if (owner->organisation != it.organisation)
    {
        return failed(path + "/organisation", "the service's organisation, " +
                                                  quote(owner->organisation.value()) + ", found " +
                                                  quote(it.organisation.value()));
    }
    BOOST_OUTCOME_TRYV(check_shift_end(c, it, "from", it.from));
    BOOST_OUTCOME_TRYV(check_shift_end(c, it, "to", it.to));
    if (it.from == it.to)
    {
        return failed(path + "/to", "a place other than \"from\"");
    }
    if (it.percent > 100)
    {
        return failed(path + "/percent", "at most 100");
    }
    if (is_drained(c, it.to))
    {
        return failed(path + "/to", "a place that is not drained, found " + quote(it.to.value()));
    }
    return passed();
}

/// Returns the load that a shift moves, in slots. If the load of the source is unknown, all its
/// slots count as busy.
double moved_load(configuration const& c, shift const& it, place_loads const& loads)
{
    auto const* from = find(c.places, it.from);
    auto const known = loads.find(it.from);
    auto const load = known == loads.end() ? static_cast<double>(slots_of(*from)) : known->second;
    return load * it.percent / 100;
}

/// Precondition: every shift passed `check_shift`.
check_result check_shift_totals(configuration const& c, place_loads const& loads)
{
    std::map<base::place_id, std::uint64_t> percent_from;
    std::map<base::place_id, double> moved_to;
    for (auto const& it : c.shifts)
    {
        percent_from[it.from] += it.percent;
        moved_to[it.to] += moved_load(c, it, loads);
    }
    for (auto const& it : c.shifts)
    {
        if (percent_from[it.from] > 100)
        {
            return failed(path_of("shifts", it) + "/percent",
                          "the shifts from " + quote(it.from.value()) +
                              " to add up to at most 100, found " +
                              std::to_string(percent_from[it.from]));
        }
        auto const known = loads.find(it.to);
        auto const load = moved_to[it.to] + (known == loads.end() ? 0 : known->second);
        auto const slots = slots_of(*find(c.places, it.to));
        // A shift of 0 percent is valid whatever the load, so that shifts can always be reduced to
        // 0.
        if (it.percent > 0 && load > static_cast<double>(slots))
        {
            return failed(path_of("shifts", it) + "/to",
                          "a load that fits the " + std::to_string(slots) + " slots of " +
                              quote(it.to.value()) + ", found " + std::to_string(load));
        }
    }
    return passed();
}

check_result check_transition(cap const& before, cap const& after)
{
    auto zones = before.split;
    zones.insert(after.split.begin(), after.split.end());
    auto const part = [](cap const& it, base::availability_zone_id const& zone)
    {
        auto const found = it.split.find(zone);
        return found == it.split.end() ? 0 : found->second;
    };
    std::string raised;
    std::string lowered;
    for (auto const& [zone, ignored] : zones)
    {
        if (part(after, zone) > part(before, zone))
        {
            raised = zone.value();
        }
        if (part(after, zone) < part(before, zone))
        {
            lowered = zone.value();
        }
    }
    if (!raised.empty() && !lowered.empty())
    {
        return failed(path_of("caps", after) + "/split",
                      "a change that only raises or only lowers parts, found " + quote(raised) +
                          " raised and " + quote(lowered) +
                          " lowered; lower first, wait until that version is in force, then raise");
    }
    return passed();
}

} // namespace

base::result<void> validate(configuration const& c, place_loads const& loads)
{
    BOOST_OUTCOME_TRYV(check_unique_ids(c));
    BOOST_OUTCOME_TRYV(check_members(c));
    for (auto const& it : c.places)
    {
        BOOST_OUTCOME_TRYV(check_place(c, it));
    }
    BOOST_OUTCOME_TRYV(check_upstreams(c));
    for (auto const& it : c.drains)
    {
        BOOST_OUTCOME_TRYV(check_drain(c, it));
    }
    for (auto const& it : c.services)
    {
        BOOST_OUTCOME_TRYV(check_service(c, it, loads));
    }
    for (auto const& it : c.caps)
    {
        BOOST_OUTCOME_TRYV(check_cap(c, it));
    }
    for (auto const& it : c.shifts)
    {
        BOOST_OUTCOME_TRYV(check_shift(c, it));
    }
    return check_shift_totals(c, loads);
}

base::result<void> validate_transition(configuration const& before, configuration const& after)
{
    for (auto const& it : after.caps)
    {
        auto const* old = find(before.caps, it.id);
        if (old != nullptr)
        {
            BOOST_OUTCOME_TRYV(check_transition(*old, it));
        }
    }
    return passed();
}

} // namespace fuchsiaproxy::model
