#ifndef FUCHSIAPROXY_ALLOWANCES_USAGE_HPP
#define FUCHSIAPROXY_ALLOWANCES_USAGE_HPP

#include <cstdint>
#include <string_view>
#include <vector>

namespace fuchsiaproxy::allowances
{

/// Identifies a tenant in messages between entries: `tag_of` its id.
using tenant_tag = std::uint32_t;
/// Identifies an entry in messages between entries: `tag_of` its id.
using entry_tag = std::uint32_t;

/// Use of one tenant's allowance, as one entry reports it.
struct tenant_usage
{
    tenant_tag tenant = 0;
    /// Requests that the entry has admitted since its start, less those given back; wraps around.
    std::uint32_t admitted = 0;
    /// Requests per second that arrived recently, admitted or not.
    double demand_per_s = 0;
};

/// What one entry tells the others about its use of allowances.
struct usage_report
{
    /// Increases with each report. The upper bits are the number of the process, so that a report
    /// of a restarted process, which counts from zero, is told from one of its predecessor.
    std::uint64_t sequence = 0;
    /// Tenants that the entry has served recently.
    std::vector<tenant_usage> tenants;
    /// Live entries that the reporting entry has not heard from recently.
    std::vector<entry_tag> unheard;
};

/// Number of low bits of a sequence that count the reports of one process. At ten reports a second
/// they suffice for 4.8 days; the overflow looks like a restart and costs one baseline.
constexpr unsigned report_counter_bits = 22;

/// Returns the first sequence of a process that started at `start_ms`, in Unix milliseconds.
/// Thread safe.
constexpr std::uint64_t first_sequence(std::uint64_t start_ms) noexcept
{
    return start_ms << report_counter_bits;
}

/// Returns the FNV-1a hash of an id in 32 bits; the same on every entry. Thread safe.
constexpr std::uint32_t tag_of(std::string_view id) noexcept
{
    std::uint32_t hash = 2166136261U;
    for (char const c : id)
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
    }
    return hash;
}

} // namespace fuchsiaproxy::allowances

#endif
