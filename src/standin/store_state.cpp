#include "store_state.hpp"

#include <algorithm>

namespace fuchsiaproxy::standin
{

versioned_value const& store_state::read(std::string const& key, base::time_point at) const
{
    static versioned_value const none{};
    auto const it = keys_.find(key);
    return it == keys_.end() ? none : it->second.at(at);
}

versioned_value const& store_state::latest(std::string const& key) const
{
    static versioned_value const none{};
    auto const it = keys_.find(key);
    return it == keys_.end() ? none : it->second.latest();
}

std::optional<std::uint64_t> store_state::compare_and_swap(std::string const& key,
                                                           std::uint64_t expected,
                                                           std::string value, base::time_point now)
{
    if (latest(key).revision != expected)
    {
        return std::nullopt;
    }
    ++revision_;
    keys_[key].record(now, versioned_value{revision_, std::move(value)});
    return revision_;
}

std::optional<lease_state> store_state::acquire(std::string const& name, std::string const& holder,
                                                base::duration ttl, base::time_point now)
{
    auto& it = leases_[name];
    bool const held = !it.holder.empty() && now < it.expires;
    if (held && it.holder != holder)
    {
        return std::nullopt;
    }
    if (!held)
    {
        ++token_;
        it.holder = holder;
        it.fencing_token = token_;
    }
    it.expires = now + ttl;
    return it;
}

bool store_state::release(std::string const& name, std::string const& holder, base::time_point now)
{
    auto const it = leases_.find(name);
    if (it == leases_.end() || it->second.holder != holder || now >= it->second.expires)
    {
        return false;
    }
    leases_.erase(it);
    return true;
}

void store_state::drop_lease(std::string const& name)
{
    leases_.erase(name);
}

void store_state::put_instance(metadata::listed_instance instance, base::time_point now)
{
    auto list = instances_.latest();
    auto const same = [&instance](auto const& it) { return it.id == instance.id; };
    list.erase(std::remove_if(list.begin(), list.end(), same), list.end());
    list.push_back(std::move(instance));
    instances_.record(now, std::move(list));
}

void store_state::remove_instance(std::string const& id, base::time_point now)
{
    auto list = instances_.latest();
    auto const same = [&id](auto const& it) { return it.id == id; };
    list.erase(std::remove_if(list.begin(), list.end(), same), list.end());
    instances_.record(now, std::move(list));
}

std::vector<metadata::listed_instance> const& store_state::instances(base::time_point at) const
{
    return instances_.at(at);
}

bool rate_limit::try_acquire(base::time_point now)
{
    if (per_second_ <= 0)
    {
        return true;
    }
    auto const passed = std::chrono::duration<double>(now - last_).count();
    tokens_ = std::min(per_second_, tokens_ + passed * per_second_);
    last_ = now;
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace fuchsiaproxy::standin
