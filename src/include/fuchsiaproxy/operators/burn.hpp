#ifndef FUCHSIAPROXY_OPERATORS_BURN_HPP
#define FUCHSIAPROXY_OPERATORS_BURN_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaproxy/base/ids.hpp"
#include "fuchsiaproxy/messages/messages.hpp"
#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::operators
{

/// Counts of one service, summed over classes and entries.
struct service_counts
{
    std::uint64_t total = 0;
    std::uint64_t on_time = 0;
    std::uint64_t weight_total = 0;
    std::uint64_t weight_on_time = 0;
};

/// Cumulative counts of all services at one time; they never decrease.
struct burn_sample
{
    std::chrono::seconds at{};
    std::map<base::service_id, service_counts> sums;
};

/// Accumulates the counts of entries, which restart at zero with each incarnation, into sums that
/// never decrease, and keeps samples of the sums.
///
/// Thread safety: none; one thread owns it.
class burn_history
{
public:
    /// Minimum time between samples. Only the latest may be closer to its predecessor; the next
    /// sample then replaces it.
    static constexpr std::chrono::seconds interval{10};
    /// Samples older than this are dropped. It exceeds the long window by two intervals, so that
    /// the samples cover the window.
    static constexpr std::chrono::seconds retention{3'620};

    /// Counts of incarnations that were not reported for this long are discarded.
    static constexpr std::chrono::hours incarnation_retention{24};

    /// Adds what the entries counted since the last call. Repeated and older counts of an
    /// incarnation add nothing. Precondition: `at` does not decrease.
    void record(std::chrono::seconds at, std::vector<messages::counters> const& counts);

    /// Returns the samples, oldest first.
    std::deque<burn_sample> const& samples() const noexcept
    {
        return samples_;
    }

private:
    using incarnation_key = std::pair<base::instance_id, base::incarnation>;
    using class_key = std::pair<base::service_id, std::string>;

    struct last_report
    {
        std::chrono::seconds at{};
        std::map<class_key, service_counts> counts;
    };

    std::map<incarnation_key, last_report> last_reports_;
    std::map<base::service_id, service_counts> sums_;
    std::deque<burn_sample> samples_;
};

/// Rate at which the error budget was used over a window; 1 uses it up exactly at the end of the
/// objective's period.
struct window_burn
{
    std::chrono::seconds length{};
    /// Time that the samples cover, at most `length`.
    std::chrono::seconds covered{};
    double rate = 0;
};

/// Alert level, derived from the burn rates of both windows.
enum class burn_alert
{
    none,
    ticket,
    page
};

/// Burn rate, in both windows, from which an alert is a ticket: the budget of 30 days lasts 5 days.
constexpr double ticket_rate = 6.0;
/// Burn rate, in both windows, from which an alert is a page: 2 % of the budget of 30 days is used
/// in an hour.
constexpr double page_rate = 14.4;
constexpr std::chrono::seconds short_window{300};
constexpr std::chrono::seconds long_window{3'600};

/// Service-level figures of one service since counting began.
struct service_burn
{
    base::service_id service;
    base::organisation_id organisation;
    double objective = 0;
    service_counts counts;
    /// Share of the weight that was served on time; 1 without any traffic.
    double on_time_share = 1;
    std::uint64_t credit_earned = 0;
    std::uint64_t credit_missed = 0;
    /// Part of the error budget that is left; negative when more than all of it is used.
    double budget_left = 1;
    window_burn short_burn;
    window_burn long_burn;
    burn_alert alert = burn_alert::none;
};

/// Service-level figures of all services.
struct burn_report
{
    std::vector<service_burn> services;
    /// Known entries whose counts are not included in the sums.
    std::vector<base::instance_id> missing;
    /// Samples that the report was calculated from, for plots.
    std::vector<burn_sample> samples;
};

/// Calculates the report of the services in `value` from samples, oldest first. A pure function;
/// thread safe.
burn_report calculate_burn(model::configuration const& value,
                           std::deque<burn_sample> const& samples,
                           std::vector<base::instance_id> missing);

/// Returns the entries whose current incarnation has no counts in `counts`. Thread safe.
std::vector<base::instance_id> missing_entries(std::vector<messages::entry_info> const& entries,
                                               std::vector<messages::counters> const& counts);

/// Returns the share of weight that was missed between two samples, divided by the share that the
/// objective allows; 0 without traffic. Precondition: `objective` is in (0, 1). Thread safe.
double burn_rate(service_counts const& from, service_counts const& to, double objective);

/// Returns the name of an alert. Thread safe.
char const* name_of(burn_alert alert) noexcept;

} // namespace fuchsiaproxy::operators

#endif
