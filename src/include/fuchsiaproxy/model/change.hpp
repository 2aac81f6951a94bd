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

/// Adds `value`, or replaces the element that has the same id.
template <class T>
struct put_element
{
    T value;
};

/// Removes the element with this id.
template <class T>
struct remove_element
{
    decltype(T::id) id;
};

/// Replaces the network delays.
struct set_delays
{
    network_delays delays;
};

/// Approves a join request on behalf of the operator's organisation.
struct approve_join
{
    base::organisation_id id;
};

/// Withdraws the approval of the operator's organisation from a join request.
struct withdraw_approval
{
    base::organisation_id id;
};

/// A single change to a configuration.
using change =
    std::variant<put_element<availability_zone>, remove_element<availability_zone>,
                 put_element<member>, remove_element<member>, put_element<join_request>,
                 remove_element<join_request>, put_element<service>, remove_element<service>,
                 put_element<place>, remove_element<place>, put_element<cap>, remove_element<cap>,
                 put_element<shift>, remove_element<shift>, put_element<drain>,
                 remove_element<drain>, set_delays, approve_join, withdraw_approval>;

/// Returns the changes that turn `before` into `after`, ignoring the versions. The list is empty if
/// both are equal. Thread safe.
std::vector<change> diff(configuration const& before, configuration const& after);

/// Returns the changes that make the elements of `organisation` in `current` equal to those in
/// `declared`. Elements of other members and join requests stay as they are, and zones are only
/// added or changed. The delays are included while `organisation` is the only member. Drains and
/// shifts are added and changed, but removed only together with their places: only an explicit
/// command ends them, so that applying a declaration does not send traffic back to a place that is
/// being repaired. Thread safe.
std::vector<change> diff_of_organisation(base::organisation_id const& organisation,
                                         configuration const& current,
                                         configuration const& declared);

/// Returns a one-line description such as `change place "catalog-harju-a"`. `before` is used to
/// distinguish additions from changes. Thread safe.
std::string describe(change const& it, configuration const& before);

/// Returns the canonical JSON text of a list of changes. Thread safe.
std::string to_json(std::vector<change> const& changes);

/// Parses a list of changes with the same strictness as `parse_configuration`. Never throws. Thread
/// safe.
base::result<std::vector<change>> parse_changes(std::string_view text);

} // namespace fuchsiaproxy::model

#endif
