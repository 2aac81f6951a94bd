#ifndef FUCHSIAPROXY_UPSTREAMS_DIALECT_HPP
#define FUCHSIAPROXY_UPSTREAMS_DIALECT_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "fuchsiaproxy/base/load_report.hpp"
#include "fuchsiaproxy/http/fields.hpp"
#include "fuchsiaproxy/upstreams/notice.hpp"

namespace fuchsiaproxy::upstreams
{

/// Header-field conventions of one kind of upstream: deadlines, refusals and load reports.
///
/// Thread safety: all functions may be called on any thread.
class dialect
{
public:
    virtual ~dialect() = default;

    /// Returns the name of the request field that states the remaining time in milliseconds.
    virtual std::string_view deadline_field() const = 0;

    /// Returns whether the answer guarantees that the request has not run and never will.
    /// `declared` are the statuses that the service declares for this purpose.
    virtual bool is_refusal(unsigned status, http::fields const& answer,
                            std::vector<unsigned> const& declared) const = 0;

    /// Returns whether `answer` is an answer to `request`. An upstream may send an answer twice,
    /// and the second copy then stands where the next answer is expected.
    virtual bool is_answer_to(http::fields const& answer, http::fields const& request) const = 0;

    /// Returns whether a late second copy of `answer` could be taken for the answer to the next
    /// request on its connection, so that the connection must not be used again.
    virtual bool is_ambiguous(http::fields const& answer) const = 0;

    /// Returns whether the end of the connection ends the body of an answer without a length. If
    /// false, such an answer counts as broken.
    virtual bool body_may_end_with_connection() const = 0;

    /// Returns whether a refusal states that the upstream accepts no further requests.
    virtual bool is_leaving(http::fields const& answer) const = 0;

    /// Returns what the upstream states about itself in an answer with this status. Dialects
    /// without such fields return an empty notice.
    virtual upstream_notice notice(unsigned status, http::fields const& answer) const;

    /// Returns the load that the answer reports, if any.
    virtual std::optional<base::load_report> load(http::fields const& answer) const = 0;
};

/// Returns the dialect of the project's own protocol: `Deadline-Ms`, `Shed` and `Draining`.
/// Thread safe.
std::shared_ptr<dialect const> native_dialect();

} // namespace fuchsiaproxy::upstreams

#endif
