#ifndef FUCHSIAPROXY_MODEL_SECTIONS_HPP
#define FUCHSIAPROXY_MODEL_SECTIONS_HPP

#include <algorithm>

#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::model::detail
{

/// Maps the element type `T` to its name in changes and to the member of `configuration` that holds
/// the elements.
template <class T>
struct section;

template <>
struct section<availability_zone>
{
    static constexpr char const* name = "zone";
    static constexpr auto items = &configuration::zones;
};
template <>
struct section<member>
{
    static constexpr char const* name = "member";
    static constexpr auto items = &configuration::members;
};
template <>
struct section<join_request>
{
    static constexpr char const* name = "join";
    static constexpr auto items = &configuration::joins;
};
template <>
struct section<service>
{
    static constexpr char const* name = "service";
    static constexpr auto items = &configuration::services;
};
template <>
struct section<place>
{
    static constexpr char const* name = "place";
    static constexpr auto items = &configuration::places;
};
template <>
struct section<cap>
{
    static constexpr char const* name = "cap";
    static constexpr auto items = &configuration::caps;
};
template <>
struct section<shift>
{
    static constexpr char const* name = "shift";
    static constexpr auto items = &configuration::shifts;
};
template <>
struct section<drain>
{
    static constexpr char const* name = "drain";
    static constexpr auto items = &configuration::drains;
};

/// Returns the element with `id`, or null.
template <class T, class Id>
T const* find(std::vector<T> const& items, Id const& id)
{
    auto const it =
        std::find_if(items.begin(), items.end(), [&id](T const& item) { return item.id == id; });
    return it == items.end() ? nullptr : &*it;
}

/// Returns the element of type `T` with `id`, or null.
template <class T, class Id>
T const* find_in(configuration const& value, Id const& id)
{
    return find(value.*section<T>::items, id);
}

} // namespace fuchsiaproxy::model::detail

#endif
