#include "fuchsiaproxy/standin/upstream.hpp"

namespace fuchsiaproxy::standin
{

std::string checksum(std::string_view text)
{
    std::uint64_t sum = 14695981039346656037U;
    for (auto const c : text)
    {
        sum = (sum ^ static_cast<unsigned char>(c)) * 1099511628211U;
    }
    constexpr char digits[] = "0123456789abcdef";
    std::string out;
    for (int shift = 60; shift >= 0; shift -= 4)
    {
        out += digits[(sum >> static_cast<unsigned>(shift)) & 15U];
    }
    return out;
}

void run_journal::record(std::string const& request_id)
{
    ++total_;
    if (++runs_[request_id] == 2)
    {
        ++repeated_;
    }
}

std::uint64_t run_journal::runs_of(std::string const& request_id) const
{
    auto const it = runs_.find(request_id);
    return it == runs_.end() ? 0 : it->second;
}

std::uint64_t run_journal::total() const noexcept
{
    return total_;
}

std::uint64_t run_journal::repeated() const noexcept
{
    return repeated_;
}

std::map<std::string, std::uint64_t> const& run_journal::runs() const noexcept
{
    return runs_;
}

} // namespace fuchsiaproxy::standin
