#ifndef FUCHSIAPROXY_METADATA_CONFIGURATION_READER_HPP
#define FUCHSIAPROXY_METADATA_CONFIGURATION_READER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "fuchsiaproxy/base/time.hpp"
#include "fuchsiaproxy/base/timer_service.hpp"
#include "fuchsiaproxy/metadata/configuration_keys.hpp"
#include "fuchsiaproxy/metadata/store.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "fuchsiaproxy/model/manifest.hpp"

namespace fuchsiaproxy::metadata
{

/// An accepted configuration and its JSON text.
struct accepted_configuration
{
    std::shared_ptr<model::configuration const> value;
    std::string document;
};

/// Counters of a reader since its construction.
struct configuration_reader_counters
{
    std::uint64_t watches = 0;
    std::uint64_t failed_calls = 0;
    /// Answers with a lower revision than the one already accepted.
    std::uint64_t stale_answers = 0;
    std::uint64_t loads = 0;
    std::uint64_t invalid_manifests = 0;
};

/// Reads the configuration from the store, once or continuously by watching its manifest.
///
/// Thread safety: none; used on the thread of the store and the timers.
class configuration_reader
{
public:
    using handler = std::function<void(accepted_configuration)>;

    /// `accepted` is called for each new configuration, in order of increasing version. `values`
    /// and `timers` must outlive the reader.
    configuration_reader(store& values, base::timer_service& timers, handler accepted);
    ~configuration_reader();

    configuration_reader(configuration_reader const&) = delete;
    configuration_reader& operator=(configuration_reader const&) = delete;

    /// Reads the configuration once. Retries until a configuration has been found.
    void read_once();

    /// Starts to watch for new configurations; no effect if already watching.
    void start_watching();

    /// Stops watching once the call in progress has completed.
    void stop_watching();

    /// Returns the counters.
    configuration_reader_counters const& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::metadata

#endif
