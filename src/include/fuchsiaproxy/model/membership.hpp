#ifndef FUCHSIAPROXY_MODEL_MEMBERSHIP_HPP
#define FUCHSIAPROXY_MODEL_MEMBERSHIP_HPP

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::model
{

// Each function changes `value` only if it succeeds. All are thread safe for distinct values.

/// Returns whether `id` is a member.
bool is_member(configuration const& value, base::organisation_id const& id);

/// Records that an organisation asks to join. Approvals in `request` must be empty: members give
/// them one by one. Fails with `conflict` if the organisation is a member or has asked already, and
/// with `invalid_configuration` for approvals or a missing operator.
base::result<void> request_join(configuration& value, join_request request);

/// Removes a join request with its approvals. Fails with `not_found` if there is none.
base::result<void> remove_join(configuration& value, base::organisation_id const& newcomer);

/// Records the approval of `by`; a repeated approval changes nothing. Fails with `forbidden` if
/// `by` is no member, and with `not_found` if `newcomer` has not asked to join.
base::result<void> approve(configuration& value, base::organisation_id const& newcomer,
                           base::organisation_id const& by);

/// Removes the approval of `by`. Fails with `not_found` if there is no such join request or
/// approval, for example because the newcomer has been admitted.
base::result<void> withdraw(configuration& value, base::organisation_id const& newcomer,
                            base::organisation_id const& by);

/// Removes a member, and its approvals of joins. Fails with `not_found` if it is no member, and
/// with `invalid_configuration` if it is the last member or still has services.
base::result<void> remove_member(configuration& value, base::organisation_id const& id);

/// Admits every join request that all current members have approved, in order of id. An admitted
/// organisation is a member at once, so the next request needs its approval too.
void admit(configuration& value);

} // namespace fuchsiaproxy::model

#endif
