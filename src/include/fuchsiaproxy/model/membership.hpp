#ifndef FUCHSIAPROXY_MODEL_MEMBERSHIP_HPP
#define FUCHSIAPROXY_MODEL_MEMBERSHIP_HPP

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::model
{

// Functions that fail leave `value` unchanged. All are thread safe for distinct values.

/// Returns whether `id` is a member.
bool is_member(configuration const& value, base::organisation_id const& id);

/// Adds a join request. Its approvals must be empty, because each member adds its own by `approve`.
/// Fails with `conflict` if the organisation is a member or already has a join request, and with
/// `invalid_configuration` if there are approvals or no operators.
base::result<void> request_join(configuration& value, join_request request);

/// Removes a join request and its approvals. Fails with `not_found` if there is none.
base::result<void> remove_join(configuration& value, base::organisation_id const& newcomer);

/// Adds the approval of `by`; repeating it has no effect. Fails with `forbidden` if `by` is not a
/// member, and with `not_found` if `newcomer` has no join request.
base::result<void> approve(configuration& value, base::organisation_id const& newcomer,
                           base::organisation_id const& by);

/// Removes the approval of `by`. Fails with `not_found` if there is no such join request or
/// approval, for example because `newcomer` is already a member.
base::result<void> withdraw(configuration& value, base::organisation_id const& newcomer,
                            base::organisation_id const& by);

/// Removes a member and the approvals it has given. Fails with `not_found` if `id` is not a member,
/// and with `invalid_configuration` if it is the last member or still owns services.
base::result<void> remove_member(configuration& value, base::organisation_id const& id);

/// Admits the organisation of every join request that all members have approved, in order of id. An
/// admitted organisation is a member immediately, so later requests need its approval too.
void admit_approved_joins(configuration& value);

} // namespace fuchsiaproxy::model

#endif
