#ifndef FUCHSIAPROXY_FLEET_ENTRY_TABLE_HPP
#define FUCHSIAPROXY_FLEET_ENTRY_TABLE_HPP

#include <cstdint>
#include <map>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/messages/messages.hpp"

namespace fuchsiaproxy::fleet
{

/// Description of an entry, and when it was last heard from, directly or through a hub.
struct known_entry
{
    messages::entry_info info;
    base::time_point last_heard;
    /// Revision of the table at the last change of `info`.
    std::uint64_t revision = 0;
};

/// The entries that one entry knows, with a revision for each change so that others can be sent
/// changes instead of the whole table.
///
/// Thread safety: none; owned by one thread.
class entry_table
{
public:
    /// Records `info`, received at `now` from the entry itself or through a hub. Information of an
    /// older incarnation than the known one is ignored. Returns whether the entry is known
    /// afterwards with `info`'s incarnation.
    bool record(messages::entry_info const& info, base::time_point now);

    /// Moves the last-heard time of `id` forward to `now`; does not change the revision.
    void refresh(base::instance_id const& id, base::time_point now);

    /// Removes `id` if its incarnation is not newer than `last`.
    void remove(base::instance_id const& id, base::incarnation last);

    /// Removes all entries that were last heard before `oldest` and returns their number.
    std::size_t expire(base::time_point oldest);

    /// Returns the entry or null. The pointer is valid until the next change.
    known_entry const* find(base::instance_id const& id) const;

    /// Returns every entry in the order of ids.
    std::map<base::instance_id, known_entry> const& entries() const
    {
        return entries_;
    }

    /// Returns the revision of the last change.
    std::uint64_t revision() const
    {
        return revision_;
    }

    /// Fills `out` with the changes after `known`, limited to the entries that `filter` accepts.
    /// Includes the whole table when `known` is zero or older than the removals that are
    /// remembered.
    template <class Filter>
    void changes_since(std::uint64_t known, Filter&& filter, messages::digest& out) const
    {
        out.revision = revision_;
        out.full = known == 0 || known < oldest_removal_;
        for (auto const& it : entries_)
        {
            if (filter(it.second.info) && (out.full || it.second.revision > known))
            {
                out.entries.push_back(it.second.info);
            }
        }
        if (out.full)
        {
            return;
        }
        for (auto const& it : removals_)
        {
            if (it.first > known)
            {
                out.removed.push_back(it.second);
            }
        }
    }

private:
    void record_removal(base::instance_id const& id);

    std::map<base::instance_id, known_entry> entries_;
    std::map<std::uint64_t, base::instance_id> removals_;
    std::uint64_t revision_ = 0;
    std::uint64_t oldest_removal_ = 0;
};

} // namespace fuchsiaproxy::fleet

#endif
