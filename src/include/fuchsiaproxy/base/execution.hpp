#ifndef FUCHSIAPROXY_BASE_EXECUTION_HPP
#define FUCHSIAPROXY_BASE_EXECUTION_HPP

#include <cstdint>
#include <optional>
#include <string_view>

#include "fuchsiaproxy/base/attempt_result.hpp"
#include "fuchsiaproxy/base/error.hpp"

namespace fuchsiaproxy::base
{

/// Evidence that a request has not run and never will. Only `execution_record` makes it.
class not_run_proof
{
    friend class execution_record;
    not_run_proof() {} // Not defaulted, since C++17 would let anyone make the aggregate.
};

/// What the ends of a request's attempts tell about its execution.
///
/// Thread safety: none; owned by the code that starts the attempts.
class execution_record
{
public:
    /// Returns the proof for a request that is answered before anything of it is sent.
    static not_run_proof never_sent() noexcept
    {
        return {};
    }

    /// An attempt has started. Precondition: its end will be recorded.
    void attempt_started() noexcept
    {
        ++open_;
    }

    /// An attempt has ended. Precondition: called once for each `attempt_started`.
    void attempt_ended(attempt_result result) noexcept
    {
        --open_;
        may_have_run_ = may_have_run_ || !proves_not_run(result);
    }

    /// Returns a proof if no attempt is open and each of them is known not to have run. It holds as
    /// long as no other attempt is started.
    std::optional<not_run_proof> proof() const noexcept
    {
        return open_ == 0 && !may_have_run_ ? std::optional(not_run_proof()) : std::nullopt;
    }

private:
    std::uint32_t open_ = 0;
    bool may_have_run_ = false;
};

/// Status of an answer that an entry makes itself. One by which a caller concludes that its request
/// has not run takes a proof.
///
/// Thread safety: immutable.
class answer_status
{
public:
    /// Any status that promises nothing. One that does is replaced by that of `may_have_run`.
    answer_status(unsigned value) noexcept
        : value_(promises_not_run(value) ? answer_for(error_kind::may_have_run).http_status : value)
    {
    }

    /// Any status.
    answer_status(unsigned value, not_run_proof const&) noexcept : value_(value) {}

    unsigned value() const noexcept
    {
        return value_;
    }

private:
    unsigned value_;
};

/// How an error is answered to the caller of a request.
struct error_reply
{
    answer_status status;
    request_outcome outcome;
    std::string_view name;
};

/// Returns the answer to a request that ends with `kind`. Without a proof it promises nothing: the
/// outcome is `may_have_run`, and a kind whose status promises more is answered as that kind.
/// Thread safe.
error_reply reply_for(error_kind kind, std::optional<not_run_proof> const& proof) noexcept;

} // namespace fuchsiaproxy::base

#endif
