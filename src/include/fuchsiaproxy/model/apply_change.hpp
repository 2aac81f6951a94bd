#ifndef FUCHSIAPROXY_MODEL_APPLY_CHANGE_HPP
#define FUCHSIAPROXY_MODEL_APPLY_CHANGE_HPP

#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/change.hpp"
#include "fuchsiaproxy/model/manifest.hpp"
#include "fuchsiaproxy/model/validate.hpp"

namespace fuchsiaproxy::model
{

/// A command of an operator: changes based on the version that the operator last read.
struct change_command
{
    base::command_id command;
    base::operator_id by;
    /// Organisation of the authenticated operator.
    base::organisation_id organisation;
    base::config_version base_version;
    wall_time at;
    std::vector<change> changes;
};

/// Result of an accepted command. If `replayed`, the same command was accepted earlier as `record`;
/// `head` and `next` are then the current state and `segments` is empty.
struct change_outcome
{
    bool replayed = false;
    command_record record;
    manifest head;
    configuration next;
    std::vector<segment> segments;
};

/// Applies `command` to `current`, without side effects. A command that was accepted before returns
/// its earlier record. Fails with
/// - `invalid_command` for a malformed or reused command id, or an empty list of changes,
/// - `conflict` if the base version is not that of `head`; the message names the accepted command
///   that it conflicts with,
/// - `forbidden` if the organisation is not a member, or if a change affects an element of another
///   organisation,
/// - `not_found` for the removal of an element that does not exist,
/// - `invalid_configuration` if a change adds a member without a join request, or if `validate` or
///   `validate_transition` rejects the result,
/// - the errors of the functions in membership.hpp for changes to members and join requests.
///
/// Precondition: `current` is the configuration of `head`. Thread safe.
base::result<change_outcome> apply_change(manifest const& head, configuration const& current,
                                          change_command const& command,
                                          place_loads const& loads = {});

/// Creates version 1 from `first`. `command.changes` and `command.base_version` are ignored. The
/// organisation of the operator must be a member in `first`. Fails with `conflict` if `head`
/// already has a version. Thread safe.
base::result<change_outcome> apply_bootstrap(manifest const& head, configuration const& first,
                                             change_command const& command);

/// Returns the `conflict` error for a command that is based on `base_version` instead of the
/// version of `head`. Thread safe.
base::error conflict_error(manifest const& head, base::config_version base_version);

/// Returns a hash of the operator, organisation and changes of `command`. The base version is not
/// included, so that an operator may retry a command after reading a newer version. Thread safe.
std::string content_hash(change_command const& command);

} // namespace fuchsiaproxy::model

#endif
