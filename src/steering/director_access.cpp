// Access of callers in the director: API keys, tenants and the proof of following the store.
#include "director_state.hpp"

namespace fuchsiaproxy::steering
{

using base::error_kind;

void director::state::count_refused_access(error_kind kind)
{
    ++(kind == error_kind::not_ready ? counters.stale_proofs : counters.unauthenticated);
}

std::optional<base::duration> director::state::deciding_proof_age(error_kind kind,
                                                                  base::time_point now) const
{
    return kind == error_kind::not_ready ? access.proof.age(now) : std::nullopt;
}

bool director::state::grants_access(arrived_request const& it, route const& matched,
                                    request_access& granted, base::time_point now,
                                    director_actions& out)
{
    granted = caller_access::identify(it.api_key);
    auto const refused = access.check(granted, matched, settings.bounds.revocation_bound, now);
    if (!refused)
    {
        return true;
    }
    count_refused_access(*refused);
    answer_error made{it.id, *refused};
    if (*refused == error_kind::not_ready)
    {
        ++counters.refused;
        made.retry_after = settings.stale_proof_retry_after;
    }
    made.trace_id = it.trace_id;
    made.route = matched.name;
    made.version = config->version;
    made.tenant = granted.tenant_id();
    made.proof_age = deciding_proof_age(*refused, now);
    out.push_back(std::move(made));
    return false;
}

bool director::state::still_has_access(request_map::iterator it, base::time_point now,
                                       director_actions& out)
{
    auto& request = it->second;
    auto checked = request.access;
    auto const refused =
        access.check(checked, *request.matched_route, settings.bounds.revocation_bound, now);
    if (refused)
    {
        // `request.access` keeps the tenant of the earlier attempts, for the log.
        count_refused_access(*refused);
        request.retry_after = settings.stale_proof_retry_after;
        request.proof_age = deciding_proof_age(*refused, now);
        end_with_error(it, request.may_have_run ? error_kind::upstream_failed : *refused, out);
        return false;
    }
    request.access = std::move(checked);
    request.priority = request.access.priority_on(*request.matched_route);
    return true;
}

void director::restate_proof(base::time_point as_of)
{
    state_->access.proof.restate(as_of);
}

std::optional<base::duration> director::proof_age(base::time_point now) const
{
    return state_->access.proof.age(now);
}

std::vector<std::string> director::look_up(base::availability_zone_id const& zone,
                                           base::time_point now) const
{
    auto const& my = *state_;
    auto const serves_keys = !my.access.is_stale(my.settings.bounds.revocation_bound, now);
    return my.entries.addresses_for(zone, my.settings.look_up_entries, serves_keys);
}

} // namespace fuchsiaproxy::steering
