#ifndef FUCHSIAPROXY_GATEWAY_ENTRY_METRICS_HPP
#define FUCHSIAPROXY_GATEWAY_ENTRY_METRICS_HPP

#include <string>

#include "fuchsiaproxy/gateway/gateway.hpp"
#include "fuchsiaproxy/gossip/load_exchange.hpp"

namespace fuchsiaproxy::gateway
{

/// Returns the metrics of an entry in the Prometheus text format. Call it on the gateway's thread.
std::string metrics_text(gateway const& from, gossip::exchange_counters const& exchange);

} // namespace fuchsiaproxy::gateway

#endif
