#include "fuchsiaproxy/engine/share_keeper.hpp"

#include <utility>
#include <variant>

namespace fuchsiaproxy::engine
{
namespace
{

// A load without a result, for example because a queue was full, is retried after this time.
constexpr base::duration load_timeout = std::chrono::seconds(5);

} // namespace

share_keeper::share_keeper(limits::share_owner self, base::availability_zone_id zone)
    : self_(std::move(self)), zone_(std::move(zone)), holder_(self_.number)
{
}

void share_keeper::on_configuration(model::configuration const& config, base::time_point now,
                                    engine_actions& out)
{
    has_caps_ = !config.caps.empty();
    caps_.apply(config);
    ledger_.apply(config, zone_);
    limits::share_actions actions;
    holder_.apply(config, zone_, actions);
    apply(actions, now, out);
}

void share_keeper::set_hub(base::instance_id const& hub)
{
    bool const became_hub = hub == self_.instance && !is_hub();
    hub_ = hub;
    if (became_hub)
    {
        // Another hub may have written since this entry was last the hub.
        loaded_ = false;
    }
}

void share_keeper::on_message(messages::envelope const& it, base::time_point now,
                              engine_actions& out)
{
    if (auto const* const granted = std::get_if<messages::share_grant>(&it.body))
    {
        handle_as_holder(*granted, now, out);
        return;
    }
    if (is_hub())
    {
        handle_as_hub({it.from, it.incarnation}, it.body, now, out);
    }
}

void share_keeper::handle_as_hub(limits::share_owner const& owner, messages::message const& body,
                                 base::time_point now, engine_actions& out)
{
    limits::hub_actions actions;
    if (auto const* const request = std::get_if<messages::share_request>(&body))
    {
        ledger_.on_request(owner, *request, now, actions);
    }
    else if (auto const* const back = std::get_if<messages::share_return>(&body))
    {
        ledger_.on_return(owner, *back, now);
    }
    else if (std::holds_alternative<messages::heartbeat>(body))
    {
        ledger_.on_owner_alive(owner, now);
    }
    apply(actions, now, out);
}

void share_keeper::handle_as_holder(messages::share_grant const& it, base::time_point now,
                                    engine_actions& out)
{
    limits::share_actions actions;
    holder_.on_grant(it, actions);
    apply(actions, now, out);
}

void share_keeper::on_instances(std::set<base::instance_id> const& entries, base::time_point now)
{
    ledger_.on_instance_list(entries, now);
}

void share_keeper::on_loaded(limits::share_document document, base::time_point now)
{
    loading_ = false;
    loaded_ = true;
    ledger_.load(std::move(document), now);
    ledger_.on_owner_alive(self_, now);
}

void share_keeper::on_stored(bool committed, engine_actions& out)
{
    if (!committed)
    {
        ledger_.on_commit_failed();
        loaded_ = false;
        return;
    }
    limits::hub_actions actions;
    ledger_.on_committed(actions);
    apply(actions, last_now_, out);
}

void share_keeper::tick(base::time_point now, engine_actions& out)
{
    last_now_ = now;
    if (!has_caps_)
    {
        return;
    }
    if (now >= next_demand_)
    {
        next_demand_ = now + limits::limit_window;
        limits::share_actions actions;
        holder_.on_demand(caps_.take_demand(), now, actions);
        apply(actions, now, out);
    }
    if (!is_hub())
    {
        return;
    }
    if (!loaded_)
    {
        if (!loading_ || now >= load_again_at_)
        {
            loading_ = true;
            load_again_at_ = now + load_timeout;
            out.emplace_back(load_shares{zone_});
        }
        return;
    }
    if (auto document = ledger_.prepare(now))
    {
        out.emplace_back(store_shares{zone_, std::move(*document)});
    }
}

bool share_keeper::try_move(base::place_id const& from, base::place_id const& to,
                            base::byte_count size, base::time_point now)
{
    if (caps_.try_charge(from, to, size, now) != nullptr)
    {
        return false;
    }
    ++moves_[{from, to}];
    return true;
}

void share_keeper::apply(limits::share_actions const& actions, base::time_point now,
                         engine_actions& out)
{
    for (auto const& action : actions)
    {
        if (auto const* const share = std::get_if<limits::set_share>(&action))
        {
            caps_.set_share(share->cap, share->amount);
            continue;
        }
        auto const& message = std::get<limits::send_to_hub>(action).body;
        if (is_hub())
        {
            handle_as_hub(self_, message, now, out);
        }
        else if (!hub_.value().empty())
        {
            out.emplace_back(send_message{hub_, message});
        }
    }
}

void share_keeper::apply(limits::hub_actions const& actions, base::time_point now,
                         engine_actions& out)
{
    for (auto const& action : actions)
    {
        if (action.to != self_.instance)
        {
            out.emplace_back(action);
        }
        else if (auto const* const granted = std::get_if<messages::share_grant>(&action.body))
        {
            handle_as_holder(*granted, now, out);
        }
    }
}

} // namespace fuchsiaproxy::engine
