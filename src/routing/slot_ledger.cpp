#include "slot_ledger.hpp"

#include <algorithm>

namespace fuchsiaproxy::routing
{

namespace
{

auto matches(std::uint32_t borrower, std::uint64_t number)
{
    return [=](granted_loan const& it) { return it.borrower == borrower && it.number == number; };
}

} // namespace

void slot_ledger::add_loan(granted_loan const& loan)
{
    ++counts_[loan.upstream].lent;
    loans_.push_back(loan);
}

std::uint32_t slot_ledger::end_loan(std::uint32_t borrower, std::uint64_t number) noexcept
{
    auto const it = std::find_if(loans_.begin(), loans_.end(), matches(borrower, number));
    if (it == loans_.end())
    {
        return no_index;
    }
    auto const upstream = it->upstream;
    --counts_[upstream].lent;
    *it = loans_.back();
    loans_.pop_back();
    return upstream;
}

bool slot_ledger::has_loan(std::uint32_t borrower, std::uint64_t number) const noexcept
{
    return std::any_of(loans_.begin(), loans_.end(), matches(borrower, number));
}

} // namespace fuchsiaproxy::routing
