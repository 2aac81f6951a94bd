#ifndef FUCHSIAPROXY_UPSTREAMS_NOTICE_HPP
#define FUCHSIAPROXY_UPSTREAMS_NOTICE_HPP

#include <optional>

#include "fuchsiaproxy/base/time.hpp"

namespace fuchsiaproxy::upstreams
{

/// What an upstream states about itself in the head of an answer.
struct upstream_notice
{
    /// The upstream is shutting down.
    bool leaving = false;
    /// Time for which the upstream asks this entry to send nothing more.
    std::optional<base::duration> pause;
    /// A field of the notice has an invalid value and was ignored.
    bool malformed = false;

    /// Returns whether the answer contained a notice. Thread safe.
    bool any() const
    {
        return leaving || pause || malformed;
    }
};

} // namespace fuchsiaproxy::upstreams

#endif
