#ifndef FUCHSIAPROXY_RUNTIME_DAEMON_HPP
#define FUCHSIAPROXY_RUNTIME_DAEMON_HPP

#include <cstddef>
#include <memory>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/settings/daemon_settings.hpp"

namespace fuchsiaproxy::runtime
{

/// Result of `daemon::run`.
struct daemon_result
{
    /// Requests that were still in flight when the time limit of the drain passed.
    std::size_t requests_left = 0;
};

/// One entry instance: its threads, listeners and links.
///
/// Thread safety: none; used by one thread.
class daemon
{
public:
    /// Creates the components without opening a listener.
    explicit daemon(settings::daemon_settings settings);
    ~daemon();

    daemon(daemon const&) = delete;
    daemon& operator=(daemon const&) = delete;

    /// Listens, serves requests, and returns after a graceful stop, which SIGTERM or SIGINT starts.
    /// Fails with `invalid_settings` if an address cannot be bound. Precondition: called once.
    base::result<daemon_result> run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::runtime

#endif
