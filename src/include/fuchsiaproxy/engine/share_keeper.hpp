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

/// Enforces the caps at one entry: it admits or refuses moves, holds the entry's shares of the
/// caps, and, while the entry is the first hub of its availability zone, reserves the zone's part
/// for the entries.
///
/// Thread safety: none; owned by one thread. Times must not decrease from call to call.
class share_keeper final : public routing::move_permit
{
public:
    /// `self` is unique to this process lifetime.
    share_keeper(limits::share_owner self, base::availability_zone_id zone);

    /// Applies the caps of a configuration.
    void on_configuration(model::configuration const& config, base::time_point now,
                          engine_actions& out);

    /// Sets the first hub of the availability zone, which may be this entry.
    void set_hub(base::instance_id const& hub);

    /// Handles share_request, share_grant, share_return and heartbeat messages; ignores others.
    void on_message(messages::envelope const& it, base::time_point now, engine_actions& out);

    /// Updates the entries from the platform's instance list.
    void on_instances(std::set<base::instance_id> const& entries, base::time_point now);

    /// Handles the document that the store has for the availability zone.
    void on_loaded(limits::share_document document, base::time_point now);

    /// Handles the completion of a write; `committed` only if the store confirmed it.
    void on_stored(bool committed, engine_actions& out);

    /// Reports the demand of the last window to the hub and, as the hub, loads or writes the
    /// reservations if that is due.
    void tick(base::time_point now, engine_actions& out);

    bool try_move(base::place_id const& from, base::place_id const& to, base::byte_count size,
                  base::time_point now) override;

    /// Returns this entry's share of `cap`.
    std::uint64_t held(base::cap_id const& cap) const
    {
        return holder_.held(cap);
    }

    /// Number of admitted moves by source and target place.
    using move_counts = std::map<std::pair<base::place_id, base::place_id>, std::uint64_t>;

    /// Returns the moves admitted so far.
    move_counts const& moves() const
    {
        return moves_;
    }

    /// Returns the counters of the reservations that this entry made as a hub.
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
