#include "fuchsiaproxy/model/apply_change.hpp"

#include <algorithm>
#include <utility>

#include <boost/outcome/try.hpp>

#include "fuchsiaproxy/model/json.hpp"
#include "fuchsiaproxy/model/membership.hpp"
#include "json_reader.hpp"
#include "sections.hpp"

namespace fuchsiaproxy::model
{
namespace
{

using base::error_kind;
using base::make_error;
using detail::find;
using detail::find_in;
using detail::section;
using check_result = base::result<void>;

check_result passed()
{
    return boost::outcome_v2::success();
}

std::string quote(std::string const& text)
{
    return "\"" + text + "\"";
}

/// Visitor that applies one change to `value`. Does not check ownership.
struct change_applier
{
    configuration& value;
    base::organisation_id const& by;

    template <class T>
    check_result operator()(put_element<T> const& it) const
    {
        auto& items = value.*section<T>::items;
        auto const at = std::find_if(items.begin(), items.end(),
                                     [&it](T const& item) { return item.id == it.value.id; });
        if (at == items.end())
        {
            items.push_back(it.value);
        }
        else
        {
            *at = it.value;
        }
        return passed();
    }
    check_result operator()(put_element<member> const& it) const
    {
        for (auto& known : value.members)
        {
            if (known.id == it.value.id)
            {
                known = it.value;
                return passed();
            }
        }
        return make_error(error_kind::invalid_configuration,
                          "/members/" + it.value.id.value() +
                              ": expected an existing member; a new organisation joins by a "
                              "request that all members approve");
    }
    check_result operator()(put_element<join_request> const& it) const
    {
        return request_join(value, it.value);
    }
    template <class T>
    check_result operator()(remove_element<T> const& it) const
    {
        auto& items = value.*section<T>::items;
        auto const at = std::find_if(items.begin(), items.end(),
                                     [&it](T const& item) { return item.id == it.id; });
        if (at == items.end())
        {
            return make_error(error_kind::not_found, std::string(section<T>::name) + " " +
                                                         quote(it.id.value()) + " does not exist");
        }
        items.erase(at);
        return passed();
    }
    check_result operator()(remove_element<member> const& it) const
    {
        return remove_member(value, it.id);
    }
    check_result operator()(remove_element<join_request> const& it) const
    {
        return remove_join(value, it.id);
    }
    check_result operator()(set_delays const& it) const
    {
        value.delays = it.delays;
        return passed();
    }
    check_result operator()(approve_join const& it) const
    {
        return approve(value, it.id, by);
    }
    check_result operator()(withdraw_approval const& it) const
    {
        return withdraw(value, it.id, by);
    }
};

/// Visitor that checks that a change only affects elements that `by` owns, both before and after
/// the change. Dangling references are not reported here but by `validate`.
struct ownership_check
{
    configuration const& before;
    configuration const& after;
    base::organisation_id const& by;

    check_result require(std::string const& what, base::organisation_id const& owner) const
    {
        if (owner == by)
        {
            return passed();
        }
        return make_error(error_kind::forbidden, what + " belongs to " + quote(owner.value()) +
                                                     ", but the operator belongs to " +
                                                     quote(by.value()));
    }

    template <class T, class Id>
    check_result require_owned(configuration const& in, Id const& id) const
    {
        auto const* it = find_in<T>(in, id);
        if (it == nullptr)
        {
            return passed();
        }
        return require(std::string(section<T>::name) + " " + quote(id.value()), it->organisation);
    }

    check_result require_owned_place(configuration const& in, base::place_id const& id) const
    {
        auto const* it = find_in<place>(in, id);
        auto const* owner = it == nullptr ? nullptr : find_in<service>(in, it->service);
        if (owner == nullptr)
        {
            return passed();
        }
        return require("place " + quote(id.value()), owner->organisation);
    }

    /// The region of a zone may change only while no other organisation has a place in the zone.
    check_result require_unshared(availability_zone const& it) const
    {
        auto const* known = find_in<availability_zone>(before, it.id);
        if (known == nullptr || known->region == it.region)
        {
            return passed();
        }
        for (auto const& at : before.places)
        {
            if (at.zone == it.id)
            {
                BOOST_OUTCOME_TRYV(require_owned_place(before, at.id));
            }
        }
        return passed();
    }

    template <class T>
    check_result operator()(put_element<T> const& it) const
    {
        BOOST_OUTCOME_TRYV((require_owned<T>(before, it.value.id)));
        return require_owned<T>(after, it.value.id);
    }
    template <class T>
    check_result operator()(remove_element<T> const& it) const
    {
        return require_owned<T>(before, it.id);
    }
    check_result operator()(put_element<place> const& it) const
    {
        BOOST_OUTCOME_TRYV(require_owned_place(before, it.value.id));
        return require_owned_place(after, it.value.id);
    }
    check_result operator()(remove_element<place> const& it) const
    {
        return require_owned_place(before, it.id);
    }
    check_result operator()(put_element<availability_zone> const& it) const
    {
        return require_unshared(it.value);
    }
    check_result operator()(remove_element<availability_zone> const& it) const
    {
        return passed(); // `validate` rejects the removal of a zone that is in use.
    }
    check_result operator()(put_element<member> const& it) const
    {
        return require("member " + quote(it.value.id.value()), it.value.id);
    }
    check_result operator()(remove_element<member> const& it) const
    {
        return require("member " + quote(it.id.value()), it.id);
    }
    check_result operator()(set_delays const& it) const
    {
        if (before.members.size() == 1)
        {
            return passed();
        }
        return make_error(
            error_kind::forbidden,
            "the delays are shared by all members and can only be set while there is only "
            "one member");
    }
    check_result operator()(put_element<join_request> const& it) const
    {
        return passed();
    }
    check_result operator()(remove_element<join_request> const& it) const
    {
        return passed();
    }
    check_result operator()(approve_join const& it) const
    {
        return passed();
    }
    check_result operator()(withdraw_approval const& it) const
    {
        return passed();
    }
};

check_result check_command(change_command const& command)
{
    if (!detail::is_id(command.command.value()))
    {
        return make_error(error_kind::invalid_command,
                          "command: expected an id of letters, digits, dots, hyphens or "
                          "underscores, found " +
                              quote(command.command.value()));
    }
    return passed();
}

base::result<change_outcome> replayed_outcome(command_record const& record, manifest const& head,
                                              configuration const& current,
                                              change_command const& command)
{
    if (record.content_hash != content_hash(command))
    {
        return make_error(error_kind::invalid_command,
                          "command: expected a new id, found " + quote(command.command.value()) +
                              ", which was already used for " + describe(record) +
                              " with other content");
    }
    change_outcome outcome;
    outcome.replayed = true;
    outcome.record = record;
    outcome.head = head;
    outcome.next = current;
    return outcome;
}

change_outcome accepted_outcome(manifest const& head, configuration next,
                                change_command const& command)
{
    change_outcome outcome;
    next.version = base::config_version(head.version.value() + 1);
    outcome.next = canonical(std::move(next));
    outcome.segments = split_into_segments(outcome.next);
    outcome.record = command_record{command.command,      command.by, command.organisation,
                                    outcome.next.version, command.at, content_hash(command)};
    outcome.head.version = outcome.next.version;
    outcome.head.commands = head.commands;
    outcome.head.commands.append(outcome.record);
    for (auto const& it : outcome.segments)
    {
        outcome.head.segments.push_back(segment_reference{it.name, it.hash});
    }
    return outcome;
}

} // namespace

base::result<change_outcome> apply_change(manifest const& head, configuration const& current,
                                          change_command const& command, place_loads const& loads)
{
    BOOST_OUTCOME_TRYV(check_command(command));
    if (auto const* record = head.commands.find(command.command))
    {
        return replayed_outcome(*record, head, current, command);
    }
    if (command.base_version != head.version)
    {
        return conflict_error(head, command.base_version);
    }
    if (command.changes.empty())
    {
        return make_error(error_kind::invalid_command, "changes: expected at least one");
    }
    if (!is_member(current, command.organisation))
    {
        return make_error(error_kind::forbidden,
                          "organisation " + quote(command.organisation.value()) +
                              " is not a member and cannot change the configuration");
    }
    auto next = current;
    for (auto const& it : command.changes)
    {
        BOOST_OUTCOME_TRYV(std::visit(change_applier{next, command.organisation}, it));
    }
    for (auto const& it : command.changes)
    {
        BOOST_OUTCOME_TRYV(std::visit(ownership_check{current, next, command.organisation}, it));
    }
    admit_approved_joins(next);
    BOOST_OUTCOME_TRYV(validate(next, loads));
    BOOST_OUTCOME_TRYV(validate_transition(current, next));
    return accepted_outcome(head, std::move(next), command);
}

base::result<change_outcome> apply_bootstrap(manifest const& head, configuration const& first,
                                             change_command const& given)
{
    auto command = given;
    command.base_version = base::config_version(0);
    command.changes = diff(configuration{}, first);
    BOOST_OUTCOME_TRYV(check_command(command));
    if (auto const* record = head.commands.find(command.command))
    {
        return replayed_outcome(*record, head, first, command);
    }
    if (head.version != base::config_version(0))
    {
        return conflict_error(head, base::config_version(0));
    }
    if (!is_member(first, command.organisation))
    {
        return make_error(error_kind::forbidden,
                          "/members: expected the operator's organisation, " +
                              quote(command.organisation.value()));
    }
    if (!first.joins.empty())
    {
        return make_error(error_kind::invalid_configuration,
                          "/joins: expected none in the first version");
    }
    BOOST_OUTCOME_TRYV(validate(first));
    return accepted_outcome(head, first, command);
}

base::error conflict_error(manifest const& head, base::config_version base_version)
{
    std::string message = "the change is based on version " + std::to_string(base_version.value()) +
                          ", but version " + std::to_string(head.version.value()) + " is in force";
    auto const* winner = head.commands.find(base::config_version(base_version.value() + 1));
    if (winner != nullptr)
    {
        message += "; it lost to " + describe(*winner);
    }
    auto const* last = head.commands.find(head.version);
    if (last != nullptr && last != winner)
    {
        message += "; the latest is " + describe(*last);
    }
    return make_error(error_kind::conflict, std::move(message));
}

std::string content_hash(change_command const& command)
{
    return content_hash(command.by.value() + "\n" + command.organisation.value() + "\n" +
                        to_json(command.changes));
}

} // namespace fuchsiaproxy::model
