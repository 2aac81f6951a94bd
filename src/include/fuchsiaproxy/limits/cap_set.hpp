#ifndef FUCHSIAPROXY_LIMITS_CAP_SET_HPP
#define FUCHSIAPROXY_LIMITS_CAP_SET_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/units.hpp"
#include "fuchsiaproxy/limits/move_gate.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::limits
{

/// Demand of an entry under a cap since the last `cap_set::take_demand`, in the cap's unit.
struct cap_demand
{
    base::cap_id cap;
    std::uint64_t amount = 0;
};

/// The rate limiters of one entry for all caps. A cap admits nothing until a share of it is set.
///
/// A cap in requests per second applies to the moves of its own organisation's services, or of all
/// services if it has no organisation. A cap in kilobits per second applies to all moves, because
/// links are shared. `try_charge` and `admits` allocate only for the first move between two places.
/// Thread safety: none. `now` must not decrease.
class cap_set
{
public:
    /// Applies the caps of `config`. Caps that remain keep their share and their count of the last
    /// window; new caps start without a share.
    void apply(model::configuration const& config);

    /// Sets this entry's share of `cap`, in the cap's unit. Ignored if `cap` is not in the
    /// configuration.
    void set_share(base::cap_id const& cap, std::uint64_t amount);

    /// Returns whether a move of a request of `size` passes every matching cap now. Places that are
    /// not in the configuration admit no moves.
    bool admits(base::place_id const& from, base::place_id const& to, base::byte_count size,
                base::time_point now);

    /// Charges a move to all matching caps, or to none. Returns null if the move is admitted, and
    /// otherwise the first cap that refused it, or `unknown_place()`. It also counts the demand, so
    /// call it once for each request that should move, even if `admits` returned false.
    base::cap_id const* try_charge(base::place_id const& from, base::place_id const& to,
                                   base::byte_count size, base::time_point now);

    /// Returns and resets the demand of every cap.
    std::vector<cap_demand> take_demand();

    /// Result of `try_charge` for places that are not in the configuration.
    static base::cap_id const& unknown_place();

private:
    struct gate
    {
        model::cap definition;
        move_gate moves;
        bit_gate bits;
        /// In requests or bits, depending on the unit of the cap.
        std::uint64_t demand = 0;
    };

    struct place_info
    {
        base::region_id region;
        base::organisation_id organisation;
    };

    using route = std::pair<base::place_id, base::place_id>;

    struct route_hash
    {
        std::size_t operator()(route const& it) const;
    };

    std::vector<gate*> const* gates_of(base::place_id const& from, base::place_id const& to);
    bool matches(gate const& it, base::place_id const& from, base::place_id const& to) const;
    static bool passes(gate& it, std::uint64_t bits, base::time_point now);

    // The addresses of the gates are stable; `routes_` refers to them.
    std::map<base::cap_id, gate> gates_;
    std::unordered_map<base::place_id, place_info> places_;
    std::unordered_map<route, std::vector<gate*>, route_hash> routes_;
};

} // namespace fuchsiaproxy::limits

#endif
