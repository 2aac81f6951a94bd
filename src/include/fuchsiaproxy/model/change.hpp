#ifndef FUCHSIAPROXY_MODEL_CHANGE_HPP
#define FUCHSIAPROXY_MODEL_CHANGE_HPP

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::model
{

/// Adds `value`, or replaces the element with its id.
template <class T>
struct put
{
    T value;
};

/// Removes the element with this id.
template <class T>
struct removal
{
    decltype(T::id) id;
};

/// Replaces the network delays.
struct set_delays
{
    distances delays;
};

/// Approves a join request in the name of the operator's organisation.
struct approve_join
{
    base::organisation_id id;
};

/// Takes back the approval of the operator's organisation.
struct withdraw_approval
{
    base::organisation_id id;
};

/// One change of a configuration.
using change =
    std::variant<put<availability_zone>, removal<availability_zone>, put<member>, removal<member>,
                 put<join_request>, removal<join_request>, put<service>, removal<service>,
                 put<place>, removal<place>, put<cap>, removal<cap>, put<shift>, removal<shift>,
                 put<drain>, removal<drain>, set_delays, approve_join, withdraw_approval>;

/// Returns the changes that turn `before` into `after`, without regard to their versions. An empty
/// list means that both are equal. Thread safe.
std::vector<change> diff(configuration const& before, configuration const& after);

/// Returns the changes that make the part of `current` that belongs to `organisation` equal to what
/// `declared` says. What belongs to other members is left alone, zones are only added or changed,
/// and joins are not touched. The delays are included while `organisation` is the only member.
/// Drains and shifts are added and changed, and removed only with their places: they are ended by
/// commands, so that a declaration does not send traffic back to a place that is being repaired.
/// Thread safe.
std::vector<change> diff_of(base::organisation_id const& organisation, configuration const& current,
                            configuration const& declared);

/// Returns one line for people, such as `change place "catalog-harju-a"`. `before` tells additions
/// from changes. Thread safe.
std::string describe(change const& it, configuration const& before);

/// Returns the canonical JSON text of a list of changes. Thread safe.
std::string to_json(std::vector<change> const& changes);

/// Reads a list of changes as strictly as `parse_configuration`. Never throws. Thread safe.
base::result<std::vector<change>> parse_changes(std::string_view text);

} // namespace fuchsiaproxy::model

#endif
