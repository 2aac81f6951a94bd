#ifndef FUCHSIAPROXY_ROUTING_LOAN_TABLE_HPP
#define FUCHSIAPROXY_ROUTING_LOAN_TABLE_HPP

#include <cstdint>
#include <vector>

#include "fuchsiaproxy/base/time.hpp"
#include "index_map.hpp"

namespace fuchsiaproxy::routing
{

/// A slot that this entry has requested or holds. `upstream` is set when the lender grants it.
struct held_loan
{
    std::uint64_t number = 0;
    std::uint32_t service = no_index;
    std::uint32_t lender = no_index;
    std::uint32_t upstream = no_index;
    /// Row and serial number of the request for which the loan was requested.
    std::uint32_t request = no_index;
    std::uint64_t request_serial = 0;
    base::time_point requested_at;
    /// No attempt may start on the slot at or after this time.
    base::time_point expires;
    base::time_point idle_since;
    bool in_use = false;
    bool idle_timer_armed = false;
};

/// Loans that this entry has requested or holds as borrower. Indices stay valid until the loan is
/// removed.
class loan_table
{
public:
    /// `first_number` differs between incarnations of the entry, so that a late message about a
    /// loan of an earlier incarnation matches no current loan.
    explicit loan_table(std::uint64_t first_number) : next_number_(first_number) {}

    /// Opens a request for a slot and returns its index.
    std::uint32_t open(std::uint32_t service, std::uint32_t lender, base::time_point now);

    /// Returns the index of the loan `number`, or `no_index`.
    std::uint32_t find(std::uint64_t number) const noexcept;

    /// Returns a lent slot of `upstream` that is not in use and valid at `now`, or `no_index`.
    std::uint32_t find_idle(std::uint32_t upstream, base::time_point now) const noexcept;

    /// Returns how many lent slots of `upstream` are not in use and valid at `now`.
    std::uint32_t idle_count(std::uint32_t upstream, base::time_point now) const noexcept;

    held_loan& at(std::uint32_t index) noexcept
    {
        return loans_[index];
    }
    held_loan const& at(std::uint32_t index) const noexcept
    {
        return loans_[index];
    }

    void remove(std::uint32_t index) noexcept;

    /// Returns the indices of the open loans, in no particular order.
    std::vector<std::uint32_t> const& active() const noexcept
    {
        return active_;
    }

private:
    std::vector<held_loan> loans_;
    std::vector<std::uint32_t> unused_;
    std::vector<std::uint32_t> active_;
    std::uint64_t next_number_;
};

} // namespace fuchsiaproxy::routing

#endif
