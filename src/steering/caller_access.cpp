#include "caller_access.hpp"

#include <utility>

namespace fuchsiaproxy::steering
{

std::uint32_t request_access::priority_on(route const& matched) const
{
    return tenant == nullptr ? matched.priority : tenant->priority.value_or(matched.priority);
}

std::vector<base::region_id> const* request_access::regions() const
{
    return tenant == nullptr || tenant->allowed_regions.empty() ? nullptr
                                                                : &tenant->allowed_regions;
}

base::tenant_id request_access::tenant_id() const
{
    return tenant == nullptr ? base::tenant_id() : tenant->id;
}

void caller_access::replace(std::shared_ptr<configuration const> it)
{
    config_ = std::move(it);
    keys_ = config_->api_keys;
    if (!keys_)
    {
        // No key is accepted if the table can't be built. The adapter refuses such configurations.
        auto made = access::key_table::make(config_->tenants);
        keys_ = std::make_shared<access::key_table const>(made ? std::move(made).value()
                                                               : access::key_table());
    }
}

request_access caller_access::identify(std::optional<std::string_view> api_key)
{
    request_access made;
    if (api_key)
    {
        made.key = access::digest_of(*api_key);
    }
    return made;
}

std::optional<base::error_kind> caller_access::check(request_access& it, route const& matched,
                                                     base::duration bound,
                                                     base::time_point now) const
{
    it.tenant = nullptr;
    it.owner = nullptr;
    if (config_->tenants.empty())
    {
        return std::nullopt;
    }
    it.has_tenants = true;
    auto const found = it.key ? keys_->find(*it.key) : std::nullopt;
    if (found)
    {
        it.owner = config_;
        it.tenant = &config_->tenants[*found];
    }
    // While changes may be missing, a key may have been withdrawn, and an unknown one may have been
    // added.
    if (it.key && (found || !matched.is_public) && !proof.allows_keys(bound, now))
    {
        return base::error_kind::not_ready;
    }
    return found || matched.is_public ? std::nullopt
                                      : std::optional(base::error_kind::unauthenticated);
}

bool caller_access::is_stale(base::duration bound, base::time_point now) const
{
    return config_ && !config_->tenants.empty() && !proof.allows_keys(bound, now);
}

} // namespace fuchsiaproxy::steering
