#ifndef FUCHSIAPROXY_ENGINE_SHARE_KEEPER_HPP
#define FUCHSIAPROXY_ENGINE_SHARE_KEEPER_HPP

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/engine/engine_action.hpp"
#include "fuchsiaproxy/limits/cap_set.hpp"
#include "fuchsiaproxy/limits/share_holder.hpp"
#include "fuchsiaproxy/limits/share_ledger.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "fuchsiaproxy/routing/move_permit.hpp"

namespace fuchsiaproxy::engine
{

/// The caps at one entry: the gates that its moves pass, the shares that it holds, and, while it is
/// the first hub of its availability zone, the reservations of the zone.
///
/// Thread safety: none; owned by one thread. Times must not decrease from call to call.
class share_keeper final : public routing::move_permit
{
public:
    /// `self` is unique to this process lifetime.
    share_keeper(limits::share_owner self, base::availability_zone_id zone);

    /// Takes the caps of a configuration.
    void on_configuration(model::configuration const& config, base::time_point now,
                          engine_actions& out);

    /// Takes the first hub of the availability zone, which may be this entry.
    void set_hub(base::instance_id const& hub);

    /// Takes the messages share_request, share_grant and share_return; ignores others.
    void on_message(messages::envelope const& it, base::time_point now, engine_actions& out);

    /// Takes the entries of the platform's instance list.
    void on_instances(std::set<base::instance_id> const& entries, base::time_point now);

    /// Takes what the store has for the availability zone.
    void on_loaded(limits::share_document document, base::time_point now);

    /// Takes the end of a write; `committed` only if the store confirmed it.
    void on_stored(bool committed, engine_actions& out);

    /// Performs what is due at `now`.
    void tick(base::time_point now, engine_actions& out);

    bool try_move(base::place_id const& from, base::place_id const& to, base::byte_count size,
                  base::time_point now) override;

    /// Returns what this entry may use of `cap`.
    std::uint64_t held(base::cap_id const& cap) const
    {
        return holder_.held(cap);
    }

    /// Moves that were admitted, by the places from and to which they went.
    using move_counts = std::map<std::pair<base::place_id, base::place_id>, std::uint64_t>;

    /// Returns the moves admitted so far.
    move_counts const& moves() const
    {
        return moves_;
    }

    /// Returns the counts of the reservations that this entry made as a hub.
    limits::share_ledger_counters const& counters() const
    {
        return ledger_.counters();
    }

private:
    bool is_hub() const
    {
        return hub_ == self_.instance;
    }

    void apply(limits::share_actions const& actions, base::time_point now, engine_actions& out);
    void apply(limits::hub_actions const& actions, base::time_point now, engine_actions& out);
    void handle_as_hub(limits::share_owner const& owner, messages::message const& body,
                       base::time_point now, engine_actions& out);
    void handle_as_holder(messages::share_grant const& it, base::time_point now,
                          engine_actions& out);

    limits::share_owner self_;
    base::availability_zone_id zone_;
    limits::cap_set caps_;
    limits::share_holder holder_;
    limits::share_ledger ledger_;
    move_counts moves_;
    base::instance_id hub_;
    base::time_point next_demand_;
    base::time_point load_again_at_;
    base::time_point last_now_;
    bool has_caps_ = false;
    bool loaded_ = false;
    bool loading_ = false;
};

} // namespace fuchsiaproxy::engine

#endif
