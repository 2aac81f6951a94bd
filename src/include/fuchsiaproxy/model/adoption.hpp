#ifndef FUCHSIAPROXY_MODEL_ADOPTION_HPP
#define FUCHSIAPROXY_MODEL_ADOPTION_HPP

#include <memory>

#include "fuchsiaproxy/model/configuration.hpp"

namespace fuchsiaproxy::model
{

/// Holds the configuration that an entry currently uses. Its version only increases.
///
/// Not thread safe. The configurations it returns are immutable and may be shared between threads.
class adoption
{
public:
    /// Replaces the current configuration by `offered` if the version of `offered` is higher, and
    /// returns whether it did. Null and version 0, which marks an unaccepted configuration, are
    /// ignored.
    bool offer(std::shared_ptr<configuration const> offered);

    /// Returns the version of the current configuration, or 0 if there is none.
    base::config_version version() const noexcept;

    /// Returns whether there is a configuration, without which the entry cannot serve callers.
    bool ready() const noexcept;

    /// Returns the current configuration, or null.
    std::shared_ptr<configuration const> const& current() const noexcept
    {
        return current_;
    }

private:
    std::shared_ptr<configuration const> current_;
};

} // namespace fuchsiaproxy::model

#endif
