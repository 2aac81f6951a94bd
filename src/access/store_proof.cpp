#include "fuchsiaproxy/access/store_proof.hpp"

#include <algorithm>

namespace fuchsiaproxy::access
{

void store_proof::advance(base::time_point as_of)
{
    as_of_ = std::max(as_of_.value_or(as_of), as_of);
}

void store_proof::restate(base::time_point as_of)
{
    as_of_ = as_of;
}

std::optional<base::duration> store_proof::age(base::time_point now) const
{
    return as_of_ ? std::optional(now - *as_of_) : std::nullopt;
}

bool store_proof::allows_keys(base::duration bound, base::time_point now) const
{
    return bound <= base::duration{} || (as_of_ && now - *as_of_ <= bound - withdrawal_margin);
}

} // namespace fuchsiaproxy::access
