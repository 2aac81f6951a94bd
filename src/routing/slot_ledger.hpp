#ifndef FUCHSIAPROXY_ROUTING_SLOT_LEDGER_HPP
#define FUCHSIAPROXY_ROUTING_SLOT_LEDGER_HPP

#include <cstdint>
#include <vector>

#include "fuchsiaproxy/base/time.hpp"
#include "index_map.hpp"

namespace fuchsiaproxy::routing
{

/// A slot lent to another entry.
struct granted_loan
{
    std::uint64_t number = 0;
    std::uint32_t borrower = no_index;
    std::uint32_t upstream = no_index;
};

/// Slots of the upstreams that this entry owns. Each slot is free, used by this entry, lent, or
/// reserved for attempts that earlier owners may still run.
class slot_ledger
{
public:
    /// Sets the number of upstreams; valid indices are 0 to `count - 1`.
    void resize(std::size_t count)
    {
        counts_.resize(count);
    }

    void set_slots(std::uint32_t upstream, std::uint32_t slots) noexcept
    {
        counts_[upstream].slots = slots;
    }

    std::uint32_t used(std::uint32_t upstream) const noexcept
    {
        auto const& it = counts_[upstream];
        return it.own + it.lent;
    }

    /// Sets how many slots may still be in use under an earlier owner.
    void set_reserved(std::uint32_t upstream, std::uint32_t slots) noexcept
    {
        counts_[upstream].reserved = slots;
    }
    std::uint32_t reserved(std::uint32_t upstream) const noexcept
    {
        return counts_[upstream].reserved;
    }

    std::uint32_t free(std::uint32_t upstream) const noexcept
    {
        auto const& it = counts_[upstream];
        // The configuration may have reduced the slots below the number in use.
        auto const taken = it.own + it.lent + it.reserved;
        return it.slots > taken ? it.slots - taken : 0;
    }

    /// Precondition: `free(upstream) > 0`.
    void take(std::uint32_t upstream) noexcept
    {
        ++counts_[upstream].own;
    }
    /// Precondition: the slot was taken.
    void release(std::uint32_t upstream) noexcept
    {
        --counts_[upstream].own;
    }

    /// Records a loan of one slot. Precondition: `free(upstream) > 0`.
    void add_loan(granted_loan const& loan);

    /// Ends a loan; returns the upstream, or `no_index` when there is no such loan.
    std::uint32_t end_loan(std::uint32_t borrower, std::uint64_t number) noexcept;

    /// Returns whether the loan is open.
    bool has_loan(std::uint32_t borrower, std::uint64_t number) const noexcept;

    std::size_t open_loans() const noexcept
    {
        return loans_.size();
    }

private:
    struct slot_counts
    {
        std::uint32_t slots = 0;
        std::uint32_t own = 0;
        std::uint32_t lent = 0;
        std::uint32_t reserved = 0;
    };

    std::vector<slot_counts> counts_;
    std::vector<granted_loan> loans_;
};

} // namespace fuchsiaproxy::routing

#endif
