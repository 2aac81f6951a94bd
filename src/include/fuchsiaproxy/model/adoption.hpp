#ifndef FUCHSIAPROXY_MODEL_ADOPTION_HPP
#define FUCHSIAPROXY_MODEL_ADOPTION_HPP

#include <memory>

#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::model
{

/// The configuration that an entry has in force. It only ever moves to higher versions.
///
/// Thread safety: none; one thread owns it. The configurations that it returns are immutable and
/// may be shared.
class adoption
{
public:
    /// Adopts `offered` if its version is higher than the adopted one, and returns whether it did.
    /// Version 0 is no accepted version and never adopted.
    bool offer(std::shared_ptr<configuration const> offered);

    /// Returns the adopted version, or 0.
    base::config_version version() const noexcept;

    /// Returns whether the entry may serve callers, which needs an accepted version.
    bool ready() const noexcept;

    /// Returns the adopted configuration, or null.
    std::shared_ptr<configuration const> const& current() const noexcept
    {
        return current_;
    }

private:
    std::shared_ptr<configuration const> current_;
};

} // namespace fuchsiaproxy::model

#endif
