#include "fuchsiaproxy/base/execution.hpp"

namespace fuchsiaproxy::base
{

error_reply reply_for(error_kind kind, std::optional<not_run_proof> const& proof) noexcept
{
    auto const& row = answer_for(kind);
    if (proof)
    {
        return {{row.http_status, *proof}, row.outcome, row.name};
    }
    auto const& unproven =
        promises_not_run(row.http_status) ? answer_for(error_kind::may_have_run) : row;
    auto const outcome = unproven.outcome == request_outcome::not_run
                             ? request_outcome::may_have_run
                             : unproven.outcome;
    return {unproven.http_status, outcome, unproven.name};
}

} // namespace fuchsiaproxy::base
