#ifndef FUCHSIAPROXY_ROUTING_MOVE_PERMIT_HPP
#define FUCHSIAPROXY_ROUTING_MOVE_PERMIT_HPP

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/units.hpp"

namespace fuchsiaproxy::routing
{

/// Decides whether a request may be served outside its home place.
class move_permit
{
public:
    virtual ~move_permit() = default;

    /// Returns whether one request of `size` bytes may move now, and counts it against every
    /// matching cap if so. Called on the thread of the dispatcher.
    virtual bool try_move(base::place_id const& from, base::place_id const& to,
                          base::byte_count size, base::time_point now) = 0;
};

} // namespace fuchsiaproxy::routing

#endif
