#ifndef FUCHSIAPROXY_BASE_STORE_POSITION_HPP
#define FUCHSIAPROXY_BASE_STORE_POSITION_HPP

#include <cstdint>
#include <ostream>
#include <tuple>

#include "fuchsiaproxy/base/strong_type.hpp"

namespace fuchsiaproxy::base
{

/// Number of the copy that the store works on. It rises each time the store returns from an older
/// copy; zero if the store states none.
using store_era = strong_type<struct store_era_tag, std::uint64_t>;

/// Revision of the whole store; increases with each change of any key. After a return from an older
/// copy, revisions are issued again, so they are comparable within one era only.
using store_revision = strong_type<struct store_revision_tag, std::uint64_t>;

/// A state of the store. Any position of a later era is later.
struct store_position
{
    store_era era;
    store_revision revision;

    friend bool operator==(store_position const& a, store_position const& b)
    {
        return a.era == b.era && a.revision == b.revision;
    }
    friend bool operator!=(store_position const& a, store_position const& b)
    {
        return !(a == b);
    }
    friend bool operator<(store_position const& a, store_position const& b)
    {
        return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
    }
    friend bool operator>(store_position const& a, store_position const& b)
    {
        return b < a;
    }
    friend bool operator<=(store_position const& a, store_position const& b)
    {
        return !(b < a);
    }
    friend bool operator>=(store_position const& a, store_position const& b)
    {
        return !(a < b);
    }
    /// Writes "ERA:REVISION".
    friend std::ostream& operator<<(std::ostream& out, store_position const& it)
    {
        return out << it.era << ':' << it.revision;
    }
};

} // namespace fuchsiaproxy::base

#endif
