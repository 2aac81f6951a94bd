#ifndef FUCHSIAPROXY_ALLOWANCES_PEER_TABLE_HPP
#define FUCHSIAPROXY_ALLOWANCES_PEER_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "fuchsiaproxy/allowances/keeper.hpp"
#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::allowances
{

/// What is known of another entry.
struct peer
{
    entry_tag tag = 0;
    /// In the store's list, or removed from it at `left_at`.
    bool is_live = false;
    base::time_point left_at = base::time_point::min();
    /// Time without a report after which it is taken to be unreachable.
    base::duration silence{};
    base::time_point heard_at = base::time_point::min();
    std::uint64_t sequence = 0;
    /// Whether its last report does not name this entry as unheard.
    bool hears_this_entry = true;
    /// Tenants of its last report.
    std::vector<tenant_tag> reported;
};

/// Other entries of the store's list, and those that left it within `linger_time`.
///
/// Thread safety: none.
class peer_table
{
public:
    using peer_map = std::map<base::instance_id, peer>;

    explicit peer_table(base::instance_id const& self);

    /// Replaces the list.
    void set_live(std::vector<live_peer> const& live, base::time_point now);

    /// Forgets entries that left the list long ago; returns their ids.
    std::vector<base::instance_id> forget(base::time_point now);

    /// Returns the entry if the report is newer than its last one and updates it, or null.
    peer* accept(base::instance_id const& from, usage_report const& it, base::time_point now);

    /// Returns whether the entries hear each other. An entry that left the list doesn't count.
    bool is_connected(peer const& it, base::time_point now) const;

    /// Returns whether this entry is connected to at least half of the other live entries.
    bool has_quorum(base::time_point now) const;

    /// Returns the number of other entries in the store's list.
    std::size_t live_count() const;

    /// Returns the tags of the live entries that were not heard recently.
    std::vector<entry_tag> unheard(base::time_point now) const;

    /// Time within which an entry that is suddenly cut off from all others notices it.
    base::duration cut_off_time() const
    {
        return cut_off_time_;
    }

    /// Time within which an entry learns from the others that they don't hear it.
    base::duration confirmation_time() const
    {
        return confirmation_time_;
    }

    /// Returns whether a list was set.
    bool has_list() const
    {
        return has_list_;
    }

    peer_map const& all() const
    {
        return all_;
    }

private:
    bool is_heard(peer const& it, base::time_point now) const;

    entry_tag self_;
    peer_map all_;
    bool has_list_ = false;
    base::duration cut_off_time_{};
    base::duration confirmation_time_{};
};

} // namespace fuchsiaproxy::allowances

#endif
