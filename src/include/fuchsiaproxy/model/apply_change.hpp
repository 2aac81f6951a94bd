#ifndef FUCHSIAPROXY_MODEL_APPLY_CHANGE_HPP
#define FUCHSIAPROXY_MODEL_APPLY_CHANGE_HPP

#include <vector>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/change.hpp"
#include "fuchsiaproxy/model/manifest.hpp"
#include "fuchsiaproxy/model/validate.hpp"

namespace fuchsiaproxy::model
{

/// An operator's command: changes against the version that the operator has seen.
struct change_command
{
    base::command_id command;
    base::operator_id by;
    /// Organisation of the operator, as authenticated.
    base::organisation_id organisation;
    base::config_version base_version;
    wall_time at;
    std::vector<change> changes;
};

/// What a command leads to. When `replayed`, the command was accepted earlier as `record`, and the
/// other members are the current state.
struct change_outcome
{
    bool replayed = false;
    command_record record;
    manifest head;
    configuration next;
    std::vector<segment> segments;
};

/// Applies `command` to `current`, the configuration of `head`. A pure function. Fails with
/// - `invalid_command` for a malformed or reused command id, or an empty list of changes,
/// - `conflict` if the base version is not the head's; the message names who won,
/// - `forbidden` if a change touches what belongs to another organisation,
/// - `not_found` for the removal of what does not exist,
/// - `invalid_configuration` if the result is not valid or the step to it is not.
///
/// Precondition: `current` is the configuration of `head`. Thread safe.
base::result<change_outcome> apply_change(manifest const& head, configuration const& current,
                                          change_command const& command,
                                          place_loads const& loads = {});

/// Makes the first version. `command.changes` is ignored; the operator must be one of the members
/// in `first`. Fails with `conflict` if `head` has a version. Thread safe.
base::result<change_outcome> apply_bootstrap(manifest const& head, configuration const& first,
                                             change_command const& command);

/// Returns the conflict that a command against `base_version` meets at `head`. Thread safe.
base::error conflict_with(manifest const& head, base::config_version base_version);

/// Returns the hash that identifies the content of `command`: its operator and its changes. The
/// base version is left out, so that an operator may repeat a command after reading a newer
/// version. Thread safe.
std::string content_hash(change_command const& command);

} // namespace fuchsiaproxy::model

#endif
