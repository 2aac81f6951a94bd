#ifndef FUCHSIAPROXY_STANDIN_UPSTREAM_JSON_HPP
#define FUCHSIAPROXY_STANDIN_UPSTREAM_JSON_HPP

#include <string>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/standin/upstream.hpp"

namespace fuchsiaproxy::standin
{

/// Changes the settings that are members of the JSON object `text`. The members are slots,
/// max_queued, max_connections, service_time_ms, shape, straggler_share, straggler_factor,
/// cold_requests, cold_factor, slow_every_ms, slow_for_ms, slow_factor, draining, report_lag_ms,
/// reported_load, reported_healthy, hold and answer_bytes; those that end in `_ms` are in
/// milliseconds. `null` for a reported value restores the real one. Changes nothing if `text` is
/// invalid. Thread safe for distinct settings.
base::result<void> change_settings(upstream_settings& settings, std::string const& text);

} // namespace fuchsiaproxy::standin

#endif
