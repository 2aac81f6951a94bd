#ifndef FUCHSIAPROXY_GOSSIP_LOAD_EXCHANGE_HPP
#define FUCHSIAPROXY_GOSSIP_LOAD_EXCHANGE_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "fuchsiaproxy/base/error.hpp"
#include "fuchsiaproxy/model/configuration.hpp"
#include "fuchsiaproxy/steering/peer_load.hpp"

namespace fuchsiaproxy::gossip
{

/// Encodes a load as CBOR. Thread safe.
std::string to_cbor(steering::peer_load const& it);

/// Decodes what `to_cbor` wrote. Fails with `bad_message` for anything else. Thread safe.
base::result<steering::peer_load> parse_load(std::string_view bytes);

/// Counts of an exchange since its start.
struct exchange_counters
{
    std::uint64_t sent = 0;
    std::uint64_t unsent = 0;
    std::uint64_t received = 0;
    std::uint64_t unreadable = 0;
};

/// Exchanges the load of the upstreams with other entries in datagrams. Each datagram replaces the
/// ones before it, so a lost one does no harm and is not sent again.
///
/// Thread safety: none; used on the thread that runs the io_context.
class load_exchange
{
public:
    using handler = std::function<void(steering::peer_load const&)>;

    /// `received` is called for each load of another entry. Precondition: `io` outlives the object.
    load_exchange(boost::asio::io_context& io, model::endpoint const& at, handler received);
    ~load_exchange();

    load_exchange(load_exchange const&) = delete;
    load_exchange& operator=(load_exchange const&) = delete;

    /// Binds the socket. Fails with `invalid_settings`. Precondition: called once.
    base::result<std::uint16_t> open();

    /// Sends a load to the entries at the given addresses. A full socket buffer drops it, which is
    /// counted.
    void send(steering::peer_load const& it, std::vector<model::endpoint> const& to);

    exchange_counters const& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fuchsiaproxy::gossip

#endif
