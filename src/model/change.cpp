#include "fuchsiaproxy/model/change.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "fuchsiaproxy/model/json.hpp"
#include "json_codec.hpp"
#include "sections.hpp"

namespace fuchsiaproxy::model
{
namespace
{

using detail::find;
using detail::json_reader;
using detail::section;
using nlohmann::json;

template <class T>
void add_removals(std::vector<change>& out, configuration const& before, configuration const& after)
{
    for (auto const& it : before.*section<T>::items)
    {
        if (find(after.*section<T>::items, it.id) == nullptr)
        {
            out.push_back(remove_element<T>{it.id});
        }
    }
}

template <class T>
void add_puts(std::vector<change>& out, configuration const& before, configuration const& after)
{
    for (auto const& it : after.*section<T>::items)
    {
        auto const* old = find(before.*section<T>::items, it.id);
        if (old == nullptr || !detail::equal_as_json(*old, it))
        {
            out.push_back(put_element<T>{it});
        }
    }
}

base::organisation_id owner_of(configuration const& c, service const& it)
{
    return it.organisation;
}

base::organisation_id owner_of(configuration const& c, place const& it)
{
    auto const* owner = find(c.services, it.service);
    return owner == nullptr ? base::organisation_id() : owner->organisation;
}

template <class T>
base::organisation_id owner_of(configuration const& c, T const& it)
{
    return it.organisation;
}

base::organisation_id owner_of(configuration const& c, member const& it)
{
    return it.id;
}

/// Replaces the elements of type `T` in `declared` that other organisations own by those in
/// `current`.
template <class T>
void keep_other_organisations(base::organisation_id const& own, configuration const& current,
                              configuration& declared)
{
    auto& items = declared.*section<T>::items;
    std::vector<T> kept;
    for (auto const& it : items)
    {
        auto const* known = find(current.*section<T>::items, it.id);
        bool const owned_by_other = known != nullptr && owner_of(current, *known) != own;
        if (!owned_by_other)
        {
            kept.push_back(it);
        }
    }
    for (auto const& it : current.*section<T>::items)
    {
        if (owner_of(current, it) != own)
        {
            kept.push_back(it);
        }
    }
    items = std::move(kept);
}

/// Adds the drains and shifts of `current` that are missing in `target`, unless `target` lacks
/// their places.
void keep_drains_and_shifts(configuration const& current, configuration& target)
{
    auto const has_place = [&target](base::place_id const& id)
    { return find(target.places, id) != nullptr; };
    for (auto const& it : current.drains)
    {
        if (find(target.drains, it.id) == nullptr && has_place(it.place))
        {
            target.drains.push_back(it);
        }
    }
    for (auto const& it : current.shifts)
    {
        if (find(target.shifts, it.id) == nullptr && has_place(it.from) && has_place(it.to))
        {
            target.shifts.push_back(it);
        }
    }
}

struct change_encoder
{
    template <class T>
    json operator()(put_element<T> const& it) const
    {
        return {{"put", {{section<T>::name, detail::encode(it.value)}}}};
    }
    template <class T>
    json operator()(remove_element<T> const& it) const
    {
        return {{"remove", {{section<T>::name, it.id.value()}}}};
    }
    json operator()(set_delays const& it) const
    {
        return {{"set_delays", detail::encode(it.delays)}};
    }
    json operator()(approve_join const& it) const
    {
        return {{"approve_join", it.id.value()}};
    }
    json operator()(withdraw_approval const& it) const
    {
        return {{"withdraw_approval", it.id.value()}};
    }
};

struct change_describer
{
    configuration const& before;

    template <class T>
    std::string operator()(put_element<T> const& it) const
    {
        auto const known = detail::find_in<T>(before, it.value.id) != nullptr;
        return line(known ? "change" : "add", section<T>::name, it.value.id.value());
    }
    template <class T>
    std::string operator()(remove_element<T> const& it) const
    {
        return line("remove", section<T>::name, it.id.value());
    }
    std::string operator()(set_delays const& it) const
    {
        return "set delays";
    }
    std::string operator()(approve_join const& it) const
    {
        return line("approve", "join", it.id.value());
    }
    std::string operator()(withdraw_approval const& it) const
    {
        return line("withdraw approval of", "join", it.id.value());
    }

    static std::string line(std::string const& verb, std::string const& noun, std::string const& id)
    {
        return verb + " " + noun + " \"" + id + "\"";
    }
};

template <class T>
bool decode_put(json_reader const& in, std::vector<change>& out)
{
    auto const value = in.optional_field(section<T>::name);
    if (value)
    {
        out.push_back(put_element<T>{detail::decode_as<T>(*value)});
    }
    return value.has_value();
}

template <class T>
bool decode_removal(json_reader const& in, std::vector<change>& out)
{
    auto const value = in.optional_field(section<T>::name);
    if (value)
    {
        out.push_back(remove_element<T>{decltype(T::id)(value->id())});
    }
    return value.has_value();
}

void require_single_field(json_reader const& in, std::string const& expected)
{
    if (in.fields().size() != 1)
    {
        in.fail("an object with exactly one of: " + expected);
    }
}

constexpr auto element_names = "zone, member, join, service, place, cap, shift, drain";

void require_one_element(json_reader const& in)
{
    in.require_object({"zone", "member", "join", "service", "place", "cap", "shift", "drain"});
    require_single_field(in, element_names);
}

void decode_change(json_reader const& in, std::vector<change>& out)
{
    in.require_object({"put", "remove", "set_delays", "approve_join", "withdraw_approval"});
    require_single_field(in, "put, remove, set_delays, approve_join, withdraw_approval");
    if (auto const it = in.optional_field("put"))
    {
        require_one_element(*it);
        decode_put<availability_zone>(*it, out) || decode_put<member>(*it, out) ||
            decode_put<join_request>(*it, out) || decode_put<service>(*it, out) ||
            decode_put<place>(*it, out) || decode_put<cap>(*it, out) ||
            decode_put<shift>(*it, out) || decode_put<drain>(*it, out);
    }
    if (auto const it = in.optional_field("remove"))
    {
        require_one_element(*it);
        decode_removal<availability_zone>(*it, out) || decode_removal<member>(*it, out) ||
            decode_removal<join_request>(*it, out) || decode_removal<service>(*it, out) ||
            decode_removal<place>(*it, out) || decode_removal<cap>(*it, out) ||
            decode_removal<shift>(*it, out) || decode_removal<drain>(*it, out);
    }
    if (auto const it = in.optional_field("set_delays"))
    {
        out.push_back(set_delays{detail::decode_as<network_delays>(*it)});
    }
    if (auto const it = in.optional_field("approve_join"))
    {
        out.push_back(approve_join{base::organisation_id(it->id())});
    }
    if (auto const it = in.optional_field("withdraw_approval"))
    {
        out.push_back(withdraw_approval{base::organisation_id(it->id())});
    }
}

} // namespace

std::vector<change> diff(configuration const& before, configuration const& after)
{
    // The canonical form makes the comparison independent of the order of lists. Elements are
    // removed before those they refer to, and added after them.
    auto const a = canonical(before);
    auto const b = canonical(after);
    std::vector<change> out;
    add_removals<drain>(out, a, b);
    add_removals<shift>(out, a, b);
    add_removals<cap>(out, a, b);
    add_removals<place>(out, a, b);
    add_removals<service>(out, a, b);
    add_removals<join_request>(out, a, b);
    add_removals<member>(out, a, b);
    add_removals<availability_zone>(out, a, b);
    if (!detail::equal_as_json(a.delays, b.delays))
    {
        out.push_back(set_delays{b.delays});
    }
    add_puts<availability_zone>(out, a, b);
    add_puts<member>(out, a, b);
    add_puts<join_request>(out, a, b);
    add_puts<service>(out, a, b);
    add_puts<place>(out, a, b);
    add_puts<cap>(out, a, b);
    add_puts<shift>(out, a, b);
    add_puts<drain>(out, a, b);
    return out;
}

std::vector<change> diff_of_organisation(base::organisation_id const& organisation,
                                         configuration const& current,
                                         configuration const& declared)
{
    auto target = declared;
    target.joins = current.joins;
    if (current.members.size() > 1)
    {
        target.delays = current.delays;
    }
    for (auto const& it : current.zones)
    {
        if (find(target.zones, it.id) == nullptr)
        {
            target.zones.push_back(it);
        }
    }
    keep_other_organisations<member>(organisation, current, target);
    if (find(target.members, organisation) == nullptr)
    {
        // Declarations that omit their own organisation keep its operators unchanged.
        auto const* self = find(current.members, organisation);
        if (self != nullptr)
        {
            target.members.push_back(*self);
        }
    }
    keep_other_organisations<place>(organisation, current, target);
    keep_other_organisations<service>(organisation, current, target);
    keep_other_organisations<cap>(organisation, current, target);
    keep_other_organisations<shift>(organisation, current, target);
    keep_other_organisations<drain>(organisation, current, target);
    keep_drains_and_shifts(current, target);
    return diff(current, target);
}

std::string describe(change const& it, configuration const& before)
{
    return std::visit(change_describer{before}, it);
}

std::string to_json(std::vector<change> const& changes)
{
    auto out = json::array();
    for (auto const& it : changes)
    {
        out.push_back(std::visit(change_encoder{}, it));
    }
    return out.dump();
}

base::result<std::vector<change>> parse_changes(std::string_view text)
{
    return detail::catch_exceptions(
        [text]
        {
            auto const document = detail::parse_strictly(text);
            std::vector<change> out;
            for (auto const& it : json_reader(document, "").elements())
            {
                decode_change(it, out);
            }
            return out;
        });
}

} // namespace fuchsiaproxy::model
