#ifndef FUCHSIAPROXY_RUNTIME_SRC_METRICS_EXPORT_HPP
#define FUCHSIAPROXY_RUNTIME_SRC_METRICS_EXPORT_HPP

#include "fuchsiaproxy/callers/server.hpp"
#include "fuchsiaproxy/engine/engine.hpp"
#include "fuchsiaproxy/metadata/platform_clients.hpp"
#include "fuchsiaproxy/peers/peer_network.hpp"
#include "fuchsiaproxy/runtime/traffic_loop.hpp"
#include "fuchsiaproxy/telemetry/metrics.hpp"
#include "fuchsiaproxy/upstreams/client.hpp"

namespace fuchsiaproxy::runtime
{

// Each function copies counters into the metrics. It has to be called on the thread that updates
// the counters, except `export_platform`, whose counters are atomic. The metrics are thread safe.

void export_engine(engine::engine& it, base::time_point now, telemetry::metrics& to);
void export_callers(callers::server_counters const& it, telemetry::metrics& to);
void export_upstreams(upstreams::client_counters const& it, telemetry::metrics& to);
void export_traffic(traffic_counters const& it, telemetry::metrics& to);
void export_peers(peers::peer_counts const& it, telemetry::metrics& to);
void export_platform(metadata::platform_counters& it, telemetry::metrics& to);

} // namespace fuchsiaproxy::runtime

#endif
